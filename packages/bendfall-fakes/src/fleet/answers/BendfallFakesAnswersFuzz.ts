/**
 * Fuzzer for the responses of replicas: callers on persistent connections, an entry whose event loop may
 * be blocked, and replicas that vary the framing of responses, cut them off and duplicate them by a seed.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { AnswersCall, AnswersCaller } from './BendfallFakesAnswersCaller.js'
import { createAnswersCaller } from './BendfallFakesAnswersCaller.js'
import { startAnswersFleet, startAnswersFleetInWorker } from './BendfallFakesAnswersFleet.js'
import type { CallRecord, Violation } from './BendfallFakesAnswersJudge.js'
import { findViolations } from './BendfallFakesAnswersJudge.js'
import type { AnswerProfile } from './BendfallFakesAnswersProfiles.js'
import { ANSWER_PROFILES } from './BendfallFakesAnswersProfiles.js'
import { createRandom } from './BendfallFakesAnswersRandom.js'
import type { Random } from './BendfallFakesAnswersRandom.js'
import { ANSWERS_HOST, REPLICA_PLACES, startAnswersEntry } from './BendfallFakesAnswersEntry.js'
import type { AnswersKind } from './BendfallFakesAnswersEntry.js'
import type { AnswersTruth } from './BendfallFakesAnswersTruth.js'

/** Parameters of the run of a seed. */
export interface FuzzPlan {
  readonly seed: number
  readonly profile: AnswerProfile
  /** Milliseconds out of each ten for which the entry's thread is blocked. */
  readonly busyMs: number
  /** Whether the replicas run in a worker thread. */
  readonly isInWorker: boolean
}

/** Result of the run of a seed. */
export interface FuzzResult {
  readonly plan: FuzzPlan
  readonly calls: number
  /** Number of calls by status and end. */
  readonly ends: Readonly<Record<string, number>>
  readonly violations: readonly Violation[]
  /** Log lines of the entry for requests with violations, and the arrivals on their connections. */
  readonly evidence: readonly string[]
}

const BUSY_MS = [0, 2, 5, 9] as const
const BUSY_PERIOD_MS = 10
const CALLERS = 8
const CALLS_PER_CALLER = 30
const MAX_DURATION_MS = 4_000

/** Time until the latest duplicate responses have arrived. */
const SETTLE_MS = 350

const KINDS: readonly AnswersKind[] = ['booking', 'booking', 'brief', 'rate', 'rate', 'summary']
/** Calls for which the entry makes control calls; the only ones in the profile whose control calls fail. */
const CONTROL_CALL_KINDS: readonly AnswersKind[] = ['brief', 'summary']
const PROMPT_KINDS: ReadonlySet<AnswersKind> = new Set(['brief', 'summary'])
const REQUEST_BYTES = [0, 10, 3_000, 200_000, 600_000] as const
const READ_PAUSES_MS = [0, 0, 0, 2, 10] as const
const CALL_PAUSES_MS = [0, 0, 1, 10] as const
const CHUNKED_SHARE = 0.3
const DISCONNECT_SHARE = 0.03
const MAX_DISCONNECT_MS = 60
const CALLER_SEED = 7_919

/**
 * Derives the parameters of a seed: consecutive seeds cycle through the profiles, and the load
 * changes after each cycle.
 *
 * @param seed - non-negative integer
 * @returns the parameters
 */
export function createFuzzPlan (seed: number): FuzzPlan {
  const profiles = ANSWER_PROFILES.length
  const round = Math.floor(seed / profiles)
  return {
    seed,
    profile: ANSWER_PROFILES[seed % profiles] as AnswerProfile,
    busyMs: BUSY_MS[round % BUSY_MS.length] as number,
    isInWorker: Math.floor(round / BUSY_MS.length) % 2 === 0
  }
}

/**
 * Runs a seed.
 *
 * @param plan - parameters of the run
 * @returns counts, violations and their evidence
 */
