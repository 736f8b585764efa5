import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Err, Ok } from 'ts-results-es'
import type { EngineReport, ReplicaDialect } from '../../BendfallEdgeDialect.js'

/** A request as received by the replica. */
export interface ScriptedRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Number of its connection, starting at 1. */
  readonly connection: number
  readonly socket: Socket
  /** Number of the request among all requests of the replica, starting at 1. */
  readonly number: number
}

/** A replica that sends the response bytes supplied by a test. */
export interface ScriptedReplica {
  readonly address: string
  readonly requests: readonly ScriptedRequest[]
  /** @returns number of connections opened so far */
  readonly connections: () => number
  /** @returns number of connections currently open */
  readonly open: () => number
  readonly close: () => void
}

/**
 * Starts a replica on a free port.
 *
 * @param respond - called with each complete request; writes the response to the socket
 * @returns the replica, listening on the loopback interface
 */
export async function startScriptedReplica (respond: (request: ScriptedRequest) => void): Promise<ScriptedReplica> {
  const sockets = new Set<Socket>()
  const requests: ScriptedRequest[] = []
  let connections = 0
  const server = createServer({ noDelay: true }, (socket) => {
    connections += 1
    const connection = connections
    let text = ''
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1')
      for (let parsed = parseRequest(text); parsed !== undefined; parsed = parseRequest(text)) {
        text = parsed.rest
        const request = { ...parsed.request, connection, socket, number: requests.length + 1 }
        requests.push(request)
        respond(request)
      }
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    connections: () => connections,
    open: () => sockets.size,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

type RequestHead = Pick<ScriptedRequest, 'method' | 'path' | 'headers'>

function parseRequest (text: string): { readonly request: RequestHead, readonly rest: string } | undefined {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [requestLine = '', ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const end = headEnd + 4 + Number(headers['content-length'] ?? 0)
  if (text.length < end) return undefined
  const [method = '', path = ''] = requestLine.split(' ')
  return { request: { method, path, headers }, rest: text.slice(end) }
}

/** Parts of a response. */
export interface ScriptedResponse {
  readonly status?: number
  /** Request id to echo; absent: none. */
  readonly id?: string
  readonly isSigned?: boolean
  readonly isNotRun?: boolean
  readonly body?: string
}

/** Returns the bytes of a response with a Content-Length header. */
export function formatResponse ({ body = '', id, isNotRun = false, isSigned = false, status = 200 }: ScriptedResponse): string {
  return [
    `HTTP/1.1 ${status} Scripted`,
    ...(id === undefined ? [] : [`X-Id: ${id}`]),
    ...(isSigned ? ['X-Signed: yes'] : []),
    ...(isNotRun ? ['X-Not-Run: yes'] : []),
    `Content-Length: ${body.length}`,
    '',
    body
  ].join('\r\n')
}

const WRONG_REPLICA_STATUS = 421

/** Dialect of a scripted replica: results, holds and reports are plain text. */
export const SCRIPTED_DIALECT: ReplicaDialect = {
  runHeaders: () => [],
  prefillHeaders: () => ['X-Prefill', 'yes'],
  readAnswerHead: (status, headers) => ({
    requestId: headers['x-id'] as string | undefined,
    isNotRun: headers['x-not-run'] !== undefined,
    isWrongReplica: status === WRONG_REPLICA_STATUS,
    isSigned: headers['x-signed'] !== undefined,
    notice: { isLeaving: false }
  }),
  readPrefillResult: (body) => body.length === 0 ? Err('empty') : Ok(body.toString()),
  freeHandle: (handle) => ({ method: 'DELETE', path: `/handle/${handle}` }),
  takeHold: ({ tokens }) => ({ method: 'POST', path: '/hold', headers: [], body: Buffer.from(String(tokens)) }),
  readHoldAnswer: (status, body) => status === 200 ? { type: 'held', holdId: body.toString() } : status === 503 ? { type: 'refused' } : { type: 'not_offered' },
  dropHold: (holdId) => ({ method: 'DELETE', path: `/hold/${holdId}` }),
  stageOrder: ({ stage }) => ({ method: 'POST', path: '/order', headers: [], body: Buffer.from(stage) }),
  readOrderStatus: (status) => status === 200 ? 'holds_already' : status === 202 ? 'accepted' : 'unknown',
  report: { method: 'GET', path: '/report' },
  readReport: (body) => Ok(createReport(Number(body.toString())))
}

function createReport (usedTokens: number): EngineReport {
  return { stage: 'decode', usedTokens, capacityTokens: 20_000, queued: 0, active: usedTokens > 0 ? 1 : 0, isSwitching: false, isLeaving: false, runs: [] }
}
