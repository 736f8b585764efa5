/**
 * Client of the soak, with a check of each response as the caller sees it.
 *
 * @module
 */
import { Agent, request as httpRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'

/** Kind of call, which is also the prefix of its path. */
export type CallKind = 'booking' | 'brief' | 'rate' | 'summary'

/** Parameters of a call. */
export interface CallRequest {
  readonly kind: CallKind
  readonly requestId: string
  /** `/KIND/1` when absent. */
  readonly path?: string
  /** API key of a customer; absent where callers need none. */
  readonly key?: string
  /** Ids of the parts of the prompt; absent: the caller names none. */
  readonly partIds?: readonly string[]
  /** Time after which the caller closes the connection unless it was answered; absent: it stays. */
  readonly leavesAfterMs?: number
  /** Whether the caller pauses after each chunk of the response. */
  readonly isSlowReader?: boolean
}

/** A call and its outcome. */
export interface CallRecord {
  readonly requestId: string
  readonly kind: CallKind
  /** `ip:port` of the entry. */
  readonly entry: string
  readonly startedAtMs: number
  /** API key that the call was sent with. */
  readonly key?: string
  /** When the response head arrived; absent without a response. */
  answeredAtMs?: number
  /** When the caller closed the connection before the response was complete. */
  leftAtMs?: number
  /** Replica that signed the response. */
  replicaId?: string
  status: number
  isComplete: boolean
  body: string
}

const CALL_TIMEOUT_MS = 8_000
const SLOW_READ_PAUSE_MS = 300
const TOKENS = '1500,200'
const PART_TOKENS = 300
const KINDS_WITH_PROMPT: ReadonlySet<CallKind> = new Set(['brief', 'summary'])

/** Padding of events, which would take much memory in the records of many calls. */
const PADDING = /x{64,}/g

/** Keeps connections open between calls until the process exits. */
const agent = new Agent({ keepAlive: true })

/**
 * Makes one call.
 *
 * @param address - `ip:port` of an entry
 * @param host - host of the routes
 * @param request - kind, id, path and key
 * @returns the outcome, also after a connection error
 */
export function call (address: string, host: string, { isSlowReader = false, key, kind, leavesAfterMs, partIds, path = `/${kind}/1`, requestId }: CallRequest): Promise<CallRecord> {
  const record: CallRecord = { requestId, kind, key, entry: address, startedAtMs: performance.now(), status: 0, isComplete: false, body: '' }
  const [ip = '', port = ''] = address.split(':')
  const headers = { host, 'x-request-id': requestId, 'x-deadline-ms': '5000', ...(KINDS_WITH_PROMPT.has(kind) ? { 'x-token-counts': TOKENS } : {}), ...(key === undefined ? {} : { 'x-api-key': key }), ...(partIds === undefined ? {} : { 'x-prompt-prefix': partIds.map((id) => `${id}:${PART_TOKENS}`).join(',') }) }
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(leaveTimer)
      resolve(record)
    }
    const request = httpRequest({ host: ip, port: Number(port), path, method: kind === 'rate' ? 'GET' : 'POST', agent, headers, timeout: CALL_TIMEOUT_MS }, (response) => readResponse(response, record, isSlowReader, finish))
    request.on('timeout', () => request.destroy())
    request.on('error', finish)
    request.end()
    const leaveTimer = leavesAfterMs === undefined
      ? undefined
      : setTimeout(() => {
        record.leftAtMs = performance.now()
        request.destroy()
      }, leavesAfterMs)
  })
}

function readResponse (response: IncomingMessage, record: CallRecord, isSlowReader: boolean, finish: () => void): void {
  record.status = response.statusCode ?? 0
  record.answeredAtMs = performance.now()
  record.replicaId = response.headers['x-response-stamp'] as string | undefined
  response.setEncoding('utf8')
  response.on('data', (chunk: string) => {
    record.body += chunk.replace(PADDING, '')
    if (!isSlowReader) return
    response.pause()
    setTimeout(() => response.resume(), SLOW_READ_PAUSE_MS)
  })
  response.on('end', () => { record.isComplete = response.complete })
  response.on('error', finish)
  response.on('close', finish)
}

/**
 * Checks a response: its body must belong to the request, and a stream must have all events in order.
 *
 * @param record - call with its response
 * @param events - number of events in a complete stream
 * @returns a description of the violation; undefined when there is none
 */
export function findResponseViolation ({ body, isComplete, kind, requestId, status }: CallRecord, events: number): string | undefined {
  if (status !== 200) return undefined
  if (!KINDS_WITH_PROMPT.has(kind)) return isComplete && body !== `answer to ${requestId}` ? `${requestId}: unexpected response body: ${body}` : undefined
  const ids = [...body.matchAll(/^id: (\d+)\n/gm)].map((match) => Number(match[1]))
  if (ids.some((id, index) => id !== index + 1)) return `${requestId}: events missing, duplicated or merged: ${ids.join(' ')}`
  return isComplete && ids.length !== events ? `${requestId}: reported as complete after ${ids.length} of ${events} events` : undefined
}
