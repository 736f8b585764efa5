import { createLedgerState, reduceLedger } from '../../index.js'
import type { BookingRequest, LedgerState, ReplicaReport, ReplicaStage, RouterDecisions } from '../../index.js'
import type { Caller } from './LoadScenario.js'

export const KV_TOKENS = 41_000
const PREFILL_TOKENS_PER_MS = 33
const IN_PLACE_TOKENS_PER_MS = 16.7

/** A stream that a simulated replica runs. */
export interface LoadRun {
  readonly requestId: string
  readonly promptTokens: number
  readonly outputTokens: number
  startAtMs: number
  endAtMs: number
}

/** A simulated model replica with the ledger beside it. */
export interface LoadEngine {
  readonly replicaId: string
  readonly stage: ReplicaStage
  readonly ledger: LedgerState
  readonly runs: Map<string, LoadRun>
  busyUntilMs: number
  isLost: boolean
  /** Relative to the usual one. */
  speed: number
}

/** Creates an idle replica. */
export function createLoadEngine (replicaId: string, stage: ReplicaStage, decisions: RouterDecisions): LoadEngine {
  return { replicaId, stage, ledger: createLedgerState(decisions), runs: new Map(), busyUntilMs: 0, isLost: false, speed: 1 }
}

/** Lets a lost replica return without the requests that it ran. */
export function restart (engine: LoadEngine): void {
  engine.isLost = false
  engine.runs.clear()
}

/** Returns the memory that the runs of a replica occupy. */
export function usedTokens ({ runs }: LoadEngine, nowMs: number): number {
  let tokens = 0
  for (const run of runs.values()) tokens += tokensOf(run, nowMs)
  return tokens
}

function tokensOf ({ endAtMs, outputTokens, promptTokens, startAtMs }: LoadRun, nowMs: number): number {
  const share = Math.max(0, Math.min(1, (nowMs - startAtMs) / (endAtMs - startAtMs)))
  return promptTokens + share * outputTokens
}

/** Processes a prompt at a prefill replica, one after the other, and returns when it is complete. */
export function prefillApart (engine: LoadEngine, promptTokens: number, nowMs: number): number {
  engine.busyUntilMs = Math.max(nowMs, engine.busyUntilMs) + promptTokens / PREFILL_TOKENS_PER_MS / engine.speed
  return engine.busyUntilMs
}

/** Processes a prompt at a decode replica. The other requests of the replica run at a quarter of their speed meanwhile. */
export function prefillInPlace (engine: LoadEngine, promptTokens: number, nowMs: number): number {
  const prefillMs = promptTokens / IN_PLACE_TOKENS_PER_MS * 1.3
  const fromMs = Math.max(nowMs, engine.busyUntilMs)
  for (const run of engine.runs.values()) run.endAtMs += 0.75 * prefillMs
  engine.busyUntilMs = fromMs + prefillMs
  return engine.busyUntilMs
}

/** Returns the report that a replica gives of itself. */
export function reportOf (engine: LoadEngine, nowMs: number): ReplicaReport {
  const runs = [...engine.runs.values()].map((run) => ({ requestId: run.requestId, tokensInMemory: Math.round(tokensOf(run, nowMs)), eventsMade: nowMs >= run.startAtMs ? 1 : 0 }))
  return { stage: engine.stage, usedTokens: Math.round(usedTokens(engine, nowMs)), capacityTokens: KV_TOKENS, queued: 0, active: runs.length, isSwitching: false, runs }
}

/** Returns whether the ledger of a replica would grant a caller's request at once; changes nothing. */
export function wouldGrant ({ isLost, ledger, stage }: LoadEngine, caller: Caller, nowMs: number): boolean {
  if (isLost || ledger.waiting.length > 0) return false
  const request: BookingRequest = { bookingId: 'probe/1', requestId: 'probe', promptTokens: caller.promptTokens, hintTokens: caller.hintTokens, maxOutputTokens: 1_600, leadMs: stage === 'prefill' ? 0 : 200, maxWaitMs: 1, onTimeWaitMs: 1, priority: caller.isLessUrgent ? 2 : 1, isContinuation: false, readsInPlace: false }
  const effects = reduceLedger(structuredClone(ledger), { type: 'memory_asked', atMs: nowMs, request })
  return effects.some((effect) => effect.type === 'answer' && effect.bookingId === 'probe/1' && effect.isGranted)
}
