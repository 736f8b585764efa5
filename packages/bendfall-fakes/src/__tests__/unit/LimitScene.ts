import { setTimeout as sleep } from 'node:timers/promises'
import type { PassedAnswer, RateWindow } from '../../fleet/BendfallFakesRateJudge.js'
import { findWorstWindow } from '../../fleet/BendfallFakesRateJudge.js'
import { callEntry, inCustomerScene } from './CustomerScene.js'
import type { CustomerAnswer, CustomerEntry, CustomerScene } from './CustomerScene.js'

/** Requests a second that a replica of the scene takes from all entries together. */
export const LIMIT_PER_S = 5.1

/** Until limits are named: entries know latencies by then. */
const NAMED_AFTER_MS = 1_000

const CALL_PAUSE_MS = 30

/** Before entries that answer the first call of a caller are known. */
const WARM_UP_MS = 1_500

/** A play of callers against replicas that name limits. */
export interface LimitPlay {
  readonly entries: number
  /** Of three plain replicas, how many name the limit. */
  readonly limited: number
  readonly seconds: number
  readonly callers?: number
  /** Between two calls of a caller. */
  readonly pauseMs?: number
  /** Entry that the caller uses next; absent: in turns. */
  readonly entryOf?: (callIndex: number) => number
  /** What happens beside the callers, until it is told that they end. */
  readonly beside?: (scene: CustomerScene, isOver: () => boolean) => Promise<void>
}

/** A call of the play. */
export interface PlayedCall extends CustomerAnswer {
  readonly entry: string
  readonly sentAtMs: number
}

/** What came of it. */
export interface LimitOutcome {
  /** Requests over the rule in the worst window of the worst replica; 0 or less when none. */
  readonly over: number
  readonly worst?: RateWindow
  /** Arrivals of what the limits allowed, since they were known. */
  readonly usedShare: number
  readonly calls: readonly PlayedCall[]
  /** Monotonic time at which limits were named. */
  readonly namedAtMs: number
}

/** Plays it. */
export async function playLimits (play: LimitPlay): Promise<LimitOutcome> {
  let outcome: LimitOutcome | undefined
  await inCustomerScene(play.entries, [], async (scene) => { outcome = await playIn(scene, play) }, 1)
  if (outcome === undefined) throw new Error('nothing was played')
  return outcome
}

async function playIn (scene: CustomerScene, { beside = async () => {}, callers = 18, entryOf, limited, pauseMs = CALL_PAUSE_MS, seconds }: LimitPlay): Promise<LimitOutcome> {
  await sleep(WARM_UP_MS)
  const calls: PlayedCall[] = []
  const endsAtMs = performance.now() + seconds * 1_000
  const isOver = (): boolean => performance.now() >= endsAtMs
  const named = scene.plain.slice(0, limited)
  let namedAtMs = Infinity
  const naming = sleep(NAMED_AFTER_MS).then(() => {
    namedAtMs = performance.now()
    for (const replica of named) replica.nameLimit(LIMIT_PER_S)
  })
  let next = 0
  const turn = (): number => next++
  const calling = Array.from({ length: callers }, async () => {
    while (!isOver()) {
      const index = entryOf?.(turn()) ?? turn() % scene.entries.length
      calls.push(await callOnce(scene.entries[index] as CustomerEntry))
      await sleep(pauseMs)
    }
  })
  await Promise.all([naming, beside(scene, isOver), ...calling])
  const answers: PassedAnswer[] = calls.map((call) => ({ ...call, requestId: call.id }))
  const windows = named.map((replica) => findWorstWindow({ replica, replicaId: idOf(scene, replica), answers }))
  const worst = windows.sort((one, other) => (other?.over ?? 0) - (one?.over ?? 0))[0]
  const arrived = named.reduce((sum, { seen }) => sum + seen.filter(({ atMs }) => atMs > namedAtMs && atMs < endsAtMs).length, 0)
  const usedShare = arrived / (limited * LIMIT_PER_S * (endsAtMs - namedAtMs) / 1_000)
  return { over: Math.max(0, worst?.over ?? 0), worst, usedShare, calls, namedAtMs }
}

async function callOnce (entry: CustomerEntry): Promise<PlayedCall> {
  const sentAtMs = performance.now()
  return { ...await callEntry(entry, { path: '/open/1' }), entry: entry.host, sentAtMs }
}

function idOf (scene: CustomerScene, replica: CustomerScene['plain'][number]): string {
  return `i-${100 + scene.replicas.indexOf(replica)}`
}
