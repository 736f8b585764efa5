/**
 * Records under which requests replicas crashed. A request is identified by its fingerprint, since it
 * is retried under a new id and at other entries. A crash is identified by the process that ended,
 * since several entries see the same one.
 *
 * @module
 */

/** One process of a replica. */
export interface ReplicaProcess {
  readonly replicaId: string
  /** Start of the process in Unix time; absent where the platform does not report it. */
  readonly startedAtMs?: number
}

/** When a request counts as the cause of crashes. */
export interface CrashLimits {
  /** Number of replicas that must have crashed under it. */
  readonly replicas: number
  /** How long a crash counts. */
  readonly rememberedMs: number
}

/** Used where the settings define no limits. */
export const DEFAULT_CRASH_LIMITS: CrashLimits = { replicas: 3, rememberedMs: 600_000 }

/** Crashes of one request, by the process that ended. */
export type CrashObservations = Map<string, CrashObservation>

/** Observation of a process that crashed under a request. */
export interface CrashObservation {
  /** When this entry learned of the crash or, for a report of another entry with ages, when that entry did. */
  readonly atMs: number
  /** Whether this entry observed it itself. */
  readonly isOwn: boolean
  /** Number of responses that this entry had forwarded by then. */
  readonly answers: number
  /** When the request was sent to the process; absent if that was not reported. */
  readonly sentAtMs?: number
}

/** An observation to be recorded, without the response count. */
type NewObservation = Omit<CrashObservation, 'answers'>

/** A process to which connections were lost and which may or may not have ended. */
export interface LostProcess {
  readonly process: ReplicaProcess
  /** Suspected requests, by fingerprint, with the time at which each was sent to the process. */
  readonly fingerprints: Map<string, number>
  readonly lostAtMs: number
  /** Whether a connection was accepted there afterwards, by this process or by one that was restarted at once. */
  hasAcceptedConnection: boolean
}

/** An entry's records of crashes. */
export interface CrashRecords {
  readonly limits: CrashLimits
  /** By process name. */
  readonly lost: Map<string, LostProcess>
  /** Crashes by the fingerprint of the request, oldest first. */
  readonly suspects: Map<string, CrashObservations>
  /** Crashes that a request did not cause, since it was served after them. */
  readonly cleared: Map<string, CrashObservations>
  /** Fingerprints that were served recently, oldest first. */
  readonly served: Set<string>
  /** Number of responses that this entry has forwarded. */
  answers: number
}

/** Maximum fingerprints kept of each kind; one crash ends up to 64 requests at once. */
const MAX_SUSPECTS = 1_024
const MAX_SERVED = 4_096

/** After this time a lost connection no longer indicates that its process ended. */
const LOST_CONNECTION_TTL_MS = 10_000

/**
 * Creates empty records.
 *
 * @param limits - when a request counts as the cause of crashes
 * @returns the records
 */
export function createCrashRecords (limits: CrashLimits = DEFAULT_CRASH_LIMITS): CrashRecords {
  return { limits, lost: new Map(), suspects: new Map(), cleared: new Map(), served: new Set(), answers: 0 }
}

/**
 * Formats the name by which all entries identify a process.
 *
 * @param process - process of a replica
 * @returns id of the replica, followed by the start of the process if it is known
 */
export function formatProcessName ({ replicaId, startedAtMs }: ReplicaProcess): string {
  return startedAtMs === undefined ? replicaId : `${replicaId}/${startedAtMs}`
}

/**
 * Extracts the replica id from the name of a process.
 *
 * @param name - name made by {@link formatProcessName}
 * @returns id of the replica
 */
export function parseReplicaId (name: string): string {
  const end = name.lastIndexOf('/')
  return end === -1 ? name : name.slice(0, end)
}

/** A request under which a connection was lost. */
export interface Suspect {
  readonly fingerprint: string
  readonly sentAtMs: number
}

/**
 * Records that a connection was lost under a request.
 *
 * @param records - changed in place
 * @param process - process at the other end of the connection
 * @param suspect - the request; undefined if it is not suspected
 * @param nowMs - current time
 * @returns whether the process should be checked: false if a check is already in progress
 */
