/**
 * Checks the outcomes that callers saw against the runs that the upstream
 * stand-ins counted.
 *
 * @module
 */
import type { CallVerdict } from './BendfallFakesClusterCalls.js'
import type { Cluster } from './BendfallFakesCluster.js'
import { BOOKING_PATH } from './BendfallFakesClusterPlan.js'

/** Verdicts on all calls of one booking, including retries with its key. */
export interface BookingRecord {
  readonly name: string
  readonly verdicts: readonly CallVerdict[]
}

/**
 * Checks bookings against the runs that the services counted.
 *
 * @param cluster - a cluster whose service stand-ins were never restarted, since a restart resets the counts
 * @param bookings - all bookings made, with unique names
 * @returns a description of each violation; empty when there is none
 */
export async function findBookingViolations (cluster: Cluster, bookings: readonly BookingRecord[]): Promise<string[]> {
  const services = cluster.instanceIds.filter((instanceId) => cluster.node(instanceId).record.pool === 'freight')
  const counts = await Promise.all(services.map((instanceId) => cluster.service(instanceId)))
  const runsOf = (name: string): number => counts.reduce((sum, { byPath }) => sum + (byPath[`POST ${BOOKING_PATH}/${name}`] ?? 0), 0)
  return bookings.flatMap((booking) => findRunViolations(booking, runsOf(booking.name)))
}

function findRunViolations ({ name, verdicts }: BookingRecord, runs: number): string[] {
  const outcomes = verdicts.map((verdict) => verdict.type === 'refused' ? verdict.outcome : verdict.type).join(' ')
  const isAnswered = verdicts.some(({ type }) => type === 'answered')
  const isNotRun = verdicts.every((verdict) => verdict.type === 'unreached' || (verdict.type === 'refused' && verdict.outcome === 'not_run'))
  const faults = [
    runs > 1 && `ran ${runs} times`,
    isAnswered && runs === 0 && 'was answered without a run',
    isNotRun && runs > 0 && 'was reported as not_run after a run',
    verdicts.some(({ type }) => type === 'violation') && JSON.stringify(verdicts)
  ]
  return faults.flatMap((fault) => fault === false ? [] : [`booking ${name} ${fault} (outcomes: ${outcomes})`])
}

/**
 * Checks chat completions against the requests that the engines worked on.
 *
 * @param cluster - a cluster whose engine stand-ins were never restarted
 * @param verdicts - verdicts on all chat completions
 * @returns a description of each violation; empty when there is none
 */
export async function findChatViolations (cluster: Cluster, verdicts: readonly CallVerdict[]): Promise<string[]> {
  const engines = [...cluster.fleet.upstreams.keys()].filter((instanceId) => !instanceId.startsWith('freight'))
  const states = await Promise.all(engines.map((instanceId) => cluster.engine(instanceId)))
  const worked = new Set(states.flatMap(({ requestIds }) => requestIds))
  return verdicts.flatMap((verdict) => {
    if (verdict.type === 'violation') return [verdict.detail]
    const isViolation = verdict.type === 'refused' && verdict.outcome === 'not_run' && worked.has(verdict.requestId)
    return isViolation ? [`chat ${verdict.requestId} was reported as not_run (${verdict.reason}) after an engine had worked on it`] : []
  })
}
