/**
 * Messages of the ledger protocol to and from the router's own types, and the bound
 * on a call's time.
 *
 * @module
 */
import type { ReplicaLoad as LoadMessage, ReserveMemoryRequest } from 'bendfall-protocol'
import type { ReplicaLoad, ReplicaStage, RouterEffectOf } from 'bendfall-router'

/** Answers later than this beyond their wait count as lost. */
export const CALL_SLACK_MS = 250

const STAGES: ReadonlySet<string> = new Set(['prefill', 'decode'])

/**
 * Message that books memory or a slot.
 *
 * @param effect - what the router asks for
 * @returns the message
 */
export function toReserveRequest (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>): Omit<ReserveMemoryRequest, '$typeName' | '$unknown'> {
  return {
    requestId: effect.bookingId.slice(0, effect.bookingId.lastIndexOf('/')),
    bookingId: effect.bookingId,
    promptTokens: effect.promptTokens,
    hintTokens: effect.type === 'reserve' ? effect.hintTokens : 0,
    maxOutputTokens: effect.type === 'reserve' ? effect.maxOutputTokens : 0,
    leadMs: Math.round(effect.leadMs),
    maxWaitMs: Math.max(0, Math.round(effect.maxWaitMs)),
    priority: effect.priority,
    targetMs: Math.round(effect.targetMs),
    readsInPlace: effect.type === 'reserve' && effect.readsInPlace
  }
}

/**
 * Load as the router knows it.
 *
 * @param replicaId - id of the replica
 * @param message - what its ledger told
 * @returns the load
 */
export function toReplicaLoad (replicaId: string, message: LoadMessage): ReplicaLoad {
  return {
    replicaId,
    stage: STAGES.has(message.stage) ? message.stage as ReplicaStage : undefined,
    isHealthy: message.healthy,
    isLeaving: message.leaving,
    limitPerS: message.limitPerS,
    capacityTokens: message.capacityTokens,
    roomTokens: message.roomTokens,
    backlogTokens: message.backlogTokens
  }
}

/**
 * Bounds the time of a call. A connection that is being opened to an instance without
 * power is not bounded by the call's own timeout.
 *
 * @param answer - of the call
 * @param timeoutMs - longest time
 * @returns the answer
 * @throws Error when there is none in time
 */
export function withTimeout<T> (answer: Promise<T>, timeoutMs: number): Promise<T> {
  let timer: NodeJS.Timeout
  const timedOut = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
  })
  return Promise.race([answer, timedOut]).finally(() => clearTimeout(timer))
}
