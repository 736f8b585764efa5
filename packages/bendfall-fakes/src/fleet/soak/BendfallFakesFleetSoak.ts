/**
 * Soak test of the programs for the users' platform: runs them as processes under seeded, overlapping
 * faults and checks every response and every request that reached a replica.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createDraw } from '../../BendfallFakesClusterFaults.js'
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import { call, findResponseViolation } from './BendfallFakesFleetCaller.js'
import type { CallKind, CallRecord } from './BendfallFakesFleetCaller.js'
import type { ResponseBeforeCrash, SeenOrder } from '../BendfallFakesFleetReplica.js'
import { ALL_FAULTS, CUSTOMER_FAULTS, DRILL_FAULTS, injectFault, LEAVING_FAULTS, LIMIT_FAULTS, LOAD_FAULTS, NOTICE_FAULTS, PART_FAULTS, RELEASE_FAULTS, REPLACEMENT_FAULTS, VERSION_FAULTS } from './BendfallFakesSoakFaults.js'
import { createSoakCustomers, findLeakedKeys, STEADY_KEY } from './BendfallFakesSoakCustomers.js'
import { POISON_PATH, SOAK_EVENTS, SOAK_HOST, startSoakFleet } from './BendfallFakesSoakFleet.js'
import type { SoakFleet, SoakFleetOptions } from './BendfallFakesSoakFleet.js'
import { findCrashViolations, findExcessInBackoff, findLateToLeaving } from './BendfallFakesSoakNotices.js'
import { callStream, findStreamViolation, shareGoneOn } from './BendfallFakesStreamCaller.js'
import type { CallerStream } from './BendfallFakesStreamCaller.js'
import type { SoakPlan } from './BendfallFakesSoakPlan.js'
import { drawRegularParts, findPartViolations, sendBadPart } from './BendfallFakesSoakParts.js'
import { createLoadFleet, createSoakLoad, findUnservedAfterLoad } from './BendfallFakesSoakLoad.js'
import { findOverLimit } from './BendfallFakesSoakLimits.js'
import type { IsEntryUndisturbed } from './BendfallFakesSoakLimits.js'
import type { IsUndisturbed, NoticeEvidence } from './BendfallFakesSoakNotices.js'

/** Result of a soak. */
export interface SoakResult {
  readonly calls: number
  /** Counts of the streams that callers resume; absent where none do. */
  readonly streams?: string
  readonly answered: number
  readonly refused: number
  /** Number of stage orders that reached replicas. */
  readonly orders: number
  readonly faults: readonly string[]
  readonly violations: readonly string[]
  /** Log lines of the processes that relate to the violations; empty without violations. */
  readonly evidence: readonly string[]
}

interface SoakFault {
  readonly name: string
  readonly fromMs: number
  readonly untilMs: number
}

/** Time after which a leaving replica must receive no new requests. */
const DRAIN_MS = 2_000

/** Tolerance for scheduling delays on a busy machine. */
const SLACK_MS = 300

/** Late arrivals count only after no fault has affected the store, the path to it or the entry for this long. */
const UNDISTURBED_MS = 3_000

/** Faults during which late arrivals don't count; stalled connections are no excuse. */
const EXCUSING_FAULTS = /^(kill|kill_all|pause|terminate) entry|^proxy|^store|^cut_off/

/** Faults of a single entry, during which its arrivals don't count towards a limit. */
const ENTRY_FAULTS = /^(kill|pause|terminate) /

const KINDS: readonly CallKind[] = ['booking', 'brief', 'rate', 'summary']
const CALLERS = 8

/** Enough callers that each entry calls each replica several times a second, so that one excess request shows. */
const HIGH_LOAD_CALLERS = 32

/** Plans whose checks need this many callers. */
const HIGH_LOAD_PLANS: ReadonlySet<SoakPlan> = new Set(['limits', 'notices'])

const STREAM_CALLERS = 16
const STREAM_CALLERS_BY_PLAN: Readonly<Partial<Record<SoakPlan, number>>> = { load: 4, releases: STREAM_CALLERS, versions: STREAM_CALLERS }

