/**
 * Carries out effects in a run: one handler for each type.
 *
 * @module
 */
import type { Effect, EffectOf, EffectType, LoadView } from 'bendfall-core'
import type { AskKind } from './BendfallBenchLostAnswers.js'
import type { AttemptName, Fact } from './BendfallBenchEngineSink.js'
import { findSource } from './BendfallBenchUpstream.js'
import type { BenchProcess, World } from './BendfallBenchWorld.js'

type Handlers = { readonly [T in EffectType]?: (world: World, process: BenchProcess, effect: EffectOf<T>) => void }

/** An engine confirms a cancel or an order after this time. */
const ENGINE_CONFIRM_MS = 2
const KEY_CLAIM_ATTEMPT = 0

const HANDLERS: Handlers = {
  set_timer: (world, process, { timer, atMs }) => world.setTimer(process, timer, atMs),
  clear_timer: (_world, process, { timer }) => { process.timers.delete(`${timer.kind}/${timer.id}`) },
  record: (world, process, effect) => trace(world, process, effect.subject, () => `${effect.event} ${JSON.stringify(effect.fields)}`),
  count: () => {},
  measure: () => {},
  stopped: () => {},

  send_reserve: (world, process, { instanceId, ask }) => {
    connectEntry(world, process, { instanceId })
    send(world, process, instanceId, 'reserve', ask, { type: 'reserve_asked', ask })
  },
  send_prefill: (world, process, { instanceId, ask }) => send(world, process, instanceId, 'prefill', ask, { type: 'prefill_asked', ask }),
  send_decode: (world, process, { instanceId, ask }) => send(world, process, instanceId, 'decode', ask, { type: 'decode_asked', ask }),
  send_call: (world, process, { instanceId, ask }) => send(world, process, instanceId, 'call', ask, { type: 'call_asked', ask }),
  send_key_claim: (world, process, { instanceId, ask }) => send(world, process, instanceId, 'key_claim', { ...ask, attempt: KEY_CLAIM_ATTEMPT }, { type: 'key_claim_asked', ask }),
  send_cancel: (world, process, { instanceId, requestId, attempt }) => world.send(process, instanceId, { type: 'cancel_asked', requestId, attempt }),
  send_heartbeat: connectEntry,
  send_renewal: (world, process, { instanceId, requestIds }) => world.renew(process, instanceId, requestIds),
  send_key_settled: (world, process, { instanceId, requestId, pool, idempotencyKey, answered, body }) => {
    const result = answered ? { type: 'answered', body } as const : { type: 'not_run' } as const
    world.send(process, instanceId, { type: 'key_settled', requestId, pool, idempotencyKey, result })
  },
  emit_tokens: (world, process, { requestId, index, tokens }) => {
    trace(world, process, requestId, () => `emit_tokens ${index}+${tokens.length}`)
    world.parts.tally.tokens(requestId, index, tokens.length, world.clock.nowMs)
  },
  emit_answer: (world, _process, { requestId }) => world.parts.tally.answer(requestId, world.clock.nowMs),
  end_request: (world, process, { end }) => {
    trace(world, process, end.requestId, () => `end_request ${JSON.stringify(end)}`)
    world.parts.tally.end(end, world.clock.nowMs)
    world.parts.onEnd(end.requestId)
  },

  reply_reserve: (world, process, { requestId, attempt, reply }) => {
    answer(world, process, 'reserve', { requestId, attempt }, reply, (shown, name) => ({ type: 'reserve_replied', ...name, reply: shown }))
  },
  reply_prefill: (world, process, { requestId, attempt, reply }) => {
    answer(world, process, 'prefill', { requestId, attempt }, reply, (shown, name) => ({ type: 'prefill_replied', ...name, reply: shown }))
  },
  reply_call: (world, process, { requestId, attempt, reply }) => {
    answer(world, process, 'call', { requestId, attempt }, reply, (shown, name) => ({ type: 'call_replied', ...name, reply: shown }))
  },
  reply_key_claim: (world, process, { requestId, reply }) => {
    answer(world, process, 'key_claim', { requestId, attempt: KEY_CLAIM_ATTEMPT }, reply, (shown, name) => ({ type: 'key_claim_replied', ...name, reply: shown }))
  },
  relay_transfer: (world, process, { requestId, attempt, transferredBytes }) => {
    const { instanceId } = process.record
    world.relay(process, { kind: 'decode', requestId, attempt }, { type: 'transfer_progressed', requestId, attempt, instanceId, transferredBytes })
  },
  relay_tokens: (world, process, { requestId, attempt, index, tokens }) => {
    const { instanceId } = process.record
    world.relay(process, { kind: 'decode', requestId, attempt }, { type: 'tokens_arrived', requestId, attempt, instanceId, index, tokens })
  },
  relay_end: (world, process, { requestId, attempt, end }) => {
    answer(world, process, 'decode', { requestId, attempt }, end, (shown, name) => ({ type: 'decode_ended', ...name, end: shown }))
  },

  engine_prefill: (_world, process, { ask }) => process.upstream?.prefill?.prefill(ask),
  engine_import: (world, process, { ask }) => process.upstream?.decode?.import(ask, findSource(world, ask, process.record)),
  engine_decode: (_world, process, { ask }) => process.upstream?.decode?.decode(ask),
  engine_cancel: (world, process, { requestId, attempt }) => {
    process.upstream?.prefill?.cancel(requestId, attempt)
    process.upstream?.decode?.cancel({ requestId, attempt })
    world.clock.after(ENGINE_CONFIRM_MS, () => world.dispatch(process, { type: 'engine_cancelled', requestId, attempt, confirmed: true }))
  },
  engine_order: (world, process, { fencingToken }) => {
    world.clock.after(ENGINE_CONFIRM_MS, () => world.dispatch(process, { type: 'engine_order_ended', fencingToken, result: { type: 'done' } }))
  },
  service_call: (_world, process, { ask }) => process.upstream?.service?.call(ask)
}