export async function fuzzAnswers (plan: FuzzPlan): Promise<FuzzResult> {
  const crashes: Violation[] = []
  const recordCrash = (error: unknown): void => { crashes.push({ type: 'crash', requestId: '', detail: error instanceof Error ? error.stack ?? error.message : String(error) }) }
  process.on('uncaughtException', recordCrash)
  const fleet = await (plan.isInWorker ? startAnswersFleetInWorker : startAnswersFleet)({ ...plan, places: REPLICA_PLACES })
  const entry = await startAnswersEntry(REPLICA_PLACES, fleet)
  const callers = Array.from({ length: CALLERS }, () => createAnswersCaller(entry.callers))
  const stopBlocking = blockEventLoop(plan.busyMs)
  const records: CallRecord[] = []
  try {
    const endsAtMs = performance.now() + MAX_DURATION_MS
    await Promise.all(callers.map((caller, index) => runCaller(plan, index, caller, records, endsAtMs)))
    await sleep(SETTLE_MS)
    stopBlocking()
    const truth = await fleet.truth()
    const violations = [...crashes, ...findViolations(records, truth), ...findUnsolicited(callers)]
    return { plan, calls: records.length, ends: countEnds(records), violations, evidence: findEvidence(entry.lines, violations, truth) }
  } finally {
    stopBlocking()
    for (const caller of callers) caller.close()
    await entry.close()
    await fleet.close()
    process.off('uncaughtException', recordCrash)
  }
}

async function runCaller ({ profile, seed }: FuzzPlan, index: number, caller: AnswersCaller, records: CallRecord[], endsAtMs: number): Promise<void> {
  const random = createRandom(seed * CALLER_SEED + index)
  for (let i = 0; i < CALLS_PER_CALLER && performance.now() < endsAtMs; i++) {
    const kind = random.pick(profile === 'own_calls' ? CONTROL_CALL_KINDS : KINDS)
    const call = drawCall(random, kind, `s${seed}-${index}-${i}`)
    records.push({ kind, call, outcome: await caller.call(call) })
    await sleep(random.pick(CALL_PAUSES_MS))
  }
}

function drawCall (random: Random, kind: AnswersKind, requestId: string): AnswersCall {
  const isRate = kind === 'rate'
  const bytes = isRate ? 0 : random.pick(REQUEST_BYTES)
  return {
    method: isRate ? 'GET' : 'POST',
    path: `/${kind}/${requestId}`,
    requestId,
    headers: { host: ANSWERS_HOST, 'x-deadline-ms': '5000', ...(PROMPT_KINDS.has(kind) ? { 'x-token-counts': '20,20' } : {}) },
    body: Buffer.from(`${requestId} `.repeat(Math.ceil(bytes / (requestId.length + 1)))),
    isChunked: random.chance(CHUNKED_SHARE),
    readPauseMs: random.pick(READ_PAUSES_MS),
    leavesAfterMs: random.chance(DISCONNECT_SHARE) ? random.integer(MAX_DISCONNECT_MS) : undefined
  }
}

// Blocks the event loop periodically, as the load of a busy process does between two polls of its sockets.
function blockEventLoop (busyMs: number): () => void {
  if (busyMs === 0) return () => {}
  const timer = setInterval(() => {
    const endsAtMs = performance.now() + busyMs
    while (performance.now() < endsAtMs) continue
  }, BUSY_PERIOD_MS)
  return () => clearInterval(timer)
}

function findUnsolicited (callers: readonly AnswersCaller[]): Violation[] {
  return callers.flatMap((caller) => caller.unsolicited()).map((detail) => ({ type: 'unasked_answer', requestId: '', detail }))
}

function countEnds (records: readonly CallRecord[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (const { outcome: { answer, end } } of records) {
    const name = `${answer.status} ${end}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

function findEvidence (lines: readonly string[], violations: readonly Violation[], { arrivals }: AnswersTruth): string[] {
  const ids = new Set(violations.map(({ requestId }) => requestId).filter((requestId) => requestId !== ''))
  const onConnections = arrivals.filter(({ requestId }) => ids.has(requestId)).map(({ connection, replicaId }) => `${replicaId}/${connection}`)
  const neighbours = arrivals.filter(({ connection, replicaId }) => onConnections.includes(`${replicaId}/${connection}`))
  return [
    ...lines.filter((line) => [...ids].some((requestId) => line.includes(`request=${requestId} `))),
    ...neighbours.map(({ asked, atMs, connection, hasRun, replicaId, requestId, script }) => `${replicaId}/${connection} ${Math.round(atMs)} ${asked} ${requestId} ${hasRun ? 'ran' : 'not run'} ${script}`)
  ]
}