/** Events after which callers break off; undefined: they stay. */
const LEAVES_AFTER = [undefined, undefined, 1, 6, 15, 23] as const

/** Minimum share of the resumed streams that go on, relative to the share of new ones that begin. */
const MIN_GONE_ON = 0.5

/** Minimum number of resumed streams for which that share is judged. */
const MIN_RESUMED = 12

const RESPONSES_BEFORE_CRASH: readonly ResponseBeforeCrash[] = ['nothing', 'head', 'event']

/** Maximum number of bad parts at the same time. */
const MAX_BAD_PARTS = 3

const CALL_PAUSE_MS = 30
const POISON_PAUSE_MS = 300
const FAULT_SERIES = 2
const FAULT_PAUSES_MS = [100, 400, 1_000] as const
const LEAVING_SEED_STEP = 3
const RECOVERY_MS = 6_000
const RELEASE_MS = 3_000
const RECOVERY_CALLS = 12

/** Statuses that guarantee that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Kinds of calls that run at most once. */
const AT_MOST_ONCE: ReadonlySet<CallKind> = new Set(['booking', 'summary'])

// A third of the seeds draw only faults that excuse no late request to a leaving replica.
const FAULTS_BY_PLAN: Readonly<Record<SoakPlan, (seed: number) => readonly string[]>> = {
  customers: () => CUSTOMER_FAULTS,
  drills: () => DRILL_FAULTS,
  limits: () => LIMIT_FAULTS,
  load: () => LOAD_FAULTS,
  faults: (seed) => seed % LEAVING_SEED_STEP === 0 ? LEAVING_FAULTS : ALL_FAULTS,
  notices: () => NOTICE_FAULTS,
  parts: () => PART_FAULTS,
  releases: () => RELEASE_FAULTS,
  versions: (seed) => isCalm(seed) ? REPLACEMENT_FAULTS : VERSION_FAULTS
}

const VERSIONS_FLEET: SoakFleetOptions = {
  entries: 3,
  models: [
    ...['v1', 'v2'].map((softwareVersion) => ({ stage: 'prefill' as const, softwareVersion })),
    ...['v1', 'v2', 'v1', 'v2', 'v1', 'v2'].map((softwareVersion) => ({ stage: 'decode' as const, softwareVersion }))
  ],
  poolIntent: { usualPrefillShare: 0.25, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.4 }
}

const PARTS_FLEET: SoakFleetOptions = {
  entries: 3,
  models: (['prefill', 'prefill', ...Array.from({ length: 6 }, () => 'decode' as const)] as const).map((stage) => ({ stage, softwareVersion: 'v1' })),
  poolIntent: VERSIONS_FLEET.poolIntent
}

const FLEETS_BY_PLAN: Readonly<Partial<Record<SoakPlan, (seed: number) => SoakFleetOptions>>> = {
  customers: () => ({ customers: createSoakCustomers() }),
  load: createLoadFleet,
  parts: (seed) => ({ ...PARTS_FLEET, responseBeforeCrash: RESPONSES_BEFORE_CRASH[seed % RESPONSES_BEFORE_CRASH.length] }),
  releases: () => VERSIONS_FLEET,
  versions: () => VERSIONS_FLEET
}

/**
 * Runs a soak.
 *
 * @param seed - seed of the random faults and calls
 * @param seconds - time during which faults are injected
 * @param plan - set of faults to draw from
 * @returns counts, violations and their evidence
 */
