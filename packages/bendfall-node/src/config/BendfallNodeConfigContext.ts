/**
 * What the ways of learning a configuration share.
 *
 * @module
 */
import type { Config } from 'bendfall-core'
import { configVersion } from 'bendfall-core'
import type { KeyValuePort } from 'bendfall-platform'
import type { InstanceAnswer, InstanceMirror } from '../instances/index.js'
import { backoffMs, pause } from '../runtime/BendfallNodePause.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { ConfigAnswer, ConfigHistory } from './BendfallNodeConfigHistory.js'
import type { ConfigTree } from './BendfallNodeConfigTree.js'

const RETRY_FIRST_MS = 250
const RETRY_MAX_MS = 5_000
const SEARCH_FIRST_MS = 1_000
const SEARCH_MAX_MS = 15_000
const JITTER_LOW = 0.75
const JITTER_WIDTH = 0.5

/** What a process asks another one. */
export interface ConfigAsk {
  /** Version of the asker. */
  readonly haveVersion: number
  /** Instance list of the asker; absent when it asks for none. */
  readonly list?: InstanceListAsk
  /** How long the answer may wait for news; 0 for an answer at once. */
  readonly waitMs: number
  /** Whether the asker reads merge patches, as all do but older processes. */
  readonly takesPatch: boolean
}

/** Instance list of an asker. */
export interface InstanceListAsk {
  /** Revision; empty while the asker has no list. */
  readonly haveRevision: string
  /** Age of the reading that its list rests on. */
  readonly haveAgeMs: number
}

/** Answer of a process: its configuration, and its instance list if asked for. */
export interface PeerAnswer extends ConfigAnswer {
  readonly list?: InstanceAnswer
}

/** Asks other processes. */
export interface ConfigPeers {
  /**
   * @param address - `ip:port` of the process
   * @param ask - what the asker has
   * @returns its answer; nothing when it gave none. Never throws.
   */
  readonly fetchConfig: (address: string, ask: ConfigAsk) => Promise<PeerAnswer | undefined>
}

/** What the ways of learning share. */
export interface ConfigContext {
  readonly runtime: Runtime
  readonly keyValue: KeyValuePort
  readonly peers: ConfigPeers
  readonly tree: ConfigTree
  readonly instances: InstanceMirror
  /** Told whether another process hands over the instance list. */
  readonly onListParent: (hasList: boolean) => void
  /** Addresses to ask at the start when the key-value service is down. */
  readonly seeds: readonly string[]
  /** Longest wait of one watch. */
  readonly watchMs: number
  readonly random: () => number
  readonly history: ConfigHistory
  readonly closed: AbortSignal
  /** Monotonic time of the last proof that the configuration is current. */
  verifiedAtMs: number | undefined
}

/** What the answer of a process allows to learn. */
export interface PeerLesson {
  /** Version in force at the process. */
  readonly version: number
  readonly learn: () => void
  /** Its instance list, if asked for. */
  readonly list?: InstanceAnswer
}

/**
 * Takes a configuration, if it is higher than the one in force.
 *
 * @param context - the learner's parts
 * @param config - the configuration
 * @param verifiedAtMs - monotonic time at which it was proved to be current
 */
export function learnConfig (context: ConfigContext, config: Config, verifiedAtMs: number | undefined): void {
  const { runtime } = context
  const version = configVersion(runtime.getState())
  if (config.version > version) runtime.dispatch({ type: 'config_learned', config })
  if (config.version >= version) noteVerified(context, verifiedAtMs)
}

/**
 * Notes a proof that the configuration in force is current.
 *
 * @param context - the learner's parts
 * @param atMs - monotonic time of the proof, if there is one
 */
export function noteVerified (context: ConfigContext, atMs: number | undefined): void {
  if (atMs === undefined) return
  context.verifiedAtMs = Math.max(context.verifiedAtMs ?? atMs, atMs)
}

/**
 * Asks one process for its configuration, for an answer at once.
 *
 * @param context - the learner's parts
 * @param address - `ip:port` of the process
 * @returns what can be learned; nothing when the process gave no answer
 */
export async function askPeer (context: ConfigContext, address: string): Promise<PeerLesson | undefined> {
  return await askWith(context, address, { haveVersion: configVersion(context.runtime.getState()), waitMs: 0, takesPatch: true })
}

/**
 * Asks one process, and once more for the whole document when the answer
 * builds on a base that is not here.
 *
 * @param context - the learner's parts
 * @param address - `ip:port` of the process
 * @param ask - what this process has, and how long the answer may take
 * @returns what can be learned; nothing when the process gave no answer
 */
export async function askWith (context: ConfigContext, address: string, ask: ConfigAsk): Promise<PeerLesson | undefined> {
  const { haveVersion } = ask
  const answer = await context.peers.fetchConfig(address, ask)
  if (answer === undefined) return undefined
  const lesson = answer.version <= haveVersion
    ? { version: answer.version, learn: () => noteSameVersion(context, answer) }
    : readAnswer(context, answer, haveVersion) ?? await askForWhole(context, address)
  return lesson && { ...lesson, list: answer.list }
}

async function askForWhole (context: ConfigContext, address: string): Promise<PeerLesson | undefined> {
  const answer = await context.peers.fetchConfig(address, { haveVersion: 0, waitMs: 0, takesPatch: true })
  return answer === undefined ? undefined : readAnswer(context, answer, 0)
}

function readAnswer (context: ConfigContext, answer: ConfigAnswer, haveVersion: number): PeerLesson | undefined {
  const config = context.history.read(answer, haveVersion)
  if (config === undefined) return undefined
  return { version: config.version, learn: () => learnConfig(context, config, provedAtMs(context, answer)) }
}

/**
 * Waits after a failure; longer after each, with jitter.
 *
 * @param context - the learner's parts
 * @param tried - failures before this one
 */
export async function pauseToRetry (context: ConfigContext, tried: number): Promise<void> {
  await pauseWithJitter(context, backoffMs(RETRY_FIRST_MS, RETRY_MAX_MS, tried))
}

/**
 * Waits after a failed search for the first configuration, which all processes
 * may be on at the same time: full jitter, and a mean pause that keeps the
 * reads of the size to design for below what the key-value service takes.
 *
 * @param context - the learner's parts
 * @param tried - failures before this one
 */
export async function pauseToSearch (context: ConfigContext, tried: number): Promise<void> {
  const longestMs = backoffMs(SEARCH_FIRST_MS, SEARCH_MAX_MS, tried)
  await pause(context.runtime.clock, longestMs * context.random(), context.closed)
}

/**
 * Waits for a time that differs from process to process.
 *
 * @param context - the learner's parts
 * @param waitMs - middle of the wait
 */
export async function pauseWithJitter (context: ConfigContext, waitMs: number): Promise<void> {
  const factor = JITTER_LOW + JITTER_WIDTH * context.random()
  await pause(context.runtime.clock, waitMs * factor, context.closed)
}

function noteSameVersion (context: ConfigContext, answer: ConfigAnswer): void {
  const isSame = answer.version === configVersion(context.runtime.getState())
  if (isSame && answer.version > 0) noteVerified(context, provedAtMs(context, answer))
}

function provedAtMs (context: ConfigContext, answer: ConfigAnswer): number | undefined {
  if (!Number.isFinite(answer.verifiedAgeMs)) return undefined
  return context.runtime.clock.nowMs() - answer.verifiedAgeMs
}
