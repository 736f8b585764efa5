/**
 * Converts between the messages of the ledger protocol and the types of the router, and bounds
 * the time of calls.
 *
 * @module
 */
import { scheduleTimeout, systemClock } from 'bendfall-node'
import type { ReplicaLoad as LoadMessage, ReserveMemoryRequest } from 'bendfall-protocol'
import type { ReplicaLoad, ReplicaStage, RouterEffectOf } from 'bendfall-router'

/** Time allowed for a call beyond the wait that it requests; later responses count as lost. */
export const CALL_SLACK_MS = 250

const STAGES: ReadonlySet<string> = new Set(['prefill', 'decode'])

/**
 * Converts an effect to the message that reserves decode memory or a prefill slot.
 *
 * @param effect - reservation that the router decided on
 * @returns the request message
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
    onTimeWaitMs: Math.round(effect.onTimeWaitMs),
    priority: effect.priority,
    isContinuation: effect.isContinuation,
    customerHash: effect.customerHash ?? 0,
    customerWeight: effect.customerWeight ?? 0,
    readsInPlace: effect.type === 'reserve' && effect.readsInPlace
  }
}

/**
 * Converts a load message to the type of the router.
 *
 * @param replicaId - id of the replica
 * @param message - load that its ledger reported
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
    backlogTokens: message.backlogTokens,
    tokensPerMs: message.tokensPerMs
  }
}

/**
 * Bounds the time of a call. The call's own timeout doesn't cover connecting to an instance
 * that has lost power.
 *
 * @param answer - pending response of the call
 * @param timeoutMs - maximum time
 * @returns the response
 * @throws Error when there is no response in time
 */
export function withTimeout<T> (answer: Promise<T>, timeoutMs: number): Promise<T> {
  let cancelTimeout = (): void => {}
  const timedOut = new Promise<never>((_resolve, reject) => {
    cancelTimeout = scheduleTimeout(systemClock, timeoutMs, () => reject(new Error(`no answer within ${timeoutMs} ms`)))
  })
  return Promise.race([answer, timedOut]).finally(() => cancelTimeout())
}
