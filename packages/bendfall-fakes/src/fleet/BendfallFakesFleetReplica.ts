/**
 * Stand-in of a replica on the users' platform: a model replica that reads
 * prompts or makes events within its memory, or a plain one.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { answerJson, startFleetServer } from './BendfallFakesFleetServer.js'
import type { FleetServer } from './BendfallFakesFleetServer.js'

/** What a replica is. */
export interface FleetReplicaOptions {
  readonly host: string
  readonly replicaId: string
  readonly stage?: 'prefill' | 'decode'
  readonly memoryTokens?: number
  /** Events of an answer. */
  readonly events?: number
  readonly eventMs?: number
  /** Time of an answer without a prompt. */
  readonly answerMs?: number
}

/** How a replica fails its next request. */
export type FleetReplicaFault = 'not_run' | 'reset' | 'garbled' | 'other_request' | 'unsigned' | 'break_off'

/** What a replica saw of a request. */
export interface SeenRequest {
  readonly requestId: string
  /** Monotonic time of its arrival. */
  readonly atMs: number
  readonly kind: 'prefill' | 'run'
  readonly headers: IncomingMessage['headers']
  readonly path: string
  readonly body: string
  isAborted: boolean
  /** Whether the replica said that it did not run the request. */
  isRefused: boolean
}

/** The stand-in. */
export interface FleetReplica extends FleetServer {
  readonly seen: readonly SeenRequest[]
  /** Fails the next request that it is asked to run. */
  readonly failNext: (fault: FleetReplicaFault) => void
  /** Forgets faults that no request met. */
  readonly heal: () => void
  readonly stage: () => string | undefined
  /** Start of its process, Unix milliseconds. */
  readonly startedAtMs: () => number
  /** Starts again under its id and address: it knows nothing of before, and its connections are reset. */
  readonly restart: () => void
  /** Requests that run now. */
  readonly running: () => number
}

const PREFILL_TOKENS_PER_MS = 100
const TOKENS_PER_EVENT = 13

interface Run {
  tokens: number
  events: number
}

/**
 * Starts the stand-in.
 *
 * @param options - what it is
 * @returns the stand-in once it listens
 */
export async function startFleetReplica (options: FleetReplicaOptions): Promise<FleetReplica> {
  const { answerMs = 0, eventMs = 5, events = 6, memoryTokens = 20_000, replicaId } = options
  const seen: SeenRequest[] = []
  const runs = new Map<string, Run>()
  const handles = new Set<string>()
  const faults: FleetReplicaFault[] = []
  let { stage } = options
  let nextHandle = 1
  let startedAtMs = Date.now()

  const usedTokens = (): number => [...runs.values()].reduce((sum, run) => sum + run.tokens, 0)

  function report (response: ServerResponse): void {
    answerJson(response, 200, {
      born: startedAtMs,
      stage,
      models: [],
      'in-progress': false,
      seq: 0,
      queued: 0,
      active: runs.size,
      'kv-used': usedTokens(),
      'kv-total': memoryTokens,
      'kv-handles': handles.size,
      runs: [...runs].map(([id, run]) => [id, run.tokens, run.events, 5])
    })
  }

  function note (request: IncomingMessage, body: Buffer, response: ServerResponse, kind: SeenRequest['kind']): SeenRequest {
    const one: SeenRequest = { requestId: String(request.headers['x-request-id']), atMs: performance.now(), kind, headers: request.headers, path: request.url ?? '', body: body.toString(), isAborted: false, isRefused: false }
    seen.push(one)
    response.once('close', () => { one.isAborted = !response.writableFinished })
    return one
  }

  function refuse (response: ServerResponse): void {
    answerJson(response, 503, {}, { 'x-not-executed': '1', 'x-instance-id': replicaId })
  }

  function prefill (request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    note(request, body, response, 'prefill')
    const handle = `${replicaId}-${nextHandle++}`
    handles.add(handle)
    setTimeout(() => answerJson(response, 200, { 'cache-handle': handle, tokens: promptTokens(request), version: 1 }), promptTokens(request) / PREFILL_TOKENS_PER_MS)
  }

  function run (request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const one = note(request, body, response, 'run')
    const fault = faults.shift()
    if (fault === 'not_run' || usedTokens() + promptTokens(request) > memoryTokens) {
      one.isRefused = true
      return refuse(response)
    }
    if (fault === 'reset' || fault === 'garbled') {
      breakOff(request, fault)
      return
    }
    response.writeHead(200, {
      'x-request-id': fault === 'other_request' ? 'another' : one.requestId,
      ...(fault === 'unsigned' ? {} : { 'x-response-stamp': replicaId }),
      'content-type': stage === undefined ? 'text/plain' : 'text/event-stream'
    })
    if (stage === undefined) setTimeout(() => response.end(`answer to ${one.requestId}`), answerMs)
    else stream(one, promptTokens(request), Number(request.headers['last-event-id'] ?? 0), response, fault === 'break_off')
  }

  function stream (one: SeenRequest, promptLength: number, after: number, response: ServerResponse, isBrokenOff: boolean): void {
    const state = { tokens: promptLength, events: after }
    runs.set(one.requestId, state)
    response.once('close', () => { runs.delete(one.requestId) })
    const timer = setInterval(() => {
      state.events += 1
      state.tokens += TOKENS_PER_EVENT
      response.write(`id: ${state.events}\ndata: piece ${state.events}\n\n`)
      if (isBrokenOff && state.events >= events / 2) response.destroy()
      if (state.events >= events) response.end()
    }, eventMs)
    response.once('close', () => clearInterval(timer))
    response.once('finish', () => clearInterval(timer))
  }

  function restart (): void {
    // Restarts within one millisecond are two incarnations as well.
    startedAtMs = Math.max(Date.now(), startedAtMs + 1)
    stage = options.stage
    faults.length = 0
    handles.clear()
    server.resetAll()
    runs.clear()
  }

  const server = await startFleetServer(options.host, (request, body, response) => {
    const path = request.url ?? '/'
    if (path === '/api/report') return report(response)
    if (path.startsWith('/api/kv-handle/')) {
      handles.delete(path.slice('/api/kv-handle/'.length))
      return answerJson(response, 200, {})
    }
    if ((request.headers['x-expect-instance'] ?? replicaId) !== replicaId) return answerJson(response, 421, {}, { 'x-instance-id': replicaId })
    if (path === '/api/order') {
      stage = (JSON.parse(body.toString()) as { readonly stage: 'prefill' | 'decode' }).stage
      return answerJson(response, 202, {})
    }
    const wantsPrefill = request.headers['x-serving-stage'] === 'prefill'
    if (stage !== undefined && wantsPrefill !== (stage === 'prefill')) return answerJson(response, 421, {}, { 'x-instance-id': replicaId })
    if (wantsPrefill) prefill(request, body, response)
    else run(request, body, response)
  })
  return { ...server, seen, stage: () => stage, startedAtMs: () => startedAtMs, restart, running: () => runs.size, failNext: (fault) => { faults.push(fault) }, heal: () => { faults.length = 0 } }
}

function breakOff ({ socket }: IncomingMessage, fault: 'reset' | 'garbled'): void {
  if (fault === 'reset') socket.resetAndDestroy()
  else socket.end('no answer\r\n\r\n')
}

function promptTokens (request: IncomingMessage): number {
  return Number(String(request.headers['x-token-counts'] ?? '0').split(',')[0])
}
