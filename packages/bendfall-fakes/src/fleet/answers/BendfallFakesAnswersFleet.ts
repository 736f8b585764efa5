/**
 * Scripted replicas of one seed, in this thread or in a worker thread.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import type { AnswerProfile } from './BendfallFakesAnswersProfiles.js'
import { drawScript, drawStreamFormat } from './BendfallFakesAnswersProfiles.js'
import { createRandom } from './BendfallFakesAnswersRandom.js'
import type { AnswersReplica, ScriptedRequest } from './BendfallFakesAnswersReplica.js'
import { startAnswersReplica } from './BendfallFakesAnswersReplica.js'
import type { AnswerScript } from './BendfallFakesAnswersScript.js'
import type { AnswersTruth } from './BendfallFakesAnswersTruth.js'

/** Id and address of a replica. */
export interface ReplicaPlace {
  readonly replicaId: string
  readonly host: string
}

/** Seed, profile and replicas of a run. */
export interface FleetPlan {
  readonly seed: number
  readonly profile: AnswerProfile
  readonly places: readonly ReplicaPlace[]
}

/** Listening replicas. */
export interface AnswersFleet {
  /** `ip:port` of each replica, in the order of the plan. */
  readonly addresses: readonly string[]
  readonly truth: () => Promise<AnswersTruth>
  readonly close: () => Promise<void>
}

const WORKER_MODULE = new URL('./BendfallFakesAnswersWorkerMain.js', import.meta.url)
const SEED_STEP = 1_000
const MAX_CLOSE_MS = 2_000

/**
 * Starts the replicas in this thread.
 *
 * @param plan - seed, profile and replicas
 * @returns the replicas once they listen
 */
export async function startAnswersFleet (plan: FleetPlan): Promise<AnswersFleet> {
  const replicas: AnswersReplica[] = []
  for (const [index, place] of plan.places.entries()) {
    replicas.push(await startAnswersReplica({ ...place, scriptOf: createScriptSource(plan, index) }))
  }
  return {
    addresses: replicas.map(({ address }) => address),
    truth: async () => {
      const truths = replicas.map((replica) => replica.truth())
      return { arrivals: truths.flatMap(({ arrivals }) => arrivals), garbage: truths.flatMap(({ garbage }) => garbage) }
    },
    close: async () => { await Promise.all(replicas.map((replica) => replica.close())) }
  }
}

/**
 * Starts the replicas in a worker thread, so that they continue to write
 * while the entry's thread is blocked.
 *
 * @param plan - seed, profile and replicas
 * @returns the replicas once they listen
 */
export async function startAnswersFleetInWorker (plan: FleetPlan): Promise<AnswersFleet> {
  const worker = new Worker(WORKER_MODULE, { workerData: plan })
  const next = <T>(): Promise<T> => new Promise((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
  const addresses = await next<readonly string[]>()
  return {
    addresses,
    truth: () => {
      worker.postMessage('truth')
      return next<AnswersTruth>()
    },
    close: async () => {
      // Terminating a worker that has half-closed connections may never complete.
      const exited = once(worker, 'exit')
      worker.postMessage('close')
      await Promise.race([exited, sleep(MAX_CLOSE_MS)])
      worker.unref()
    }
  }
}

function createScriptSource ({ profile, seed }: FleetPlan, index: number): (request: ScriptedRequest) => AnswerScript {
  const random = createRandom(seed * SEED_STEP + index)
  return ({ asked, isStream, requestId }) => {
    const script = drawScript(random, profile, asked)
    return isStream ? { ...script, ...drawStreamFormat(createRandom(hashSeed(requestId)), profile) } : script
  }
}

function hashSeed (requestId: string): number {
  return createHash('sha1').update(requestId).digest().readUInt32BE()
}
