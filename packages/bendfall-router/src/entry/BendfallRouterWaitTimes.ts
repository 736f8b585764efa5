/**
 * Times that requests wait for capacity, by what they wait for. They are only reported, so that operators can tell
 * which resource makes responses late.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import type { DecisionInputs } from './BendfallRouterEffects.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** What a request waits for: a prefill slot, decode memory, a place at a plain replica, or a permit of a limited one. */
export type WaitResource = 'slot' | 'memory' | 'place' | 'permit'

/** Waits of one request. */
export interface WaitTimes {
  readonly slotMs: number
  readonly memoryMs: number
  readonly placeMs: number
  readonly permitMs: number
  /** The wait that goes on. */
  readonly current?: { readonly resource: WaitResource, readonly sinceMs: number }
}

/** Waits of a request that has not waited yet. */
export const NO_WAITS: WaitTimes = { slotMs: 0, memoryMs: 0, placeMs: 0, permitMs: 0 }

/**
 * Records that a request waits from now on. A former wait has ended.
 *
 * @param context - context of the current event
 * @param request - request that waits
 * @param resource - what it waits for
 */
export function startWaitTime (context: RouterContext, request: RequestState, resource: WaitResource): void {
  endWaitTime(context, request)
  request.waitTimes = { ...request.waitTimes, current: { resource, sinceMs: context.nowMs } }
}

/**
 * Records that a request waits no longer.
 *
 * @param context - context of the current event
 * @param request - request whose wait, if any, has ended
 */
export function endWaitTime ({ nowMs }: RouterContext, request: RequestState): void {
  const { current, ...times } = request.waitTimes
  if (current === undefined) return
  const field = `${current.resource}Ms` as const
  request.waitTimes = { ...times, [field]: times[field] + nowMs - current.sinceMs }
}

/**
 * Returns the waits of a request in the form in which they are logged.
 *
 * @param request - request that has ended
 * @returns whole milliseconds; without the resources that it did not wait for
 */
export function waitLogInputs ({ waitTimes }: RequestState): DecisionInputs {
  const { memoryMs, permitMs, placeMs, slotMs } = waitTimes
  return { slotWaitMs: roundOrAbsent(slotMs), memoryWaitMs: roundOrAbsent(memoryMs), placeWaitMs: roundOrAbsent(placeMs), permitWaitMs: roundOrAbsent(permitMs) }
}

function roundOrAbsent (ms: number): number | undefined {
  return ms > 0 ? Math.round(ms) : undefined
}
