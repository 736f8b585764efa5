import { setTimeout as sleep } from 'node:timers/promises'
import type { CrashEntry } from './CrashHarness.js'
import { callWithPrompt } from './PromptCaller.js'
import { PART_HOST, startPartFleet } from './PromptPartFleet.js'
import type { CrashingReplica, PartFleet } from './PromptPartFleet.js'

const CALLERS = 20
const CALL_INTERVAL_MS = 60
const CRASHING_INTERVAL_MS = 300
const CALM_MS = 2_500
const CRASHING_MS = 11_500
/** Storm of two parts in succession: duration of the first one, and of the time between them. */
const FIRST_PART_MS = 2_000
const BETWEEN_PARTS_MS = 10_000
/** From this time after the start of such a storm all requests are sent again. */
const SUCCESSIVE_CRASHES_MS = 14_000
const SUCCESSIVE_MS = 24_000
/** Maximum requests with the second part; one that is refused before it reaches a replica crashes none. */
const MAX_SECOND_SENDS = 3
const SESSIONS = 60
const PROMPT_TOKENS = 1_500

/** Crashes of one part after which the time limit for the entries starts. */
const BOUND_CRASHES = 5
/** Time after that crash by which all entries must know the part. */
const KNOWN_WITHIN_MS = 3_000
/** Time after that crash from which other requests must be served as before. */
const RECOVERED_WITHIN_MS = 6_000

/** Part that half of the regular requests, and all crashing ones, begin with. */
export const SHARED_PART = 'a0'

/** A storm of requests with parts that crash replicas, and what else happens meanwhile. */
export interface PartStorm {
  /** Parts of the crashing requests, apart from the last one; used in turn. */
  readonly crashing: ReadonlyArray<readonly string[]>
  /** Parts that crash the replicas which begin to respond to them. */
  readonly badParts: readonly string[]
  readonly replica?: CrashingReplica
  /**
   * Set where the second crashing part follows ten seconds after the first one has stopped, until it has crashed one
   * replica, and no regular request with the shared part is sent from the start of the storm to its end.
   * `moved`: crashing requests reach the last entry, and regular ones with the shared part reach it only after the storm.
   * `restarted`: all entries restart before the storm, and all requests reach all of them.
   */
  readonly successive?: 'moved' | 'restarted'
  /** Interval at which a random decode replica crashes for another reason. */
  readonly randomCrashIntervalMs?: number
  /** Interval at which an entry is restarted, each in turn. */
  readonly entryRestartIntervalMs?: number
}

/** What a storm caused. */
export interface PartOutcome {
  /** Crashes under each bad part. */
  readonly crashes: readonly number[]
  /** Sends with a bad part later than all entries must know it. */
  readonly lateSends: number
  /** Shares of the regular requests that began in their first attempt, before the storm and in its last part. */
  readonly before: RegularShares
  readonly after: RegularShares
  /** Regular requests that were refused as the cause of crashes. */
  readonly wronglyRefused: number
}

/** Shares of regular requests that began. */
export interface RegularShares {
  /** Of those that share their first part with the crashing ones. */
  readonly sharedFirst: number
  readonly others: number
  readonly requests: number
}

interface RegularCall {
  readonly atMs: number
  readonly isSharedFirst: boolean
  readonly hasBegun: boolean
  readonly isCauseRefusal: boolean
}

/** Plays a storm against three entries in front of thirteen replicas. */
export async function playPartStorm (storm: PartStorm): Promise<PartOutcome> {
  const fleet = await startPartFleet(storm.badParts, storm.replica)
  const stormAtMs = performance.now() + CALM_MS
  const endsAtMs = stormAtMs + (storm.successive !== undefined ? SUCCESSIVE_MS : CRASHING_MS)
  const timers: NodeJS.Timeout[] = []
  try {
    const callers = Array.from({ length: CALLERS }, (_, index) => runRegularCaller(fleet.entries, index, endsAtMs, index % 2 === 0 && storm.successive !== undefined ? { ...storm, stormAtMs } : undefined))
    await sleep(CALM_MS)
    timers.push(...startDisturbances(fleet, storm))
    await (storm.successive !== undefined ? sendSuccessive(fleet, storm, stormAtMs) : sendCrashing(fleet.entries, storm, endsAtMs))
    return judge(fleet, storm, stormAtMs, (await Promise.all(callers)).flat())
  } finally {
    for (const timer of timers) clearInterval(timer)
    await fleet.close()
  }
}

function startDisturbances ({ crashAny, entries }: PartFleet, { entryRestartIntervalMs, randomCrashIntervalMs }: PartStorm): NodeJS.Timeout[] {
  let restarted = 0
  const restartNext = (): void => {
    entries[restarted++ % entries.length]?.restart().catch((error: unknown) => { throw error })
  }
  return [
    ...(randomCrashIntervalMs === undefined ? [] : [setInterval(crashAny, randomCrashIntervalMs)]),
    ...(entryRestartIntervalMs === undefined ? [] : [setInterval(restartNext, entryRestartIntervalMs)])
  ]
}

