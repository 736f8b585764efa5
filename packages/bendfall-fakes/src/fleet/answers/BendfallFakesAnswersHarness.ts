/**
 * Test harness: an entry with replicas that respond according to the scripts of a test.
 *
 * @module
 */
import type { AnswersCall, CallOutcome } from './BendfallFakesAnswersCaller.js'
import { createAnswersCaller } from './BendfallFakesAnswersCaller.js'
import type { CallRecord, Violation } from './BendfallFakesAnswersJudge.js'
import { findViolations } from './BendfallFakesAnswersJudge.js'
import type { AnswersReplica, ScriptedRequest } from './BendfallFakesAnswersReplica.js'
import { startAnswersReplica } from './BendfallFakesAnswersReplica.js'
import type { AnswersKind } from './BendfallFakesAnswersEntry.js'
import { ANSWERS_HOST, REPLICA_PLACES, startAnswersEntry } from './BendfallFakesAnswersEntry.js'
import type { AnswerScript } from './BendfallFakesAnswersScript.js'
import { DEFAULT_SCRIPT } from './BendfallFakesAnswersScript.js'
import type { Arrival } from './BendfallFakesAnswersTruth.js'

/** Differences from a response without faults. */
export type ScriptChange = Partial<AnswerScript>

/** Replicas and scripts of the harness. */
export interface HarnessOptions {
  /** Ids of the replicas to start, out of `REPLICA_PLACES`; all when absent. */
  readonly replicaIds?: readonly string[]
  /** @returns how the response to a request differs from one without faults */
  readonly scriptOf: (request: ScriptedRequest) => ScriptChange
}

/** A running harness. */
export interface AnswersHarness {
  /** Makes a call on a new connection. */
  readonly call: (kind: AnswersKind, requestId: string, change?: Partial<AnswersCall>) => Promise<CallOutcome>
  /** @returns all requests that reached replicas */
  readonly arrivals: () => readonly Arrival[]
  /** @returns descriptions of the guarantees violated so far */
  readonly broken: () => readonly string[]
}

const PROMPT_KINDS: ReadonlySet<AnswersKind> = new Set(['brief', 'summary'])

/**
 * Starts a harness, runs a test with it and closes it, also when the test fails.
 *
 * @param options - replicas and their scripts
 * @param run - test body with calls and checks
 */
export async function withAnswersHarness (options: HarnessOptions, run: (harness: AnswersHarness) => Promise<void>): Promise<void> {
  const { replicaIds, scriptOf } = options
  const places = REPLICA_PLACES.filter(({ replicaId }) => replicaIds?.includes(replicaId) ?? true)
  const replicas: AnswersReplica[] = []
  for (const place of places) {
    replicas.push(await startAnswersReplica({ ...place, scriptOf: (request) => ({ ...DEFAULT_SCRIPT, ...scriptOf(request) }) }))
  }
  const entry = await startAnswersEntry(places, { addresses: replicas.map(({ address }) => address) })
  const records: CallRecord[] = []
  const arrivals = (): Arrival[] => replicas.flatMap((replica) => replica.truth().arrivals)
  try {
    await run({
      arrivals,
      broken: () => {
        const garbage = replicas.flatMap((replica) => replica.truth().garbage)
        return findViolations(records, { arrivals: arrivals(), garbage }).map(describeViolation)
      },
      call: async (kind, requestId, change) => {
        const call = { ...callOf(kind, requestId), ...change }
        const caller = createAnswersCaller(entry.callers)
        const outcome = await caller.call(call)
        caller.close()
        records.push({ kind, call, outcome })
        return outcome
      }
    })
  } finally {
    await entry.close()
    await Promise.all(replicas.map((replica) => replica.close()))
  }
}

function describeViolation ({ detail, requestId, type }: Violation): string {
  return `${type} ${requestId}: ${detail}`
}

function callOf (kind: AnswersKind, requestId: string): AnswersCall {
  return {
    method: kind === 'rate' ? 'GET' : 'POST',
    path: `/${kind}/${requestId}`,
    requestId,
    headers: { host: ANSWERS_HOST, 'x-deadline-ms': '3000', ...(PROMPT_KINDS.has(kind) ? { 'x-token-counts': '20,20' } : {}) },
    body: Buffer.alloc(0),
    isChunked: false,
    readPauseMs: 0
  }
}
