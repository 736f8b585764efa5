/**
 * Stand-in for a replica on raw TCP: responds to each request according to a script and records what
 * it received and sent.
 *
 * @module
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { EncodedResponse, ResponseContext } from './BendfallFakesAnswersEncode.js'
import { encodeResponse, isRefusal } from './BendfallFakesAnswersEncode.js'
import { cutPosition, encodeDuplicate, endsConnection, writeResponse } from './BendfallFakesAnswersWriter.js'
import { createRequestReader } from './BendfallFakesAnswersRequests.js'
import type { RequestHead } from './BendfallFakesAnswersRequests.js'
import type { AnswerScript, RequestPurpose, ScriptIdleEnd } from './BendfallFakesAnswersScript.js'
import { describeScript, isCloseDelimited } from './BendfallFakesAnswersScript.js'
import { digestOf } from './BendfallFakesAnswersTruth.js'
import type { AnswersTruth, Arrival, SentResponse } from './BendfallFakesAnswersTruth.js'

/** A request for which a script is chosen. */
export interface ScriptedRequest {
  readonly replicaId: string
  readonly asked: RequestPurpose
  readonly requestId: string
  /** Number of requests that reached the replica before. */
  readonly serial: number
  readonly isStream: boolean
}

/** Address and behavior of a replica. */
export interface AnswersReplicaOptions {
  readonly host: string
  readonly replicaId: string
  readonly scriptOf: (request: ScriptedRequest) => AnswerScript
}

/** The stand-in. */
export interface AnswersReplica {
  /** `ip:port`. */
  readonly address: string
  readonly truth: () => AnswersTruth
  readonly close: () => Promise<void>
}

/** Number of events in a stream: few, so that a run of the fuzzer stays short. */
export const STREAM_EVENTS = 5

const CONTROL_CALLS: ReadonlyArray<readonly [string, RequestPurpose]> = [['/api/hold-take', 'hold'], ['/api/hold-drop/', 'drop'], ['/api/kv-handle/', 'free']]

/**
 * Starts a scripted replica on a free port.
 *
 * @param options - address, id and scripts
 * @returns the replica once it listens
 */
export async function startAnswersReplica (options: AnswersReplicaOptions): Promise<AnswersReplica> {
  const { replicaId, scriptOf } = options
  const arrivals: Arrival[] = []
  const garbage: string[] = []
  const sockets = new Set<Socket>()
  let connections = 0

  function recordArrival (head: RequestHead, connection: number): { readonly arrival: Arrival, readonly encoded: EncodedResponse, readonly script: AnswerScript } {
    const serial = arrivals.length
    const asked = classifyRequest(head)
    const requestId = head.headers.get('x-request-id') ?? ''
    const isStream = asked === 'run' && head.headers.has('x-token-counts')
    const script = scriptOf({ replicaId, asked, requestId, serial, isStream })
    const issued = asked === 'prefill' || asked === 'hold' ? `${asked}-${replicaId}-${serial}` : undefined
    const context: ResponseContext = {
      asked,
      requestId: head.headers.get('x-request-id'),
      replicaId,
      serial,
      issued,
      events: isStream ? { after: Number(head.headers.get('last-event-id') ?? 0), last: STREAM_EVENTS } : undefined
    }
    const encoded = encodeResponse(script, context)
    const arrival: Arrival = {
      replicaId,
      connection,
      asked,
      isStream,
      requestId,
      method: head.method,
      path: head.path,
      source: head.headers.get('x-kv-source'),
      hold: head.headers.get('x-kv-hold'),
      issued,
      hasRun: asked === 'run' && !isRefusal(script.status),
      atMs: performance.now(),
      script: describeScript(script),
      answer: createSentResponse(script, encoded)
    }
    arrivals.push(arrival)
    return { arrival, encoded, script }
  }

  function serve (socket: Socket): void {
    connections += 1
    const connection = connections
    let pendingDuplicate: Buffer = Buffer.alloc(0)
    // Writes are serialized: a duplicate is written before or after other responses, never within them.
    let writeQueue: Promise<void> = Promise.resolve()
    let current: ReturnType<typeof recordArrival> | undefined

    async function respond ({ encoded, script }: ReturnType<typeof recordArrival>): Promise<void> {
      await sleep(script.workMs)
      const previousDuplicate = pendingDuplicate
      pendingDuplicate = Buffer.alloc(0)
      await writeResponse(socket, script, encoded, previousDuplicate)
      const { double, idleEnd } = script
      if (idleEnd !== undefined) enqueueAfter(idleEnd.afterMs, () => endIdleConnection(socket, idleEnd))
      if (double === undefined || endsConnection(script) || double.when === 'same_segment') return
      if (double.when === 'with_next') pendingDuplicate = encodeDuplicate(double, encoded)
      else enqueueAfter(double.afterMs, () => { if (socket.writable) socket.write(encodeDuplicate(double, encoded)) })
    }

    function enqueueAfter (afterMs: number, act: () => void): void {
      setTimeout(() => { writeQueue = writeQueue.then(act) }, afterMs).unref()
    }

    const reader = createRequestReader({
      onHead: (head) => {
        current = recordArrival(head, connection)
        if (!current.script.isEarly) return
        const exchange = current
        socket.pause()
        writeQueue = writeQueue.then(() => respond(exchange)).finally(() => socket.resume())
      },
      onRequest: (_, body) => {
        if (current === undefined) return
        const exchange = current
        exchange.arrival.sentRequest = digestOf(body)
        if (!exchange.script.isEarly) writeQueue = writeQueue.then(() => respond(exchange))
      },
      onGarbage: (bytes) => { garbage.push(`${replicaId} connection ${connection}: ${bytes.subarray(0, 80).toString('latin1')}`) }
    })
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', reader.push)
  }

  const server = createServer((socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    serve(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, options.host, resolve))
  return {
    address: `${options.host}:${(server.address() as AddressInfo).port}`,
    truth: () => ({ arrivals, garbage }),
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}

function endIdleConnection (socket: Socket, { how }: ScriptIdleEnd): void {
  if (!socket.writable) return
  if (how === 'fin') socket.end()
  else socket.resetAndDestroy()
}

function classifyRequest ({ headers, path }: RequestHead): RequestPurpose {
  const controlCall = CONTROL_CALLS.find(([prefix]) => path.startsWith(prefix))
  if (controlCall !== undefined) return controlCall[1]
  return headers.get('x-serving-stage') === 'prefill' ? 'prefill' : 'run'
}

function createSentResponse (script: AnswerScript, encoded: EncodedResponse): SentResponse {
  const { cut, framing, status } = script
  const answer: SentResponse = { status, framing, isReset: cut?.how === 'reset', body: digestOf(encoded.body) }
  // Only a close-delimited response is still valid when an orderly close ends it early.
  if (cut?.how !== 'fin' || !isCloseDelimited(framing)) return answer
  const bodyBytes = Math.max(0, cutPosition(cut, encoded) - encoded.head.length)
  return { ...answer, sentBody: digestOf(encoded.body.subarray(0, bodyBytes)) }
}
