/**
 * The naive twin at the entry: round robin prefill, then round robin decode,
 * no reservation, retry on any error.
 *
 * @module
 */
import { stay } from 'bendfall-core'
import type { CallAsk, Effect, EventOf, HandlerTable, LanguageRequest, PoolRole, PrefillAsk, RequestId, ServiceRequest, State, Step } from 'bendfall-core'
import { naiveOf, withNaive, withNaiveRequest } from './BendfallBenchNaiveState.js'
import type { NaiveRequest } from './BendfallBenchNaiveState.js'

/** Tries of one request, the first included: what common proxies default to. */
export const NAIVE_MAX_ATTEMPTS = 4
/** What the naive twin tells refused callers. */
const RETRY_AFTER_MS = 1_000
const NO_INSTANCE = ''

interface AttemptEvent {
  readonly requestId: RequestId
  readonly attempt: number
}

/** Handlers of the naive twin at the entry. */
export const naiveEntry: HandlerTable = {
  config_learned: (state, event) => stay({ ...state, config: event.config }),
  instances_listed: (state, event) => stay(withNaive(state, { instances: event.instances })),
  language_request_arrived: (state, { request }) => startAttempt(addRequest(state, { language: request }), request.requestId),
  service_request_arrived: (state, { request }) => startAttempt(addRequest(state, { service: request }), request.requestId),
  prefill_replied: onPrefillReplied,
  tokens_arrived: onTokensArrived,
  decode_ended: onDecodeEnded,
  call_replied: onCallReplied,
  caller_left: onCallerLeft
}

function addRequest (state: State, parts: { language?: LanguageRequest, service?: ServiceRequest }): State {
  const requestId = (parts.language ?? parts.service)?.requestId ?? ''
  const request: NaiveRequest = { ...parts, attempt: 0, instanceId: NO_INSTANCE, sentTokens: 0 }
  return withNaive(state, { requests: naiveOf(state).requests.set(requestId, request) })
}

function startAttempt (state: State, requestId: RequestId): Step {
  const request = naiveOf(state).requests.get(requestId)
  if (request === undefined) return stay(state)
  if (request.attempt >= NAIVE_MAX_ATTEMPTS) return refuse(state, requestId)
  const next = { ...request, attempt: request.attempt + 1 }
  if (next.language !== undefined) return sendPrefill(state, next, next.language)
  return next.service === undefined ? stay(state) : sendCall(state, next, next.service)
}

function sendPrefill (state: State, request: NaiveRequest, language: LanguageRequest): Step {
  return place(state, language.requestId, request, poolOf(state, 'prefill', language.model), (instanceId) => {
    const ask: PrefillAsk = {
      requestId: language.requestId,
      attempt: request.attempt,
      entryId: state.self.instanceId,
      model: language.model,
      trafficClass: language.trafficClass,
      prompt: language.prompt,
      promptTokens: language.promptTokens,
      expectedTokens: language.promptTokens,
      notBeforeInMs: 0,
      prefixHashes: language.prefixHashes,
      maxWaitMs: language.firstOutputMs
    }
    return { type: 'send_prefill', instanceId, ask }
  })
}

function sendCall (state: State, request: NaiveRequest, service: ServiceRequest): Step {
  return place(state, service.requestId, request, service.pool, (instanceId) => {
    const ask: CallAsk = {
      requestId: service.requestId,
      attempt: request.attempt,
      entryId: state.self.instanceId,
      clientId: service.clientId,
      pool: service.pool,
      method: service.method,
      path: service.path,
      contentType: service.contentType,
      body: service.body,
      repeatable: service.repeatable,
      idempotencyKey: service.idempotencyKey,
      keyIssuedAtMs: service.keyIssuedAtMs,
      bodyDigest: service.bodyDigest,
      maxWaitMs: service.answerMs
    }
    return { type: 'send_call', instanceId, ask }
  })
}

function place (state: State, requestId: RequestId, request: NaiveRequest, pool: string, makeEffect: (instanceId: string) => Effect): Step {
  const { instances, turns, requests } = naiveOf(state)
  const members = instances.filter((instance) => instance.pool === pool && instance.state === 'live')
  if (members.length === 0) return refuse(state, requestId)
  const turn = turns.get(pool, 0)
  const { instanceId } = members[turn % members.length]
  const placed = withNaive(state, {
    turns: turns.set(pool, turn + 1),
    requests: requests.set(requestId, { ...request, instanceId })
  })
  return { state: placed, effects: [makeEffect(instanceId)] }
}

