/**
 * Decides how long an entry leaves a vacant role to others. Handles bursts in which leaders with a
 * quarter of a core take up to 130 ms at the 95th percentile to answer: entries with more
 * processor time take the role first.
 *
 * @module
 */
import type { RouterDecisions } from '../BendfallRouterDecisions.js'

/** How a role became vacant: its key lapsed or was freed, or its holder is known to have ended. */
export type VacancyCause = 'freed' | 'ended'

/** Entries with a smaller share of a core wait. */
const MIN_UNDELAYED_SHARE = 0.5

/**
 * Wait by the cause of the vacancy. After a proven end it equals the random delay of the other
 * entries, so that a leader is replaced within 500 ms when only small entries are up.
 */
const DELAY_MS: Readonly<Record<VacancyCause, number>> = { freed: 300, ended: 150 }

/**
 * Returns the time for which an entry leaves a vacant role to others.
 *
 * @param choice - switch of the mechanism
 * @param processorShare - cores that the entry may use
 * @param cause - how the role became vacant
 * @returns milliseconds since the vacancy; 0 for an entry that need not wait
 */
export function electionDelayMs (choice: RouterDecisions['allotmentLeader'], processorShare: number, cause: VacancyCause): number {
  return choice === 'large_first' && processorShare < MIN_UNDELAYED_SHARE ? DELAY_MS[cause] : 0
}