export async function soakFleet (seed: number, seconds: number, plan: SoakPlan = 'faults'): Promise<SoakResult> {
  const fleet = await startSoakFleet(FLEETS_BY_PLAN[plan]?.(seed) ?? {})
  const records: CallRecord[] = []
  const streams: CallerStream[] = []
  const faults: SoakFault[] = []
  const load = plan === 'load' ? createSoakLoad(fleet, seed, records) : undefined
  const names = FAULTS_BY_PLAN[plan](seed)
  try {
    await waitUntilServed(fleet, seed)
    const endsAtMs = performance.now() + seconds * 1_000
    const isOver = (): boolean => performance.now() >= endsAtMs
    await Promise.all([
      ...Array.from({ length: HIGH_LOAD_PLANS.has(plan) ? HIGH_LOAD_CALLERS : CALLERS }, (_, index) => runCaller(fleet, `${seed}-${index}`, createDraw(seed * CALLERS + index), records, isOver, plan === 'parts')),
      ...Array.from({ length: STREAM_CALLERS_BY_PLAN[plan] ?? 0 }, (_, index) => runStreamCaller(fleet, `stream-${seed}-${index}`, createDraw(seed * STREAM_CALLERS + index), streams, isOver, plan !== 'releases' || index % 2 === 0)),
      ...Array.from({ length: plan === 'parts' ? 1 + seed % MAX_BAD_PARTS : 0 }, (_, index) => sendBadPart(fleet, index, seed, records, isOver)),
      load?.run(isOver),
      ...(plan === 'notices' ? [sendPoison(fleet, seed, records, isOver)] : []),
      ...Array.from({ length: FAULT_SERIES }, (_, index) => injectFaults(fleet, createDraw(seed * FAULT_SERIES + index), names, faults, isOver))
    ])
    const evidence = { fleet, records, isUndisturbed: createUndisturbedCheck(faults) }
    const violations = [...findStreamViolations(streams, plan === 'versions' && isCalm(seed)), ...findViolations(fleet, records), ...findCustomerViolations(fleet, records), ...load?.findViolations() ?? [], ...findLateArrivals(evidence), ...findLateToLeaving(evidence), ...findExcessInBackoff(evidence), ...findCrashViolations(evidence), ...findPartViolations(evidence), ...findOverLimit(fleet, records, createEntryUndisturbedCheck(fleet, faults)), ...findFencingViolations(fleet.models.flatMap(({ replica }) => replica.orders)), ...await (load === undefined ? findUnrecovered : findUnservedAfterLoad)(fleet, seed), ...await findUnreleased(fleet)]
    const answered = records.filter(({ isComplete, status }) => status === 200 && isComplete).length
    const refused = records.filter(({ status }) => NOT_RUN_STATUSES.has(status)).length
    const orders = fleet.models.reduce((sum, { replica }) => sum + replica.orders.length, 0)
    return { calls: records.length, streams: countStreams(streams), answered, refused, orders, faults: faults.map(describeFault), violations, evidence: findEvidence(fleet, violations) }
  } finally {
    await fleet.close()
  }
}

async function runCaller (fleet: SoakFleet, name: string, draw: Draw, records: CallRecord[], isOver: () => boolean, hasParts: boolean): Promise<void> {
  for (let i = 0; !isOver(); i++) {
    const entry = draw(fleet.entries)
    const requestId = `${name}-${i}`
    records.push(await call(entry, SOAK_HOST, { kind: draw(KINDS), requestId, key: fleet.customers?.drawKey(draw), partIds: hasParts ? drawRegularParts(draw, requestId) : undefined }))
    await sleep(CALL_PAUSE_MS)
  }
}

// Every second seed disturbs only replicas, so that streams must go on as often as new ones begin.
function isCalm (seed: number): boolean {
  return seed % 2 === 0
}

async function runStreamCaller ({ customers, entries }: SoakFleet, name: string, draw: Draw, streams: CallerStream[], isOver: () => boolean, namesFirstRequest: boolean): Promise<void> {
  for (let i = 0; !isOver(); i++) {
    const first = entries.indexOf(draw(entries))
    streams.push(await callStream({ host: SOAK_HOST, key: customers === undefined ? undefined : STEADY_KEY, name: `${name}-${i}`, entries: [...entries.slice(first), ...entries.slice(0, first)], leavesAfter: draw(LEAVES_AFTER), namesFirstRequest }))
    await sleep(CALL_PAUSE_MS)
  }
}

