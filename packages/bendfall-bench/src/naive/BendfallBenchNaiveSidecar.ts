/**
 * The naive twin at the sidecar: passes everything on, checks nothing.
 *
 * @module
 */
import type { CallReply, EventOf, HandlerTable, LoadView, PrefillReply, State, Step } from 'bendfall-core'
import { naiveOf, withNaive } from './BendfallBenchNaiveState.js'

/** The naive twin does not look at load. */
const NO_LOAD: LoadView = {
  freeKvBytes: 0,
  totalKvBytes: 0,
  activeRequests: 0,
  queuedPrefillTokens: 0,
  urgentPrefillTokens: 0,
  prefillTokensPerSecond: 0,
  stepMs: 0,
  readyInMs: 0,
  draining: false,
  configVersion: 0
}

interface AttemptName {
  readonly requestId: string
  readonly attempt: number
}

/** Handlers of the naive twin at the sidecar. */
export const naiveSidecar: HandlerTable = {
  prefill_asked: (state, { ask }) => ({ state, effects: [{ type: 'engine_prefill', ask }] }),
  engine_prefill_ended: onPrefillEnded,
  decode_asked: onDecodeAsked,
  engine_import_ended: onImportEnded,
  engine_tokens: (state, { requestId, attempt, index, tokens }) => ({ state, effects: [{ type: 'relay_tokens', requestId, attempt, index, tokens }] }),
  engine_decode_ended: onEngineDecodeEnded,
  cancel_asked: (state, { requestId, attempt }) => ({ state: forgetDecode(state, { requestId, attempt }), effects: [{ type: 'engine_cancel', requestId, attempt }] }),
  call_asked: (state, { ask }) => ({ state, effects: [{ type: 'service_call', ask }] }),
  service_replied: onServiceReplied
}

function onPrefillEnded (state: State, event: EventOf<'engine_prefill_ended'>): Step {
  const { requestId, attempt, result } = event
  const reply: PrefillReply = result.type === 'done' ? { ...result, load: NO_LOAD } : { type: 'failed', reason: result.reason }
  return { state, effects: [{ type: 'reply_prefill', requestId, attempt, reply }] }
}

function onDecodeAsked (state: State, { ask }: EventOf<'decode_asked'>): Step {
  const decodes = naiveOf(state).decodes.set(keyOf(ask), ask)
  return { state: withNaive(state, { decodes }), effects: [{ type: 'engine_import', ask }] }
}

function onImportEnded (state: State, event: EventOf<'engine_import_ended'>): Step {
  const { requestId, attempt, result } = event
  const ask = naiveOf(state).decodes.get(keyOf(event))
  if (ask === undefined) return { state, effects: [] }
  if (result.type === 'done') return { state, effects: [{ type: 'engine_decode', ask }] }
  const end = { type: 'failed', reason: result.reason, kvLost: result.kvLost } as const
  return { state: forgetDecode(state, event), effects: [{ type: 'relay_end', requestId, attempt, end }] }
}

function onEngineDecodeEnded (state: State, event: EventOf<'engine_decode_ended'>): Step {
  const { requestId, attempt, result } = event
  const end = result.type === 'finished'
    ? { type: 'finished', tokenCount: result.tokenCount, load: NO_LOAD } as const
    : { type: 'failed', reason: result.reason, kvLost: true } as const
  return { state: forgetDecode(state, event), effects: [{ type: 'relay_end', requestId, attempt, end }] }
}

function onServiceReplied (state: State, event: EventOf<'service_replied'>): Step {
  const { requestId, attempt, result } = event
  const reply: CallReply = result.type === 'answered'
    ? { ...result, replayed: false, load: NO_LOAD }
    : { type: 'unreachable', reached: result.reached }
  return { state, effects: [{ type: 'reply_call', requestId, attempt, reply }] }
}

function forgetDecode (state: State, name: AttemptName): State {
  return withNaive(state, { decodes: naiveOf(state).decodes.delete(keyOf(name)) })
}

function keyOf (name: AttemptName): string {
  return `${name.requestId}/${name.attempt}`
}
