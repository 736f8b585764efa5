/**
 * Verdicts of the soak on what replicas say of themselves, and on the request that ends
 * each replica which runs it.
 *
 * @module
 */
import type { CallRecord } from './BendfallFakesFleetCaller.js'
import { POISON_PATH } from './BendfallFakesSoakFleet.js'
import type { SoakFleet, SoakNotice } from './BendfallFakesSoakFleet.js'

/** Tells whether an entry, its way to the store and the store were undisturbed for long enough. */
export type IsCalm = (atMs: number) => boolean

/** Time after which a replica that leaves must get no new work, and slack of a busy machine. */
const DRAIN_MS = 2_000
const SLACK_MS = 300

/** Time in which an entry hears of a backoff, and requests that may reach the replica in the rest of it. */
const HEARD_MS = 500
const ALLOWED_IN_BACKOFF = 2

/** Time in which all entries know of the third crash, and sends that may follow. */
const CONTACT_MS = 3_000
const ENDING_CRASHES = 3
const ALLOWED_SENDS = 3

/** Reason that an entry gives for refusing a request that ends replicas. */
const CRASHES = 'crashes_replicas'

/** What the verdicts need. */
export interface NoticeEvidence {
  readonly fleet: SoakFleet
  readonly records: readonly CallRecord[]
  readonly isCalm: IsCalm
}

/**
 * Finds requests that reached a replica from an entry which had passed on that it leaves.
 *
 * @param evidence - of the soak
 * @returns a line for each
 */
export function findLateToLeaving ({ fleet, isCalm, records }: NoticeEvidence): string[] {
  const byId = new Map(records.map((record) => [record.requestId, record]))
  return fleet.notices.filter(({ kind }) => kind === 'leaves').flatMap((notice) => {
    const toldAtMs = toldTimes(fleet, notice, records)
    return within(notice).flatMap(({ atMs, requestId }) => {
      const record = byId.get(requestId)
      const told = toldAtMs.get(record?.entry ?? '') ?? Infinity
      if (record === undefined || record.startedAtMs < told + DRAIN_MS + SLACK_MS || !isCalm(atMs)) return []
      return [`${requestId} reached ${notice.replica.address} ${Math.round(atMs - told)} ms after ${record.entry} had passed on that it leaves`]
    })
  })
}

// First time at which each entry passed on an answer of the replica that said so.
function toldTimes ({ models, plain }: SoakFleet, { fromMs, replica, untilMs = Infinity }: SoakNotice, records: readonly CallRecord[]): ReadonlyMap<string, number> {
  const replicaId = [...models, ...plain].find((one) => one.replica === replica)?.replicaId
  const first = new Map<string, number>()
  for (const { answeredAtMs = Infinity, entry, replicaId: answered, startedAtMs } of records) {
    // One that began before may have been answered before.
    if (answered !== replicaId || startedAtMs < fromMs || answeredAtMs > untilMs) continue
    first.set(entry, Math.min(answeredAtMs, first.get(entry) ?? Infinity))
  }
  return first
}

/**
 * Finds entries that sent more to a replica in its backoff than may have been on the way.
 *
 * @param evidence - of the soak
 * @returns a line for each
 */
export function findInBackoff ({ fleet, isCalm, records }: NoticeEvidence): string[] {
  const byId = new Map(records.map((record) => [record.requestId, record]))
  return fleet.notices.filter(({ kind }) => kind === 'backs_off').flatMap((notice) => fleet.entries.flatMap((entry) => {
    const arrived = within(notice).filter(({ requestId }) => byId.get(requestId)?.entry === entry)
    const heardAtMs = arrived.find(({ isRefused }) => isRefused)?.atMs ?? Infinity
    const late = arrived.filter(({ atMs }) => atMs > heardAtMs + HEARD_MS && isCalm(atMs))
    return late.length <= ALLOWED_IN_BACKOFF ? [] : [`${late[0]?.requestId}: ${late.length} requests of ${entry} reached ${notice.replica.address} in its backoff of ${Math.round((notice.untilMs ?? 0) - notice.fromMs)} ms`]
  }))
}

function within ({ fromMs, replica, untilMs = Infinity }: SoakNotice): SoakNotice['replica']['seen'] {
  return replica.seen.filter(({ atMs }) => atMs > fromMs && atMs < untilMs)
}

/**
 * Finds sends of the request that ends replicas, later than all know of its third crash,
 * and others that were refused in its place.
 *
 * @param evidence - of the soak
 * @returns a line for each
 */
export function findCrashFaults ({ fleet, isCalm, records }: NoticeEvidence): string[] {
  const knownAtMs = (fleet.crashes[ENDING_CRASHES - 1] ?? Infinity) + CONTACT_MS + SLACK_MS
  const late = fleet.plain.flatMap(({ replica }) => replica.seen.filter(({ atMs, path }) => path === POISON_PATH && atMs > knownAtMs && isCalm(atMs)))
  const wronged = records.filter(({ body, requestId }) => body.includes(CRASHES) && !requestId.startsWith('poison'))
  return [
    ...(late.length > ALLOWED_SENDS ? [`${late[0]?.requestId}: ${late.length} sends later than ${CONTACT_MS} ms after the third crash`] : []),
    ...wronged.map(({ kind, requestId }) => `${requestId}: ${kind} refused as if it ended replicas`)
  ]
}
