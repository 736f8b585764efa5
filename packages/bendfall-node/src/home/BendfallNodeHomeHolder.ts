/**
 * Makes a sidecar a possible holder of key homes of its pool.
 *
 * @module
 */
import type { State } from 'bendfall-core'
import type { KeyValuePort } from 'bendfall-platform'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { HolderIdentity } from './BendfallNodeHomeEntry.js'
import { openHomeSession } from './BendfallNodeHomeSession.js'
import type { HomeSession, HomeSessionOptions } from './BendfallNodeHomeSession.js'
import { DEFAULT_HOME_HOLDER_TIMES } from './BendfallNodeHomeTimes.js'
import type { HomeHolderTimes } from './BendfallNodeHomeTimes.js'

/** What a holder works with. */
export interface HomeHolderOptions {
  readonly keyValue: KeyValuePort
  /** The process must have bound its address already. */
  readonly self: HolderIdentity
  readonly times?: Partial<HomeHolderTimes>
}

/**
 * Holds slots of the pool that the process is in, and follows when it is moved
 * to another pool. At a stop the slots are released once the running calls
 * ended, or after `drainWaitMs`.
 *
 * @param runtime - the process
 * @param options - key-value service, own identity and times
 * @returns teardown; resolves once the slots are released, or left to lapse
 *   when the key-value service does not answer
 */
export function registerHomeHolder (runtime: Runtime, options: HomeHolderOptions): () => Promise<void> {
  const sessionOptions: HomeSessionOptions = { ...options, times: { ...DEFAULT_HOME_HOLDER_TIMES, ...options.times } }
  let session: HomeSession | undefined

  function followPool (state: State): void {
    const pool = poolOf(state)
    if (pool === '' || pool === session?.pool) return
    session?.close()
    session = openHomeSession(runtime, pool, sessionOptions)
  }

  followPool(runtime.getState())
  const unregister = runtime.registerListener((event, step) => {
    if (event.type === 'config_learned' || event.type === 'instances_listed' || event.type === 'instances_changed') followPool(step.state)
  })
  return async () => {
    unregister()
    await session?.close()
  }
}

function poolOf (state: State): string {
  return state.members.get(state.self.instanceId)?.pool ?? state.self.pool
}