function poolOf (state: State, role: PoolRole, model: string): string {
  const pools = Object.entries(state.config?.pools ?? {})
  return pools.find(([, pool]) => pool.role === role && pool.model === model)?.[0] ?? ''
}

function onPrefillReplied (state: State, event: EventOf<'prefill_replied'>): Step {
  const request = liveRequest(state, event)
  if (request?.language === undefined) return stay(state)
  if (event.reply.type !== 'done') return startAttempt(state, event.requestId)
  const { language, attempt } = request
  const { handle, exportUrl, kvBytes } = event.reply
  return place(state, language.requestId, request, poolOf(state, 'decode', language.model), (instanceId) => ({
    type: 'send_decode',
    instanceId,
    ask: {
      requestId: language.requestId,
      attempt,
      entryId: state.self.instanceId,
      fencingToken: 0,
      model: language.model,
      trafficClass: language.trafficClass,
      handle,
      exportUrl,
      kvBytes,
      prompt: language.prompt,
      maxOutputTokens: language.maxOutputTokens,
      resumeTokens: []
    }
  }))
}

function onTokensArrived (state: State, event: EventOf<'tokens_arrived'>): Step {
  const request = liveRequest(state, event)
  if (request === undefined) return stay(state)
  const tokens = event.tokens.slice(Math.max(0, request.sentTokens - event.index))
  if (tokens.length === 0) return stay(state)
  const index = request.sentTokens
  const next = withNaiveRequest(state, event.requestId, { sentTokens: index + tokens.length })
  return { state: next, effects: [{ type: 'emit_tokens', requestId: event.requestId, index, tokens }] }
}

function onDecodeEnded (state: State, event: EventOf<'decode_ended'>): Step {
  if (liveRequest(state, event) === undefined) return stay(state)
  if (event.end.type === 'failed') return startAttempt(state, event.requestId)
  return answer(state, event.requestId, [])
}

function onCallReplied (state: State, event: EventOf<'call_replied'>): Step {
  if (liveRequest(state, event) === undefined) return stay(state)
  if (event.reply.type !== 'answered') return startAttempt(state, event.requestId)
  const { status, contentType, body, replayed } = event.reply
  return answer(state, event.requestId, [{ type: 'emit_answer', requestId: event.requestId, status, contentType, body, replayed }])
}

function onCallerLeft (state: State, event: EventOf<'caller_left'>): Step {
  const request = naiveOf(state).requests.get(event.requestId)
  if (request === undefined) return stay(state)
  const cancel: Effect = { type: 'send_cancel', instanceId: request.instanceId, requestId: event.requestId, attempt: request.attempt }
  return end(state, event.requestId, [cancel], { outcome: 'cancelled', retryAfterMs: 0, detail: event.reason })
}

function liveRequest (state: State, event: AttemptEvent): NaiveRequest | undefined {
  const request = naiveOf(state).requests.get(event.requestId)
  return request?.attempt === event.attempt ? request : undefined
}

function answer (state: State, requestId: RequestId, effects: readonly Effect[]): Step {
  return end(state, requestId, effects, { outcome: 'answered', retryAfterMs: 0, detail: '' })
}

function refuse (state: State, requestId: RequestId): Step {
  return end(state, requestId, [], { outcome: 'unknown', reason: 'upstream_failed', retryAfterMs: RETRY_AFTER_MS, detail: 'attempts spent' })
}

type End = Omit<Extract<Effect, { type: 'end_request' }>['end'], 'requestId'>

function end (state: State, requestId: RequestId, effects: readonly Effect[], how: End): Step {
  const { requests } = naiveOf(state)
  const request = requests.get(requestId)
  const trafficClass = (request?.language ?? request?.service)?.trafficClass ?? 'summary'
  const after = withNaive(state, { requests: requests.delete(requestId) })
  return { state: after, effects: [...effects, { type: 'end_request', trafficClass, end: { requestId, ...how } }] }
}
