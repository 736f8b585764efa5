/**
 * Stand-in for a replica on the users' platform: a model replica that processes prompts (prefill) or
 * streams events within its memory (decode), or a plain replica without a stage.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { sendJson, startFleetServer } from './BendfallFakesFleetServer.js'
import type { AdvertisedLimit, FleetReplica, FleetReplicaFault, FleetReplicaOptions, SeenOrder, SeenRequest } from './BendfallFakesFleetReplicaTypes.js'
import { createAdmission } from './BendfallFakesReplicaAdmission.js'
import type { AdmissionJob } from './BendfallFakesReplicaAdmission.js'

export type * from './BendfallFakesFleetReplicaTypes.js'

const ACCEPTED_STATUS = 202
const FENCED_STATUS = 412
const PREFILL_TOKENS_PER_MS = 100
const TOKENS_PER_EVENT = 13
const CRASH_AFTER_MS = 30
const DEFAULT_URGENCY = 5
const UNREAD_CHECK_MS = 100

interface Run {
  tokens: number
  events: number
  readonly urgency: number
}

/**
 * Starts a replica on a free port.
 *
 * @param options - identity and behavior
 * @returns the replica once it listens
 */
export async function startFleetReplica (options: FleetReplicaOptions): Promise<FleetReplica> {
  const { ordersByUrgency = false, responseDelayMs = 0, unreadTimeoutMs, eventPaddingBytes = () => 0, breaksOff = () => false, crashesOn = () => false, eventMs = 5, events = 6, isCloseDelimited = false, restartsAfterCrash = false, memoryTokens = 20_000, onCrash = () => {}, responseBeforeCrash = 'nothing' } = options
  const seen: SeenRequest[] = []
  const orders: SeenOrder[] = []
  const runs = new Map<string, Run>()
  const handles = new Set<string>()
  const faults: FleetReplicaFault[] = []
  const admission = createAdmission({ slots: options.slots, maxQueued: options.maxQueued, memoryTokens: ordersByUrgency ? memoryTokens : undefined })
  const pendingDuplicates = new WeakMap<Socket, string>()
  let isDuplicating = false
  let hasCrashed = false
  let isLeaving = false
  let backoffS = 0
  let limitText: string | undefined
  const limits: AdvertisedLimit[] = []
  const controlCallsAtMs: number[] = []
  let { replicaId, softwareVersion, stage, timeFactor = 1 } = options
  let nextHandle = 1
  let startedAtMs = Date.now()

  const usedTokens = (): number => [...runs.values()].reduce((sum, run) => sum + run.tokens, 0)

  function advertiseLimit (perS: number | undefined): void {
    limitText = perS === undefined ? undefined : String(perS)
    const last = limits.at(-1)
    if (last !== undefined) last.untilMs ??= performance.now()
    if (perS !== undefined) limits.push({ perS, fromMs: performance.now() })
  }

  function sendReport (response: ServerResponse): void {
    sendJson(response, 200, {
      born: startedAtMs,
      stage,
      models: [],
      'in-progress': false,
      seq: 0,
      queued: admission.queued(),
      active: runs.size,
      'kv-used': usedTokens(),
      'kv-total': memoryTokens,
      'kv-handles': handles.size,
      runs: [...runs].map(([id, run]) => [id, run.tokens, run.events, run.urgency])
    })
  }

  function recordRequest (request: IncomingMessage, body: Buffer, response: ServerResponse, kind: SeenRequest['kind']): SeenRequest {
    const seenRequest: SeenRequest = { requestId: String(request.headers['x-request-id']), atMs: performance.now(), kind, headers: request.headers, path: request.url ?? '', body: body.toString(), isAborted: false, isRefused: false }
    seen.push(seenRequest)
    response.once('close', () => { seenRequest.isAborted = !response.writableFinished })
    return seenRequest
  }

  // Replicas echo the request id in each response, whatever its status.
  function sendResponse (request: IncomingMessage, response: ServerResponse, status: number, body: string, headers: Readonly<Record<string, string>> = {}): void {
    const allHeaders = { 'x-request-id': String(request.headers['x-request-id']), 'content-length': String(Buffer.byteLength(body)), ...headers }
    response.writeHead(status, allHeaders)
    response.end(body)
    if (isDuplicating) pendingDuplicates.set(request.socket, encodeRawResponse(status, allHeaders, body))
  }

  function sendDuplicate ({ socket }: IncomingMessage): void {
    const bytes = pendingDuplicates.get(socket)
    pendingDuplicates.delete(socket)
    if (bytes !== undefined) socket.write(bytes)
  }

  function sendNotRun (request: IncomingMessage, response: ServerResponse): void {
    sendResponse(request, response, 503, '{}', { 'x-not-executed': '1', 'x-instance-id': replicaId, ...(backoffS > 0 ? { 'retry-after': String(backoffS) } : {}) })
  }

  function sendMisdirected (request: IncomingMessage, response: ServerResponse): void {
    sendResponse(request, response, 421, '{}', { 'x-instance-id': replicaId })
  }

  function handlePrefill (request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const seenRequest = recordRequest(request, body, response, 'prefill')
    if (backoffS > 0) {
      seenRequest.isRefused = true
      return sendNotRun(request, response)
    }
    const start = (): void => {
      const handle = `${replicaId}-${nextHandle++}`
      handles.add(handle)
      seenRequest.handle = handle
      const result = JSON.stringify({ 'cache-handle': handle, tokens: promptTokens(request), version: 1 })
      setTimeout(() => sendResponse(request, response, 200, result, { 'content-type': 'application/json' }), prefillMs(promptTokens(request)))
    }
    admit(request, response, seenRequest, { tokens: 0, start, pause: () => {} })
  }

  const prefillMs = (tokens: number): number => timeFactor * tokens / PREFILL_TOKENS_PER_MS

  const urgencyOf = ({ headers }: SeenRequest): number => ordersByUrgency ? Number(headers['x-request-urgency'] ?? DEFAULT_URGENCY) : DEFAULT_URGENCY

  function admit (request: IncomingMessage, response: ServerResponse, seenRequest: SeenRequest, job: Omit<AdmissionJob, 'urgency'>): AdmissionJob {
    const queuedJob = { ...job, urgency: urgencyOf(seenRequest) }
    if (admission.enter(queuedJob)) {
      response.once('close', () => admission.leave(queuedJob))
      if (unreadTimeoutMs !== undefined) cutWhenUnread(response, unreadTimeoutMs)
    } else {
      seenRequest.isRefused = true
      sendNotRun(request, response)
    }
    return queuedJob
  }

  function handleRun (request: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const seenRequest = recordRequest(request, body, response, 'run')
    if (crashesOn(seenRequest)) {
      if (responseBeforeCrash !== 'nothing') startStream(seenRequest, response)
      if (responseBeforeCrash === 'event') writeEvent(seenRequest, response, Number(request.headers['last-event-id'] ?? 0) + 1)
      setTimeout(crash, CRASH_AFTER_MS)
      return
    }
    const fault = faults.shift()
    if (backoffS > 0 || fault === 'not_run' || (!ordersByUrgency && usedTokens() + promptTokens(request) > memoryTokens)) {
      seenRequest.isRefused = true
      return sendNotRun(request, response)
    }
    if (fault === 'reset' || fault === 'garbled') {
      failConnection(request, fault)
      return
    }
    const headers = {
      'x-request-id': fault === 'other_request' ? 'another' : seenRequest.requestId,
      ...(fault === 'unsigned' ? {} : { 'x-response-stamp': replicaId }),
      'content-type': stage === undefined ? 'text/plain' : 'text/event-stream'
    }
    if (stage === undefined) {
      const start = (): void => { setTimeout(() => sendResponse(request, response, 200, `answer to ${seenRequest.requestId}`, headers), timeFactor * responseDelayMs) }
      admit(request, response, seenRequest, { tokens: 0, start, pause: () => {} })
      return
    }
    stream(request, seenRequest, response, headers, fault === 'break_off' || breaksOff(seenRequest))
  }

  function startStream ({ requestId }: SeenRequest, response: ServerResponse, headers: Readonly<Record<string, string>> = { 'x-request-id': requestId, 'x-response-stamp': replicaId, 'content-type': 'text/event-stream' }): void {
    if (isCloseDelimited) {
      response.shouldKeepAlive = false
      response.useChunkedEncodingByDefault = false
    }
    response.writeHead(200, headers)
    response.flushHeaders()
  }

  function writeEvent (seenRequest: SeenRequest, response: ServerResponse, id: number): void {
    const paddingBytes = eventPaddingBytes(seenRequest)
    const padding = paddingBytes > 0 ? `:${'x'.repeat(paddingBytes)}\n` : ''
    response.write(`${padding}id: ${id}\ndata: piece ${id}${softwareVersion === undefined ? '' : ` by ${softwareVersion}`}\n\n`)
  }

  function stream (request: IncomingMessage, seenRequest: SeenRequest, response: ServerResponse, headers: Readonly<Record<string, string>>, isTruncated: boolean): void {
    const after = Number(request.headers['last-event-id'] ?? 0)
    const state: Run = { tokens: promptTokens(request), events: after, urgency: urgencyOf(seenRequest) }
    let timer: NodeJS.Timeout | undefined

    function makeEvent (): void {
      state.events += 1
      state.tokens += TOKENS_PER_EVENT
      writeEvent(seenRequest, response, state.events)
      if (isTruncated && state.events >= (after + events) / 2) response.destroy()
      if (state.events >= events) {
        response.end()
        return
      }
      timer = setTimeout(makeEvent, timeFactor * eventMs)
      admission.grow(job, TOKENS_PER_EVENT)
    }

    function start (): void {
      runs.set(seenRequest.requestId, state)
      // A preempted stream is prefilled again with what it had produced.
      const isPreempted = response.headersSent
      if (!isPreempted) startStream(seenRequest, response, headers)
      timer = setTimeout(makeEvent, timeFactor * eventMs + (isPreempted ? prefillMs(state.tokens) : 0))
    }

    function pause (): void {
      clearTimeout(timer)
      runs.delete(seenRequest.requestId)
    }

    response.once('close', pause)
    const job = admit(request, response, seenRequest, { tokens: state.tokens, start, pause })
  }

  function crash (): void {
    if (hasCrashed) return
    if (restartsAfterCrash) {
      restart()
      return onCrash()
    }
    hasCrashed = true
    server.stop(isCloseDelimited)
    admission.clear()
    runs.clear()
    onCrash()
  }

  function restart (): void {
    // Two restarts within one millisecond must still be different incarnations.
    startedAtMs = Math.max(Date.now(), startedAtMs + 1)
    stage = options.stage
    isLeaving = false
    backoffS = 0
    advertiseLimit(undefined)
    faults.length = 0
    handles.clear()
    server.resetAll()
    admission.clear()
    runs.clear()
  }

  function handleOrder ({ fence, holder, stage: orderedStage }: Omit<SeenOrder, 'atMs'>): number {
    const isFenced = orders.some((previous) => previous.fence > fence)
    orders.push({ atMs: performance.now(), fence, holder, stage: orderedStage })
    if (isFenced) return FENCED_STATUS
    stage = orderedStage
    return ACCEPTED_STATUS
  }

  const server = await startFleetServer(options.host, (request, body, response) => {
    const path = request.url ?? '/'
    sendDuplicate(request)
    if (isLeaving) response.setHeader('server-leaving', '1')
    if (limitText !== undefined) response.setHeader('server-limit', limitText)
    if (path === '/api/report') return sendReport(response)
    if (path.startsWith('/api/')) controlCallsAtMs.push(performance.now())
    if (path.startsWith('/api/kv-handle/')) {
      handles.delete(path.slice('/api/kv-handle/'.length))
      return sendJson(response, 200, {})
    }
    if (path === '/api/hold-take') return sendJson(response, 404, {})
    if ((request.headers['x-expect-instance'] ?? replicaId) !== replicaId) return sendMisdirected(request, response)
    if (path === '/api/order') {
      return sendJson(response, handleOrder(JSON.parse(body.toString()) as Omit<SeenOrder, 'atMs'>), {})
    }
    const wantsPrefill = request.headers['x-serving-stage'] === 'prefill'
    if (stage !== undefined && wantsPrefill !== (stage === 'prefill')) return sendMisdirected(request, response)
    if (wantsPrefill) handlePrefill(request, body, response)
    else handleRun(request, body, response)
  })
  return {
    ...server,
    seen,
    orders,
    limits,
    controlCallsAtMs,
    advertiseLimit,
    setLimitHeader: (text) => { limitText = text },
    stage: () => stage,
    startedAtMs: () => startedAtMs,
    restart,
    replace: (newReplicaId, newSoftwareVersion) => {
      replicaId = newReplicaId
      softwareVersion = newSoftwareVersion
      restart()
    },
    crash,
    running: () => runs.size,
    setTimeFactor: (factor) => { timeFactor = factor },
    preemptions: () => admission.preemptions(),
    failNext: (fault) => { faults.push(fault) },
    advertiseLeaving: () => { isLeaving = true },
    requestBackoff: (seconds) => { backoffS = seconds },
    duplicateResponses: () => { isDuplicating = true },
    clearFaults: () => {
      faults.length = 0
      isDuplicating = false
      backoffS = 0
      timeFactor = options.timeFactor ?? 1
      advertiseLimit(undefined)
    }
  }
}

// Cuts a response whose unsent rest was never empty for the whole time.
function cutWhenUnread (response: ServerResponse, unreadTimeoutMs: number): void {
  let sentAtMs = performance.now()
  const timer = setInterval(() => {
    if (response.writableLength === 0) sentAtMs = performance.now()
    else if (performance.now() - sentAtMs >= unreadTimeoutMs) response.socket?.resetAndDestroy()
  }, UNREAD_CHECK_MS)
  response.once('close', () => clearInterval(timer))
}

function encodeRawResponse (status: number, headers: Readonly<Record<string, string>>, body: string): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${status} Again`, ...lines, '', body].join('\r\n')
}

function failConnection ({ socket }: IncomingMessage, fault: 'reset' | 'garbled'): void {
  if (fault === 'reset') socket.resetAndDestroy()
  else socket.end('no answer\r\n\r\n')
}

function promptTokens (request: IncomingMessage): number {
  return Number(String(request.headers['x-token-counts'] ?? '0').split(',')[0])
}