function findStreamViolations (streams: readonly CallerStream[], mustGoOn: boolean): string[] {
  const violations = streams.flatMap((stream) => findStreamViolation(stream, SOAK_EVENTS) ?? [])
  const resumed = streams.filter(({ isResumed }) => isResumed).length
  const isLost = mustGoOn && resumed >= MIN_RESUMED && shareGoneOn(streams) < MIN_GONE_ON
  return isLost ? [...violations, `streams: ${shareGoneOn(streams).toFixed(2)} of ${resumed} go on`] : violations
}

function countStreams (streams: readonly CallerStream[]): string | undefined {
  if (streams.length === 0) return undefined
  const resumed = streams.filter(({ isResumed }) => isResumed).length
  return `${streams.length} streams, ${resumed} resumed, ${shareGoneOn(streams).toFixed(2)} of these go on`
}

async function sendPoison (fleet: SoakFleet, seed: number, records: CallRecord[], isOver: () => boolean): Promise<void> {
  const draw = createDraw(seed)
  for (let i = 0; !isOver(); i++) {
    records.push(await call(draw(fleet.entries), SOAK_HOST, { kind: 'rate', path: POISON_PATH, requestId: `poison-${seed}-${i}` }))
    await sleep(POISON_PAUSE_MS)
  }
}

async function injectFaults (fleet: SoakFleet, draw: Draw, names: readonly string[], faults: SoakFault[], isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const fromMs = performance.now()
    const name = await injectFault(fleet, draw, names)
    faults.push({ name, fromMs, untilMs: performance.now() })
    await sleep(draw(FAULT_PAUSES_MS))
  }
}

function findViolations (fleet: SoakFleet, records: readonly CallRecord[]): string[] {
  const runs = countRuns(fleet)
  return records.flatMap((record) => {
    const { kind, requestId, status } = record
    const ran = runs.get(requestId) ?? 0
    const found = [findResponseViolation(record, SOAK_EVENTS)]
    if (AT_MOST_ONCE.has(kind) && ran > 1) found.push(`${requestId}: ${kind} ran ${ran} times`)
    if (NOT_RUN_STATUSES.has(status) && AT_MOST_ONCE.has(kind) && ran > 0) found.push(`${requestId}: ${kind} refused with ${status} and ran`)
    return found.filter((one) => one !== undefined)
  })
}

function findCustomerViolations ({ customers, models, nodes, plain }: SoakFleet, records: readonly CallRecord[]): string[] {
  if (customers === undefined) return []
  const runs = [...models, ...plain].flatMap(({ replica }) => replica.seen.filter(({ isRefused, kind }) => kind === 'run' && !isRefused))
  return [...customers.findViolations(records, runs), ...findLeakedKeys(nodes.flatMap(({ process }) => process.lines))]
}

function createUndisturbedCheck (faults: readonly SoakFault[]): IsUndisturbed {
  const excuses = faults.filter(({ name }) => EXCUSING_FAULTS.test(name))
  return (atMs) => excuses.every(({ fromMs, untilMs }) => atMs < fromMs || atMs > untilMs + UNDISTURBED_MS)
}

// Killing, pausing or terminating an entry excuses only that entry.
function createEntryUndisturbedCheck ({ entries }: SoakFleet, faults: readonly SoakFault[]): IsEntryUndisturbed {
  const excuses = faults.filter(({ name }) => ENTRY_FAULTS.test(name))
  return (atMs, entry) => excuses.every(({ fromMs, name, untilMs }) => !name.endsWith(`entry-${entries.indexOf(entry)}`) || atMs < fromMs || atMs > untilMs + UNDISTURBED_MS)
}

// A leaving replica must receive no new requests after the drain time.
function findLateArrivals ({ fleet: { absences }, isUndisturbed }: NoticeEvidence): string[] {
  return absences.flatMap(({ fromMs, replica, untilMs = Infinity }) => replica.seen
    .filter(({ atMs }) => atMs > fromMs + DRAIN_MS + SLACK_MS && atMs < untilMs && isUndisturbed(atMs))
    .map(({ atMs, requestId }) => `${requestId} reached ${replica.address} ${Math.round(atMs - fromMs)} ms after it started to leave (at ${Math.round(atMs)}, wall ${new Date(performance.timeOrigin + atMs).toISOString()})`))
}

