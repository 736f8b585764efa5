/**
 * Verdict of the soak on limits that replicas name.
 *
 * @module
 */
import { findWorstWindow } from '../BendfallFakesRateJudge.js'
import type { PassedAnswer } from '../BendfallFakesRateJudge.js'
import type { CallRecord } from './BendfallFakesFleetCaller.js'
import type { SoakFleet } from './BendfallFakesSoakFleet.js'

/** Tells whether an entry itself was undisturbed for long enough; `ip:port` of it. */
export type IsEntryCalm = (atMs: number, entry: string) => boolean

/**
 * Finds replicas that got more than a limit of theirs allowed.
 *
 * @param fleet - its replicas
 * @param records - of all callers
 * @param isEntryCalm - entries that are excused from counting
 * @returns a line for each
 */
export function findOverLimit ({ models, plain }: Pick<SoakFleet, 'models' | 'plain'>, records: readonly CallRecord[], isEntryCalm: IsEntryCalm): string[] {
  const answers = records.flatMap(({ answeredAtMs, entry, replicaId, requestId }): PassedAnswer[] => [{ requestId, entry, answeredAtMs: answeredAtMs ?? Infinity, replicaId }])
  return [...models, ...plain].flatMap(({ replica, replicaId }) => {
    const worst = findWorstWindow({ replica, replicaId, answers, isCounted: isEntryCalm })
    if (worst === undefined || worst.over <= 0) return []
    return [`${replicaId} named ${worst.perS} a second and got ${worst.arrived} requests in the window up to ${Math.round(worst.atMs)}, ${worst.over} too many`]
  })
}
