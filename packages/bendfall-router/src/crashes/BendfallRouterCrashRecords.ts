/**
 * Which requests replicas crashed under. A request is known by its fingerprint, since it
 * comes again under a new id and at other entries; a crash is known by the process that
 * ended, since several entries see the same one.
 *
 * @module
 */

/** One process of a replica. */
export interface ReplicaProcess {
  readonly replicaId: string
  /** Start of the process, Unix time; absent where the platform does not tell it. */
  readonly startedAtMs?: number
}

/** When a request counts as the cause of crashes. */
export interface CrashLimits {
  /** Replicas that crashed under it. */
  readonly replicas: number
  /** Time for which a crash counts. */
  readonly rememberedMs: number
}

/** Limits where the settings tell none. */
export const DEFAULT_CRASH_LIMITS: CrashLimits = { replicas: 3, rememberedMs: 600_000 }

/** Crashes of one request, by the process that ended. */
export type ProcessTimes = Map<string, ProcessTime>

/** When a process was noted. */
export interface ProcessTime {
  /** When this entry learned of it, or the one that saw it by the age that it told. */
  readonly atMs: number
  /** Whether this entry saw it. */
  readonly isOwn: boolean
  /** Answers that this entry had passed on by then. */
  readonly answers: number
  /** When the request was sent there; absent where that was not told. */
  readonly sentAtMs?: number
}

/** A time without the answers passed on by then. */
type Sighting = Omit<ProcessTime, 'answers'>

/** A process on which connections were lost and of which it is not known whether it ended. */
export interface LostProcess {
  readonly process: ReplicaProcess
  /** Suspected requests, each with the time at which it was sent there. */
  readonly fingerprints: Map<string, number>
  readonly lostAtMs: number
  /** Whether a process took a connection there after that: this one, or one that started again at once. */
  isAnswering: boolean
}

/** What an entry knows of crashes. */
export interface CrashRecords {
  readonly limits: CrashLimits
  /** By process. */
  readonly lost: Map<string, LostProcess>
  /** Crashes by the fingerprint of the request, oldest first. */
  readonly suspects: Map<string, ProcessTimes>
  /** Crashes that a request did not cause, since it was served after them. */
  readonly cleared: Map<string, ProcessTimes>
  /** Fingerprints that were served of late, oldest first. */
  readonly served: Set<string>
  /** Answers that this entry has passed on. */
  answers: number
}

/** Fingerprints that are kept of each kind; a crash ends up to 64 requests at once. */
const MOST_SUSPECTS = 1_024
const MOST_SERVED = 4_096

/** A connection that was lost this long ago tells nothing of the end of its process any more. */
const LOST_MS = 10_000

/**
 * Makes empty records.
 *
 * @param limits - when a request counts as the cause
 * @returns the records
 */
export function createCrashRecords (limits: CrashLimits = DEFAULT_CRASH_LIMITS): CrashRecords {
  return { limits, lost: new Map(), suspects: new Map(), cleared: new Map(), served: new Set(), answers: 0 }
}

/**
 * Names a process for all entries.
 *
 * @param process - of a replica
 * @returns its name
 */
export function nameProcess ({ replicaId, startedAtMs }: ReplicaProcess): string {
  return startedAtMs === undefined ? replicaId : `${replicaId}/${startedAtMs}`
}

/**
 * Reads the replica out of the name of a process.
 *
 * @param name - of a process
 * @returns id of its replica
 */
export function readReplicaId (name: string): string {
  const end = name.lastIndexOf('/')
  return end === -1 ? name : name.slice(0, end)
}

/** A request under which a connection was lost. */
export interface Suspect {
  readonly fingerprint: string
  readonly sentAtMs: number
}

/**
 * Notes that a connection was lost under a request.
 *
 * @param records - changed in place
 * @param process - at the other end
 * @param suspect - the request; absent: it is not suspected
 * @param nowMs - the time
 * @returns whether the process is worth a check: none is under way
 */
