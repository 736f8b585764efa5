/**
 * Keeps the configuration of a process up to date: from the key-value service
 * at the watchers, from other processes everywhere. The reducer takes only
 * higher versions, whatever arrives here.
 *
 * @module
 */
import type { InstanceId } from 'bendfall-core'
import type { KeyValuePort } from 'bendfall-platform'
import type { InstanceMirror } from '../instances/index.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { ConfigAsk, ConfigContext, ConfigPeers, PeerAnswer } from './BendfallNodeConfigContext.js'
import { createConfigHistory } from './BendfallNodeConfigHistory.js'
import { registerConfigNews } from './BendfallNodeConfigNews.js'
import { createConfigChase, learnFirstConfig, pullConfig } from './BendfallNodeConfigPull.js'
import type { ConfigTree } from './BendfallNodeConfigTree.js'
import { watchConfig } from './BendfallNodeConfigWatch.js'

/** What a learner needs. */
export interface ConfigLearnerOptions {
  readonly keyValue: KeyValuePort
  readonly peers: ConfigPeers
  readonly tree: ConfigTree
  /** The instance list, which is handed on together with the configuration. */
  readonly instances: InstanceMirror
  /** Told whether another process hands over the instance list. Default: nobody. */
  readonly onListParent?: (hasList: boolean) => void
  /** Addresses to ask at the start when the key-value service is down. */
  readonly seeds: readonly string[]
  /** Longest wait of one watch. */
  readonly watchMs: number
  /** Source of jitter in [0, 1). Default: `Math.random`. */
  readonly random?: () => number
}

/** Keeps the configuration of a process up to date. */
export interface ConfigLearner {
  /** Starts to learn; the effects of a configuration need their handlers by then. */
  readonly start: () => void
  /** To be told the version in every message that arrives. */
  readonly onPeerVersion: (instanceId: InstanceId, version: number) => void
  /**
   * Answers FetchConfig: at once when there is news for the asker, else after
   * the wait that it allows.
   *
   * @param ask - what the asker has
   * @param left - aborted when the asker no longer waits
   */
  readonly serve: (ask: ConfigAsk, left?: AbortSignal) => Promise<PeerAnswer>
  /** Age of the last proof that the version in force is current; else infinite. */
  readonly verifiedAgeMs: () => number
  /** Ends all loops. */
  readonly close: () => void
}

/**
 * Registers the learner of a process. It answers at once and learns once
 * started.
 *
 * @param runtime - update path of the process
 * @param options - services, peers and times
 * @returns the learner; close it to tear it down
 */
export function registerConfigLearner (runtime: Runtime, options: ConfigLearnerOptions): ConfigLearner {
  const closing = new AbortController()
  const context: ConfigContext = { random: Math.random, onListParent: () => {}, ...options, runtime, history: createConfigHistory(), closed: closing.signal, verifiedAtMs: undefined }
  const chase = createConfigChase(context)
  const removeListener = keepHistory(context)
  const news = registerConfigNews(context)
  let isStarted = false

  async function learnFromPeers (): Promise<void> {
    await learnFirstConfig(context)
    isStarted = true
    await pullConfig(context)
  }

  function verifiedAgeMs (): number {
    if (context.verifiedAtMs === undefined) return Infinity
    return runtime.clock.nowMs() - context.verifiedAtMs
  }

  return {
    start: () => {
      watchConfig(context)
      learnFromPeers()
    },
    // Before the start is over a peer could name a version below the highest.
    onPeerVersion: (instanceId, version) => { if (isStarted) chase(instanceId, version) },
    serve: async (ask, left) => {
      const list = ask.list && { haveRevision: ask.list.haveRevision, haveReadAtMs: runtime.clock.nowMs() - ask.list.haveAgeMs }
      await news.wait(ask, list, left)
      const answer = { ...context.history.write(ask.haveVersion, ask.takesPatch), verifiedAgeMs: verifiedAgeMs() }
      return list === undefined ? answer : { ...answer, list: options.instances.write(list) }
    },
    verifiedAgeMs,
    close: () => {
      closing.abort()
      news.close()
      removeListener()
    }
  }
}

function keepHistory ({ runtime, history }: ConfigContext): () => void {
  const { config } = runtime.getState()
  if (config !== undefined) history.add(config)
  let version = config?.version ?? 0
  return runtime.registerListener((_event, { state }) => {
    if (state.config === undefined || state.config.version === version) return
    version = state.config.version
    history.add(state.config)
  })
}
