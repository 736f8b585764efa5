/**
 * Records under which requests replicas crashed. Requests are known by their traits, since one may be
 * retried under a new id and at other entries, and different ones may have the cause in common. A crash
 * is identified by the process that ended, since several entries see the same one.
 *
 * @module
 */

/** One process of a replica. */
export interface ReplicaProcess {
  readonly replicaId: string
  /** Start of the process in Unix time; absent where the platform does not report it. */
  readonly startedAtMs?: number
}

/** When a trait counts as the cause of crashes. */
export interface CrashLimits {
  /** Number of replicas that must have crashed under requests with it. */
  readonly replicas: number
  /** How long a crash counts. */
  readonly rememberedMs: number
}

/** Used where the settings define no limits. */
export const DEFAULT_CRASH_LIMITS: CrashLimits = { replicas: 3, rememberedMs: 600_000 }

/** Crashes under requests with one trait, by the process that ended. */
export type CrashObservations = Map<string, CrashObservation>

/** Observation of a process that crashed under a request with a certain trait. */
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
  /** Traits of the suspected requests, with the time at which a request with each was last sent to the process. */
  readonly suspects: Map<string, number>
  /**
   * Traits of requests whose responses ended with their connections, which a crash looks like as well, with
   * the time at which they count as served; infinite until the process has accepted a connection.
   */
  readonly unproven: Map<string, number>
  readonly lostAtMs: number
  /** Whether a connection was accepted there afterwards, by this process or by one that was restarted at once. */
  hasAcceptedConnection: boolean
}

/** An entry's records of crashes. */
export interface CrashRecords {
  readonly limits: CrashLimits
  /** By process name. */
  readonly lost: Map<string, LostProcess>
  /** Crashes by trait, oldest first. */
  readonly suspects: Map<string, CrashObservations>
  /** Crashes that a trait did not cause, since a request with it was served after them. */
  readonly cleared: Map<string, CrashObservations>
  /** Traits of requests that were served recently, oldest first. */
  readonly served: Set<string>
  /** Traits of requests that only other entries have served, oldest first. Their crashes count like those of traits that were never served. */
  readonly servedElsewhere: Set<string>
  /** Traits that this entry has served and others suspect, with the time at which it reports that they were served. */
  readonly disputed: Map<string, number>
  /** Number of responses that this entry has forwarded. */
  answers: number
}

/** Maximum traits kept of each kind; one crash ends up to 64 requests at once, each with several traits. */
const MAX_SUSPECTS = 4_096
const MAX_SERVED = 16_384

/** Time in which the registration of a process becomes known that was started at once in place of a crashed one. */
const RESTART_NOTICE_MS = 1_000

/** After this time a lost connection no longer indicates that its process ended. */
const LOST_CONNECTION_TTL_MS = 10_000

/**
 * Creates empty records.
 *
 * @param limits - when a request counts as the cause of crashes
 * @returns the records
 */
