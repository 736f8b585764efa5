/**
 * Check of the soak for request rate limits that replicas advertise.
 *
 * @module
 */
import { findWorstWindow } from '../BendfallFakesRateJudge.js'
import type { ForwardedResponse } from '../BendfallFakesRateJudge.js'
import type { CallRecord } from './BendfallFakesFleetCaller.js'
import type { SoakFleet } from './BendfallFakesSoakFleet.js'

/** Returns whether no recent fault affected the entry itself, which is given as `ip:port`. */
export type IsEntryUndisturbed = (atMs: number, entry: string) => boolean

/**
 * Finds replicas that received more requests than an advertised limit allows.
 *
 * @param fleet - replicas to check
 * @param records - calls of all callers
 * @param isEntryUndisturbed - returns whether arrivals from an entry count at a given time
 * @returns one line per violation
 */
export function findOverLimit ({ models, plain }: Pick<SoakFleet, 'models' | 'plain'>, records: readonly CallRecord[], isEntryUndisturbed: IsEntryUndisturbed): string[] {
  const answers = records.flatMap(({ answeredAtMs, entry, replicaId, requestId }): ForwardedResponse[] => [{ requestId, entry, answeredAtMs: answeredAtMs ?? Infinity, replicaId }])
  return [...models, ...plain].flatMap(({ replica, replicaId }) => {
    const worst = findWorstWindow({ replica, replicaId: replicaId(), answers, isCounted: isEntryUndisturbed })
    if (worst === undefined || worst.over <= 0) return []
    return [`${replicaId()} advertised ${worst.perS} requests/s and received ${worst.arrived} in the window up to ${Math.round(worst.atMs)}, ${worst.over} too many`]
  })
}
