/**
 * An entry before replicas that answer by scripts of a test.
 *
 * @module
 */
import type { AnswersCall, CallOutcome } from './BendfallFakesAnswersCaller.js'
import { createAnswersCaller } from './BendfallFakesAnswersCaller.js'
import type { CallRecord, Violation } from './BendfallFakesAnswersJudge.js'
import { findViolations } from './BendfallFakesAnswersJudge.js'
import type { AnswersReplica, ScriptedRequest } from './BendfallFakesAnswersReplica.js'
import { startAnswersReplica } from './BendfallFakesAnswersReplica.js'
import type { AnswersKind } from './BendfallFakesAnswersScene.js'
import { ANSWERS_HOST, SCENE_PLACES, startAnswersScene } from './BendfallFakesAnswersScene.js'
import type { AnswerScript } from './BendfallFakesAnswersScript.js'
import { SOUND_SCRIPT } from './BendfallFakesAnswersScript.js'
import type { Arrival } from './BendfallFakesAnswersTruth.js'

/** Changes of a sound answer. */
export type ScriptChange = Partial<AnswerScript>

/** What plays. */
export interface StageOptions {
  /** Replicas of the scene that play; all when absent. */
  readonly replicaIds?: readonly string[]
  /** @returns how a request's answer differs from a sound one */
  readonly scriptOf: (request: ScriptedRequest) => ScriptChange
}

/** A stage. */
export interface AnswersStage {
  /** Calls on a connection of its own. */
  readonly call: (kind: AnswersKind, requestId: string, change?: Partial<AnswersCall>) => Promise<CallOutcome>
  /** Requests that reached replicas. */
  readonly arrivals: () => readonly Arrival[]
  /** Names of broken promises. */
  readonly broken: () => readonly string[]
}

const PROMPT_KINDS: ReadonlySet<AnswersKind> = new Set(['brief', 'summary'])

/**
 * Plays on a stage that is closed whatever happens.
 *
 * @param options - replicas and their scripts
 * @param play - calls and checks
 */
export async function onAnswersStage (options: StageOptions, play: (stage: AnswersStage) => Promise<void>): Promise<void> {
  const { replicaIds, scriptOf } = options
  const places = SCENE_PLACES.filter(({ replicaId }) => replicaIds?.includes(replicaId) ?? true)
  const replicas: AnswersReplica[] = []
  for (const place of places) {
    replicas.push(await startAnswersReplica({ ...place, scriptOf: (request) => ({ ...SOUND_SCRIPT, ...scriptOf(request) }) }))
  }
  const scene = await startAnswersScene(places, { addresses: replicas.map(({ address }) => address) })
  const records: CallRecord[] = []
  const arrivals = (): Arrival[] => replicas.flatMap((replica) => replica.truth().arrivals)
  try {
    await play({
      arrivals,
      broken: () => {
        const garbage = replicas.flatMap((replica) => replica.truth().garbage)
        return findViolations(records, { arrivals: arrivals(), garbage }).map(describe)
      },
      call: async (kind, requestId, change) => {
        const call = { ...callOf(kind, requestId), ...change }
        const caller = createAnswersCaller(scene.callers)
        const outcome = await caller.call(call)
        caller.close()
        records.push({ kind, call, outcome })
        return outcome
      }
    })
  } finally {
    await scene.close()
    await Promise.all(replicas.map((replica) => replica.close()))
  }
}

function describe ({ detail, requestId, type }: Violation): string {
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