/**
 * Carries out an effect.
 *
 * @param world - the run
 * @param process - the process whose reducer asked for it
 * @param effect - the effect
 * @returns false when no handler knows the effect
 */
export function handleEffect (world: World, process: BenchProcess, effect: Effect): boolean {
  const handler = HANDLERS[effect.type] as ((world: World, process: BenchProcess, effect: Effect) => void) | undefined
  handler?.(world, process, effect)
  return handler !== undefined
}

/** Load rides on answers and is noted before the answer itself. */
function answer<T extends object> (world: World, process: BenchProcess, kind: AskKind, name: AttemptName, reply: T, makeFact: (shown: T, name: AttemptName & { instanceId: string }) => Fact): void {
  const { instanceId } = process.record
  const load = 'load' in reply ? world.lagLoad(process, reply.load as LoadView) : undefined
  const shown = load === undefined ? reply : { ...reply, load }
  world.reply(process, { kind, ...name }, makeFact(shown, { ...name, instanceId }), load)
}

/** A connection is opened on first use; opening it again is as a heartbeat. */
function connectEntry (world: World, process: BenchProcess, { instanceId }: { readonly instanceId: string }): void {
  const { incarnation } = process.state.self
  world.send(process, instanceId, { type: 'entry_connected', connectionId: incarnation, entryIncarnation: incarnation })
}

function send (world: World, from: BenchProcess, to: string, kind: AskKind, name: AttemptName, fact: Fact): void {
  const { requestId, attempt } = name
  trace(world, from, requestId, () => `${fact.type} to ${to} attempt ${attempt}`)
  world.ask({ kind, requestId, attempt, from }, to, fact)
}

function trace (world: World, process: BenchProcess, subject: string, describe: () => string): void {
  if (!world.parts.isTracing) return
  const record = world.parts.tally.records.get(subject)
  record?.trace.push(`${world.clock.nowMs.toFixed(1)} ${process.record.instanceId} ${describe()}`)
}
