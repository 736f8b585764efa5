/**
 * Checks of the soak for notices: replicas that report that they are leaving or backing off, and a
 * request that crashes each replica that runs it.
 *
 * @module
 */
import type { CallRecord } from './BendfallFakesFleetCaller.js'
import { POISON_PATH } from './BendfallFakesSoakFleet.js'
import type { SoakFleet, SoakNotice } from './BendfallFakesSoakFleet.js'

/** Returns whether no recent fault affected the entries, the store or the path to it. */
export type IsUndisturbed = (atMs: number) => boolean

/** Time after which a leaving replica must receive no new requests. */
const DRAIN_MS = 2_000

/** Tolerance for scheduling delays on a busy machine. */
const SLACK_MS = 300

/** Time after the first refusal in which an entry learns of a backoff. */
const NOTICE_DELAY_MS = 500

/** Requests of an entry that may reach the replica in the rest of its backoff. */
const ALLOWED_IN_BACKOFF = 2

/** Time in which all entries learn of a crash. */
const PROPAGATION_MS = 3_000

/** Crashes after which a request must no longer be sent. */
const MAX_CRASHES = 3

/** Sends that may still follow once all entries know. */
const ALLOWED_LATE_SENDS = 3

/** Reason with which an entry refuses a request that crashes replicas. */
const CRASH_REASON = 'crashes_replicas'

/** Observations that the checks evaluate. */
export interface NoticeEvidence {
  readonly fleet: SoakFleet
  readonly records: readonly CallRecord[]
  readonly isUndisturbed: IsUndisturbed
}

/**
 * Finds requests that an entry sent to a leaving replica after it had forwarded a response with that notice.
 *
 * @param evidence - observations of the soak
 * @returns one line per violation
 */
export function findLateToLeaving ({ fleet, isUndisturbed, records }: NoticeEvidence): string[] {
  const byId = new Map(records.map((record) => [record.requestId, record]))
  return fleet.notices.filter(({ kind }) => kind === 'leaves').flatMap((notice) => {
    const noticeTimes = findNoticeTimes(fleet, notice, records)
    return arrivalsDuring(notice).flatMap(({ atMs, requestId }) => {
      const record = byId.get(requestId)
      const noticedAtMs = noticeTimes.get(record?.entry ?? '') ?? Infinity
      if (record === undefined || record.startedAtMs < noticedAtMs + DRAIN_MS + SLACK_MS || !isUndisturbed(atMs)) return []
      return [`${requestId} reached ${notice.replica.address} ${Math.round(atMs - noticedAtMs)} ms after ${record.entry} had forwarded its leaving notice`]
    })
  })
}

// Returns when each entry first forwarded a response of the replica that carried the notice.
function findNoticeTimes ({ models, plain }: SoakFleet, { fromMs, replica, untilMs = Infinity }: SoakNotice, records: readonly CallRecord[]): ReadonlyMap<string, number> {
  const replicaId = [...models, ...plain].find((one) => one.replica === replica)?.replicaId
  const first = new Map<string, number>()
  for (const { answeredAtMs = Infinity, entry, replicaId: respondingId, startedAtMs } of records) {
    // The replica may have responded to an earlier call before it issued the notice.
    if (respondingId !== replicaId || startedAtMs < fromMs || answeredAtMs > untilMs) continue
    first.set(entry, Math.min(answeredAtMs, first.get(entry) ?? Infinity))
  }
  return first
}

/**
 * Finds entries that sent more requests to a replica during its backoff than may have been in flight.
 *
 * @param evidence - observations of the soak
 * @returns one line per violation
 */
export function findExcessInBackoff ({ fleet, isUndisturbed, records }: NoticeEvidence): string[] {
  const byId = new Map(records.map((record) => [record.requestId, record]))
  return fleet.notices.filter(({ kind }) => kind === 'backs_off').flatMap((notice) => fleet.entries.flatMap((entry) => {
    const arrived = arrivalsDuring(notice).filter(({ requestId }) => byId.get(requestId)?.entry === entry)
    const firstRefusedAtMs = arrived.find(({ isRefused }) => isRefused)?.atMs ?? Infinity
    const late = arrived.filter(({ atMs }) => atMs > firstRefusedAtMs + NOTICE_DELAY_MS && isUndisturbed(atMs))
    return late.length <= ALLOWED_IN_BACKOFF ? [] : [`${late[0]?.requestId}: ${late.length} requests of ${entry} reached ${notice.replica.address} during its backoff of ${Math.round((notice.untilMs ?? 0) - notice.fromMs)} ms`]
  }))
}

function arrivalsDuring ({ fromMs, replica, untilMs = Infinity }: SoakNotice): SoakNotice['replica']['seen'] {
  return replica.seen.filter(({ atMs }) => atMs > fromMs && atMs < untilMs)
}

/**
 * Finds sends of the crashing request after all entries know of its third crash, and other requests
 * that were refused as if they crashed replicas.
 *
 * @param evidence - observations of the soak
 * @returns one line per violation
 */
export function findCrashViolations ({ fleet, isUndisturbed, records }: NoticeEvidence): string[] {
  const knownAtMs = (fleet.crashes[MAX_CRASHES - 1] ?? Infinity) + PROPAGATION_MS + SLACK_MS
  const late = fleet.plain.flatMap(({ replica }) => replica.seen.filter(({ atMs, path }) => path === POISON_PATH && atMs > knownAtMs && isUndisturbed(atMs)))
  const wronglyRefused = records.filter(({ body, requestId }) => body.includes(CRASH_REASON) && !requestId.startsWith('poison'))
  return [
    ...(late.length > ALLOWED_LATE_SENDS ? [`${late[0]?.requestId}: ${late.length} sends more than ${PROPAGATION_MS} ms after the third crash`] : []),
    ...wronglyRefused.map(({ kind, requestId }) => `${requestId}: ${kind} refused as if it crashed replicas`)
  ]
}
