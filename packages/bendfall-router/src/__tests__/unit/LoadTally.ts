import type { Customer } from '../../index.js'
import type { Caller, LoadScenario, LoadTally, StreamResult } from './LoadScenario.js'

/** Counts the outcomes of callers. */
export function tallyOf (callers: readonly Caller[]): LoadTally {
  const countOf = (outcome: string): number => callers.filter((caller) => (caller.outcome ?? 'unserved') === outcome).length
  return { asked: callers.length, onTime: countOf('on_time'), late: countOf('late'), unserved: countOf('unserved') }
}

/** Returns the id of the request that a booking is for. */
export function requestIdOf (bookingId: string): string {
  return bookingId.slice(0, bookingId.lastIndexOf('/'))
}

/** Returns the result of one caller's stream. */
export function toStreamResult ({ firstTryAtMs, outcome, tries }: Caller): StreamResult {
  return { firstTryAtMs, hasBegunAtOnce: tries === 1 && (outcome === 'on_time' || outcome === 'late') }
}

/** Returns the customers of a load, and one more for its flood. */
export function customersOf ({ customers }: LoadScenario): readonly Customer[] | undefined {
  return customers === undefined ? undefined : Array.from({ length: customers + 1 }, (_, i) => ({ name: `customer-${i}`, keyDigests: [`k${i}`] }))
}