async function sendCrashing (entries: readonly CrashEntry[], { crashing }: PartStorm, endsAtMs: number): Promise<void> {
  const calls: Array<Promise<unknown>> = []
  for (let i = 0; performance.now() < endsAtMs && crashing.length > 0; i++) {
    const partIds = [...crashing[i % crashing.length] as readonly string[], `c${i.toString(16)}`]
    calls.push(callWithPrompt(entries[i % entries.length] as CrashEntry, { id: `x${i}`, host: PART_HOST, promptTokens: PROMPT_TOKENS, partIds }))
    await sleep(CRASHING_INTERVAL_MS)
  }
  await Promise.all(calls)
}

async function sendSuccessive (fleet: PartFleet, storm: PartStorm, stormAtMs: number): Promise<void> {
  const [first = [], second = []] = storm.crashing
  const entries = storm.successive === 'moved' ? fleet.entries.slice(-1) : fleet.entries
  if (storm.successive === 'restarted') await Promise.all(fleet.entries.map(({ restart }) => restart()))
  await sendCrashing(entries, { ...storm, crashing: [first] }, stormAtMs + FIRST_PART_MS)
  await sleep(BETWEEN_PARTS_MS)
  const hasCrashed = (): boolean => (fleet.crashesAtMs.get(second.at(-1) as string) ?? []).length > 0
  for (let i = 0; i < MAX_SECOND_SENDS && !hasCrashed(); i++) await sendCrashing(entries, { ...storm, crashing: [second] }, performance.now() + 1)
}

async function runRegularCaller (entries: readonly CrashEntry[], index: number, endsAtMs: number, pause?: Pick<PartStorm, 'successive'> & { readonly stormAtMs: number }): Promise<RegularCall[]> {
  const calls: RegularCall[] = []
  const isSharedFirst = index % 2 === 0
  for (let turn = 0; performance.now() < endsAtMs; turn++) {
    if (pause !== undefined && performance.now() >= pause.stormAtMs) await sleep(Math.max(0, pause.stormAtMs + SUCCESSIVE_CRASHES_MS - performance.now()))
    const atMs = performance.now()
    const reached = pause?.successive === 'moved' ? atMs < pause.stormAtMs ? entries.slice(0, -1) : entries.slice(-1) : entries
    const session = `e${((index * 7 + turn) % SESSIONS).toString(16).padStart(2, '0')}`
    const own = `d${index.toString(16).padStart(2, '0')}${turn.toString(16)}`
    const partIds = [isSharedFirst ? SHARED_PART : 'b0', session, own]
    const { hasBegun, text } = await callWithPrompt(reached[(index + turn) % reached.length] as CrashEntry, { id: `s${index}-${turn}`, host: PART_HOST, promptTokens: PROMPT_TOKENS, partIds })
    calls.push({ atMs, isSharedFirst, hasBegun, isCauseRefusal: text.includes('crashes_replicas') })
    await sleep(CALL_INTERVAL_MS)
  }
  return calls
}

function judge ({ crashesAtMs, sendsWith }: PartFleet, { badParts }: PartStorm, stormAtMs: number, calls: readonly RegularCall[]): PartOutcome {
  const crashesOf = (part: string): readonly number[] => crashesAtMs.get(part) ?? []
  const boundAtMs = (part: string): number => crashesOf(part)[BOUND_CRASHES - 1] ?? crashesOf(part).at(-1) ?? stormAtMs
  const late = badParts.flatMap((part) => sendsWith(part).filter(({ atMs }) => atMs > boundAtMs(part) + KNOWN_WITHIN_MS))
  const recoveredAtMs = Math.max(stormAtMs, ...badParts.map(boundAtMs)) + RECOVERED_WITHIN_MS
  return {
    crashes: badParts.map((part) => crashesOf(part).length),
    lateSends: late.length,
    before: sharesOf(calls.filter(({ atMs }) => atMs < stormAtMs)),
    after: sharesOf(calls.filter(({ atMs }) => atMs > recoveredAtMs)),
    wronglyRefused: calls.filter(({ isCauseRefusal }) => isCauseRefusal).length
  }
}

function sharesOf (calls: readonly RegularCall[]): RegularShares {
  const shareOf = (some: readonly RegularCall[]): number => some.filter(({ hasBegun }) => hasBegun).length / Math.max(1, some.length)
  return {
    sharedFirst: shareOf(calls.filter(({ isSharedFirst }) => isSharedFirst)),
    others: shareOf(calls.filter(({ isSharedFirst }) => !isSharedFirst)),
    requests: calls.length
  }
}