/**
 * Finds orders in which two leaders used the same fencing token or a lower token followed a higher one.
 *
 * @param orders - orders that arrived at all replicas, in any order
 * @returns one line per violation
 */
export function findFencingViolations (orders: readonly SeenOrder[]): string[] {
  const holders = new Map<number, string>()
  let highest = 0
  return [...orders].sort((one, other) => one.atMs - other.atMs).flatMap(({ atMs, fence, holder }) => {
    const found: string[] = []
    const previous = holders.get(fence)
    if (previous !== undefined && previous !== holder) found.push(`fence ${fence} of ${previous} was used by ${holder} at ${Math.round(atMs)}`)
    if (fence < highest) found.push(`${holder} ordered with fence ${fence} at ${Math.round(atMs)}, behind ${highest} of ${holders.get(highest)}`)
    holders.set(fence, holder)
    highest = Math.max(highest, fence)
    return found
  })
}

function describeFault ({ fromMs, name, untilMs }: SoakFault): string {
  return `${name} ${Math.round(fromMs)}-${Math.round(untilMs)}`
}

/** Log lines about an entry's view of replicas and its connection to the store. */
const MEMBERSHIP_EVENTS = /event=(replica_|registrations_|directory_|store_|started|stop|duty_|keeper|permits_)/

function findEvidence ({ nodes }: SoakFleet, violations: readonly string[]): string[] {
  if (violations.length === 0) return []
  const requestIds = violations.map((violation) => violation.split(/[ :]/, 1)[0] ?? '')
  const isRelevant = (line: string): boolean => MEMBERSHIP_EVENTS.test(line) || requestIds.some((requestId) => line.includes(`request=${requestId} `))
  return nodes.flatMap(({ process }) => process.lines.filter(isRelevant)).sort()
}

function countRuns ({ models, plain }: SoakFleet): ReadonlyMap<string, number> {
  const runs = new Map<string, number>()
  for (const { replica } of [...models, ...plain]) {
    for (const { isRefused, kind, requestId } of replica.seen) {
      if (kind === 'run' && !isRefused) runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    }
  }
  return runs
}

async function isServed (fleet: SoakFleet, entry: string, kind: CallKind, requestId: string): Promise<boolean> {
  const { isComplete, status } = await call(entry, SOAK_HOST, { kind, requestId, key: fleet.customers === undefined ? undefined : STEADY_KEY })
  return status === 200 && isComplete
}

async function waitUntilServed (fleet: SoakFleet, seed: number): Promise<void> {
  for (const entry of fleet.entries) {
    for (let i = 0; !await isServed(fleet, entry, 'summary', `first-${seed}-${entry}-${i}`); i++) {
      if (i === 100) throw new Error(`${entry} serves no request after the start of the fleet`)
      await sleep(50)
    }
  }
}

// After the last fault every entry must serve calls again.
async function findUnrecovered (fleet: SoakFleet, seed: number): Promise<string[]> {
  for (const { replica } of [...fleet.models, ...fleet.plain]) replica.clearFaults()
  await sleep(RECOVERY_MS)
  const unserved: string[] = []
  for (let i = 0; i < RECOVERY_CALLS; i++) {
    const entry = fleet.entries[i % fleet.entries.length] as string
    const kind = KINDS[i % KINDS.length] as CallKind
    const requestId = `last-${seed}-${i}`
    if (!await isServed(fleet, entry, kind, requestId)) unserved.push(`${requestId}: ${kind} at ${entry} is not served ${RECOVERY_MS} ms after the last fault`)
  }
  return unserved
}

// No replica may still run a request whose caller has left.
async function findUnreleased ({ models }: SoakFleet): Promise<string[]> {
  await sleep(RELEASE_MS)
  return models.filter(({ replica }) => replica.running() > 0).map(({ replica }) => `${replica.address} still runs ${replica.running()} requests`)
}