export function addLostProcess ({ lost }: CrashRecords, process: ReplicaProcess, suspect: Suspect | undefined, nowMs: number): boolean {
  for (const [name, { lostAtMs }] of lost) {
    if (nowMs - lostAtMs < LOST_CONNECTION_TTL_MS) break
    lost.delete(name)
  }
  const name = formatProcessName(process)
  const existing = lost.get(name)
  const wasChecked = existing?.hasAcceptedConnection === true
  if (existing !== undefined) existing.hasAcceptedConnection = false
  const lostProcess = existing ?? { process, fingerprints: new Map<string, number>(), lostAtMs: nowMs, hasAcceptedConnection: false }
  if (suspect !== undefined) lostProcess.fingerprints.set(suspect.fingerprint, suspect.sentAtMs)
  lost.set(name, lostProcess)
  return existing === undefined || wasChecked
}

/**
 * Records that a process accepted a connection after others were lost. From then on only the registration of
 * a later process shows that it has ended.
 *
 * @param records - changed in place
 * @param process - process of the replica
 */
export function recordAcceptedConnection ({ lost }: CrashRecords, process: ReplicaProcess): void {
  const lostProcess = lost.get(formatProcessName(process))
  if (lostProcess !== undefined) lostProcess.hasAcceptedConnection = true
}

/**
 * Records that a process has ended.
 *
 * @param records - changed in place
 * @param process - process of the replica
 * @param nowMs - current time
 * @returns fingerprints of the suspected requests; undefined if no connection to the process was lost
 */
export function recordCrash (records: CrashRecords, process: ReplicaProcess, nowMs: number): readonly string[] | undefined {
  const name = formatProcessName(process)
  const lostProcess = records.lost.get(name)
  if (lostProcess === undefined) return undefined
  records.lost.delete(name)
  for (const [fingerprint, sentAtMs] of lostProcess.fingerprints) addObservation(records, 'suspects', fingerprint, name, { atMs: nowMs, isOwn: true, sentAtMs })
  return [...lostProcess.fingerprints.keys()]
}

/**
 * Records that a request was served, which shows that it did not cause the crashes before.
 *
 * @param records - changed in place
 * @param fingerprint - fingerprint of the request
 * @param nowMs - current time
 * @returns number of crashes of which it is cleared
 */
export function recordServed (records: CrashRecords, fingerprint: string, nowMs: number): number {
  addServedFingerprint(records, fingerprint)
  records.answers += 1
  const crashes = records.suspects.get(fingerprint)
  if (crashes === undefined) return 0
  for (const name of crashes.keys()) addObservation(records, 'cleared', fingerprint, name, { atMs: nowMs, isOwn: true })
  records.suspects.delete(fingerprint)
  return crashes.size
}

/**
 * Marks a request as recently served, by this entry or another one.
 *
 * @param records - changed in place
 * @param fingerprint - fingerprint of the request
 */
export function addServedFingerprint ({ served }: CrashRecords, fingerprint: string): void {
  served.delete(fingerprint)
  served.add(fingerprint)
  if (served.size > MAX_SERVED) dropOldest(served)
}

/**
 * Deletes all crash records at an operator's request.
 *
 * @param records - changed in place
 */
export function clearCrashRecords ({ cleared, lost, suspects }: CrashRecords): void {
  for (const all of [cleared, lost, suspects]) all.clear()
}

/**
 * Adds an observation of a process under which a request is suspected, or of whose crash it is cleared.
 *
 * @param records - changed in place
 * @param kind - whether the request is suspected or cleared
 * @param fingerprint - fingerprint of the request
 * @param name - name of the process
 * @param observation - when the process was observed, and by whom
 */
export function addObservation ({ answers, ...records }: CrashRecords, kind: 'suspects' | 'cleared', fingerprint: string, name: string, { atMs, isOwn, sentAtMs }: NewObservation): void {
  const all = records[kind]
  const observations = all.get(fingerprint) ?? new Map<string, CrashObservation>()
  const existing = observations.get(name)
  if (existing === undefined) observations.set(name, { atMs, isOwn, answers, sentAtMs })
  else if (isOwn) observations.set(name, { ...existing, isOwn })
  all.delete(fingerprint)
  all.set(fingerprint, observations)
  if (all.size > MAX_SUSPECTS) dropOldest(all)
}

function dropOldest (all: Set<string> | Map<string, unknown>): void {
  const [oldest] = all.keys()
  if (oldest !== undefined) all.delete(oldest)
}