export function noteLost ({ lost }: CrashRecords, process: ReplicaProcess, suspect: Suspect | undefined, nowMs: number): boolean {
  for (const [name, { lostAtMs }] of lost) {
    if (nowMs - lostAtMs < LOST_MS) break
    lost.delete(name)
  }
  const name = nameProcess(process)
  const known = lost.get(name)
  const isChecked = known?.isAnswering === true
  if (known !== undefined) known.isAnswering = false
  const one = known ?? { process, fingerprints: new Map<string, number>(), lostAtMs: nowMs, isAnswering: false }
  if (suspect !== undefined) one.fingerprints.set(suspect.fingerprint, suspect.sentAtMs)
  lost.set(name, one)
  return known === undefined || isChecked
}

/**
 * Notes that a process took a connection after others were lost: only the registration of
 * a later process tells now that it has ended.
 *
 * @param records - changed in place
 * @param process - of the replica
 */
export function noteAnswering ({ lost }: CrashRecords, process: ReplicaProcess): void {
  const one = lost.get(nameProcess(process))
  if (one !== undefined) one.isAnswering = true
}

/**
 * Notes that a process has ended.
 *
 * @param records - changed in place
 * @param process - of the replica
 * @param nowMs - the time
 * @returns fingerprints of the requests that are suspected; undefined when no connection was lost there
 */
export function noteEnded (records: CrashRecords, process: ReplicaProcess, nowMs: number): readonly string[] | undefined {
  const name = nameProcess(process)
  const one = records.lost.get(name)
  if (one === undefined) return undefined
  records.lost.delete(name)
  for (const [fingerprint, sentAtMs] of one.fingerprints) addTime(records, 'suspects', fingerprint, name, { atMs: nowMs, isOwn: true, sentAtMs })
  return [...one.fingerprints.keys()]
}

/**
 * Notes that a request was served: it did not cause the crashes before.
 *
 * @param records - changed in place
 * @param fingerprint - of the request
 * @param nowMs - the time
 * @returns how many crashes it is cleared of
 */
export function noteServed (records: CrashRecords, fingerprint: string, nowMs: number): number {
  vouch(records, fingerprint)
  records.answers += 1
  const crashes = records.suspects.get(fingerprint)
  if (crashes === undefined) return 0
  for (const name of crashes.keys()) addTime(records, 'cleared', fingerprint, name, { atMs: nowMs, isOwn: true })
  records.suspects.delete(fingerprint)
  return crashes.size
}

/**
 * Notes that a request was served, here or at another entry.
 *
 * @param records - changed in place
 * @param fingerprint - of the request
 */
export function vouch ({ served }: CrashRecords, fingerprint: string): void {
  served.delete(fingerprint)
  served.add(fingerprint)
  if (served.size > MOST_SERVED) dropOldest(served)
}

/**
 * Forgets all crashes, as an operator asks for.
 *
 * @param records - changed in place
 */
export function forgetCrashes ({ cleared, lost, suspects }: CrashRecords): void {
  for (const all of [cleared, lost, suspects]) all.clear()
}

/**
 * Notes a process under which a request is suspected, or of whose crash it is cleared.
 *
 * @param records - changed in place
 * @param kind - which of both
 * @param fingerprint - of the request
 * @param name - of the process
 * @param sighting - when, and by whom
 */
export function addTime ({ answers, ...records }: CrashRecords, kind: 'suspects' | 'cleared', fingerprint: string, name: string, { atMs, isOwn, sentAtMs }: Sighting): void {
  const all = records[kind]
  const times = all.get(fingerprint) ?? new Map<string, ProcessTime>()
  const known = times.get(name)
  if (known === undefined) times.set(name, { atMs, isOwn, answers, sentAtMs })
  else if (isOwn) times.set(name, { ...known, isOwn })
  all.delete(fingerprint)
  all.set(fingerprint, times)
  if (all.size > MOST_SUSPECTS) dropOldest(all)
}

function dropOldest (all: Set<string> | Map<string, unknown>): void {
  const [oldest] = all.keys()
  if (oldest !== undefined) all.delete(oldest)
}
