/**
 * What the transport tells a process whose ask met a dead instance.
 *
 * @module
 */
import type { Fact } from './BendfallBenchEngineSink.js'

/** Asks that want an answer. */
export type AskKind = 'reserve' | 'prefill' | 'decode' | 'call' | 'key_claim'

/** An ask without its answer. */
export interface LostAsk {
  readonly kind: AskKind
  readonly requestId: string
  readonly attempt: number
}

type MakeFact = (name: { requestId: string, attempt: number, instanceId: string }, reached: boolean) => Fact

const LOST_ANSWERS: Readonly<Record<AskKind, MakeFact>> = {
  reserve: (name) => ({ type: 'reserve_replied', ...name, reply: { type: 'unreachable' } }),
  prefill: (name) => ({ type: 'prefill_replied', ...name, reply: { type: 'failed', reason: 'upstream_unreachable' } }),
  decode: (name) => ({ type: 'decode_ended', ...name, end: { type: 'failed', reason: 'upstream_unreachable', kvLost: false } }),
  call: (name, reached) => ({ type: 'call_replied', ...name, reply: { type: 'unreachable', reached } }),
  key_claim: (name) => ({ type: 'key_claim_replied', ...name, reply: { type: 'unreachable' } })
}

/**
 * Makes the event for an ask that will have no answer.
 *
 * @param ask - the ask
 * @param instanceId - the dead instance
 * @param reached - whether bytes of the ask may have arrived
 * @returns the event for the process that asked
 */
export function lostAnswer (ask: LostAsk, instanceId: string, reached: boolean): Fact {
  const { kind, requestId, attempt } = ask
  return LOST_ANSWERS[kind]({ requestId, attempt, instanceId }, reached)
}
