/**
 * Lets an asker wait for news of the configuration or the instance list.
 *
 * @module
 */
import { configVersion } from 'bendfall-core'
import type { InstanceAsk } from '../instances/index.js'
import { createSignal } from '../runtime/BendfallNodeSignal.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import type { ConfigAsk, ConfigContext } from './BendfallNodeConfigContext.js'

/** Longest wait, whatever the asker allows. */
const WAIT_MAX_MS = 30_000

/** News for askers. */
export interface ConfigNews {
  /**
   * @param ask - what the asker has
   * @param list - its instance list, in the time of this process
   * @param left - aborted when the asker no longer waits
   * @returns resolves at once when there is news, else with the first, after
   *   the wait, or when this process stops
   */
  readonly wait: (ask: ConfigAsk, list: InstanceAsk | undefined, left?: AbortSignal) => Promise<void>
  readonly close: Teardown
}

/**
 * Follows the news of a process.
 *
 * @param context - the learner's parts
 * @returns the news; close it to end all waits
 */
export function registerConfigNews (context: ConfigContext): ConfigNews {
  const { closed, instances, runtime } = context
  const { clock } = runtime
  const changed = createSignal(clock)
  const stopListening = runtime.registerListener(({ type }) => {
    if (type === 'config_learned' || type === 'stop_asked') changed.notify()
  })

  // A stopping process keeps nobody waiting, so that it can close.
  function hasNews ({ haveVersion }: ConfigAsk, list: InstanceAsk | undefined): boolean {
    const state = runtime.getState()
    if (closed.aborted || state.stopping || configVersion(state) > haveVersion) return true
    return list !== undefined && instances.hasNews(list)
  }

  return {
    wait: async (ask, list, left) => {
      const untilMs = clock.nowMs() + Math.min(ask.waitMs, WAIT_MAX_MS)
      while (!hasNews(ask, list) && clock.nowMs() < untilMs && left?.aborted !== true) {
        await changed.wait(untilMs - clock.nowMs(), left)
      }
    },
    close: combineTeardowns([stopListening, instances.registerListener(changed.notify), changed.notify])
  }
}
