/**
 * Rules between settings, which a JSON schema can't express.
 *
 * @module
 */
import { DEFAULT_HOME_HOLDER_TIMES } from '../home/BendfallNodeHomeTimes.js'
import { describeFound } from './BendfallNodeFinding.js'
import type { Finding } from './BendfallNodeFinding.js'
import type { Settings } from './BendfallNodeSettings.js'

const { renewalMs, leaseMarginMs } = DEFAULT_HOME_HOLDER_TIMES

/** Shortest lease that outlives one lost renewal: two periods and the margin before its end. */
export const MIN_HOME_LEASE_MS = 2 * renewalMs + leaseMarginMs

interface Rule {
  readonly pointer: string
  readonly expected: string
  readonly isKept: (settings: Settings) => boolean
  readonly found: (settings: Settings) => unknown
}

const RULES: readonly Rule[] = [
  {
    pointer: '/timings/homeLeaseMs',
    expected: `>= ${MIN_HOME_LEASE_MS}, two renewals of ${renewalMs} ms and a margin of ${leaseMarginMs} ms`,
    isKept: ({ timings }) => timings.homeLeaseMs >= MIN_HOME_LEASE_MS,
    found: ({ timings }) => timings.homeLeaseMs
  },
  {
    pointer: '/upstream/checksFencing',
    expected: 'no fencing check at a plain service, which gets no orders',
    isKept: ({ upstream }) => upstream?.kind !== 'service' || !upstream.checksFencing,
    found: ({ upstream }) => upstream?.checksFencing
  }
]

/**
 * Finds the rules that settings break.
 *
 * @param settings - settings that match the schema
 * @param file - name of the document in findings
 * @returns all findings, each at the setting to change
 */
export function findBrokenRules (settings: Settings, file: string): Finding[] {
  const broken = RULES.filter(({ isKept }) => !isKept(settings))
  return broken.map(({ pointer, expected, found }) => ({ file, pointer, expected, found: describeFound(found(settings)) }))
}