export function createCrashRecords (limits: CrashLimits = DEFAULT_CRASH_LIMITS): CrashRecords {
  return { limits, lost: new Map(), suspects: new Map(), cleared: new Map(), served: new Set(), servedElsewhere: new Set(), disputed: new Map(), answers: 0 }
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

/** A request whose connection ended. */
export interface Suspect {
  readonly traits: readonly string[]
  readonly sentAtMs: number
  /** Whether its response looked complete, which only the end of the connection told. */
  readonly isAnswered: boolean
}

/**
 * Records that a connection ended under a request.
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
  const lostProcess = existing ?? { process, suspects: new Map<string, number>(), unproven: new Map<string, number>(), lostAtMs: nowMs, hasAcceptedConnection: false }
  for (const trait of suspect?.traits ?? []) addSuspect(lostProcess, trait, suspect as Suspect)
  lost.set(name, lostProcess)
  return existing === undefined || wasChecked
}

function addSuspect ({ suspects, unproven }: LostProcess, trait: string, { isAnswered, sentAtMs }: Suspect): void {
  // Keeps the time of an earlier answer, so that frequent answers do not postpone the proof.
  if (isAnswered && !suspects.has(trait)) unproven.set(trait, Infinity)
  if (!isAnswered) unproven.delete(trait)
  suspects.set(trait, Math.max(sentAtMs, suspects.get(trait) ?? -Infinity))
}

/**
 * Records that a process accepted a connection after others ended. From then on only the registration of
 * a later process shows that it has ended.
 *
 * @param records - changed in place
 * @param process - process of the replica
 * @param nowMs - current time
 */
export function recordAcceptedConnection ({ lost }: CrashRecords, process: ReplicaProcess, nowMs: number): void {
  const lostProcess = lost.get(formatProcessName(process))
  if (lostProcess === undefined) return
  lostProcess.hasAcceptedConnection = true
  for (const [trait, provenAtMs] of lostProcess.unproven) {
    if (provenAtMs === Infinity) lostProcess.unproven.set(trait, nowMs + RESTART_NOTICE_MS)
  }
}

/**
 * Removes the traits of responses that are complete, since their processes are known to have survived them.
 *
 * @param records - changed in place
 * @param nowMs - current time
 * @returns the traits
 */
export function takeProvenTraits ({ lost }: CrashRecords, nowMs: number): readonly string[] {
  return [...lost.values()].flatMap(({ suspects, unproven }) => {
    const proven = [...unproven].filter(([, provenAtMs]) => provenAtMs <= nowMs).map(([trait]) => trait)
    for (const trait of proven) {
      suspects.delete(trait)
      unproven.delete(trait)
    }
    return proven
  })
}

/**
 * Records that a process has ended.
 *
 * @param records - changed in place
 * @param process - process of the replica
 * @param nowMs - current time
 * @returns traits of the suspected requests; undefined if no connection to the process was lost
 */
export function recordCrash (records: CrashRecords, process: ReplicaProcess, nowMs: number): readonly string[] | undefined {
  const name = formatProcessName(process)
  const lostProcess = records.lost.get(name)
  if (lostProcess === undefined) return undefined
  records.lost.delete(name)
  for (const [trait, sentAtMs] of lostProcess.suspects) addObservation(records, 'suspects', trait, name, { atMs: nowMs, isOwn: true, sentAtMs })
  return [...lostProcess.suspects.keys()]
}

/**
 * Records that a request was served, which shows that its traits did not cause the crashes before.
 *
 * @param records - changed in place
 * @param traits - traits of the request
 * @param nowMs - current time
 * @returns by trait, the number of crashes of which it is cleared
 */
export function recordServed (records: CrashRecords, traits: readonly string[], nowMs: number): ReadonlyMap<string, number> {
  records.answers += 1
  return new Map(traits.map((trait) => [trait, clearTrait(records, trait, nowMs)]))
}

function clearTrait (records: CrashRecords, trait: string, nowMs: number): number {
  addServedTrait(records, trait)
  const crashes = records.suspects.get(trait)
  if (crashes === undefined) return 0
  for (const name of crashes.keys()) addObservation(records, 'cleared', trait, name, { atMs: nowMs, isOwn: true })
  records.suspects.delete(trait)
  return crashes.size
}

/**
 * Marks a trait as one of a recently served request, of this entry or another one.
 *
 * @param records - changed in place
 * @param trait - trait of the request
 */
export function addServedTrait ({ served }: CrashRecords, trait: string): void {
  addNewest(served, trait)
}

/**
 * Marks a trait as one of a request that another entry has served.
 *
 * @param records - changed in place
 * @param trait - trait of the request
 */
export function addTraitServedElsewhere ({ disputed, servedElsewhere }: CrashRecords, trait: string): void {
  disputed.delete(trait)
  addNewest(servedElsewhere, trait)
}

function addNewest (traits: Set<string>, trait: string): void {
  traits.delete(trait)
  traits.add(trait)
  if (traits.size > MAX_SERVED) dropOldest(traits)
}

/**
 * Deletes all crash records at an operator's request.
 *
 * @param records - changed in place
 */
export function clearCrashRecords ({ cleared, disputed, lost, suspects }: CrashRecords): void {
  for (const all of [cleared, disputed, lost, suspects]) all.clear()
}

/**
 * Adds an observation of a process under which a trait is suspected, or of whose crash it is cleared.
 *
 * @param records - changed in place
 * @param kind - whether the trait is suspected or cleared
 * @param trait - trait of the request
 * @param name - name of the process
 * @param observation - when the process was observed, and by whom
 */
export function addObservation ({ answers, ...records }: CrashRecords, kind: 'suspects' | 'cleared', trait: string, name: string, { atMs, isOwn, sentAtMs }: NewObservation): void {
  const all = records[kind]
  const observations = all.get(trait) ?? new Map<string, CrashObservation>()
  const existing = observations.get(name)
  if (existing === undefined) observations.set(name, { atMs, isOwn, answers, sentAtMs })
  else if (isOwn) observations.set(name, { ...existing, isOwn })
  all.delete(trait)
  all.set(trait, observations)
  if (all.size > MAX_SUSPECTS) dropLeastSuspected(all)
}

// A trait with a single crash is rarely a cause, and most have only one.
function dropLeastSuspected (all: Map<string, CrashObservations>): void {
  for (const [trait, { size }] of all) {
    if (size > 1) continue
    all.delete(trait)
    return
  }
  dropOldest(all)
}

function dropOldest (all: Set<string> | Map<string, unknown>): void {
  const [oldest] = all.keys()
  if (oldest !== undefined) all.delete(oldest)
}
