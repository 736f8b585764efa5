/**
 * Reads the configuration from the key-value service, at watchers only.
 *
 * @module
 */
import { CONFIG_KEY, decodeConfig } from 'bendfall-core'
import type { KeyValueEntry } from 'bendfall-platform'
import type { ConfigContext } from './BendfallNodeConfigContext.js'
import { learnConfig, noteVerified, pauseToRetry } from './BendfallNodeConfigContext.js'

/**
 * Runs until the learner is closed. Watches while this process is a watcher of
 * its availability zone, sleeps else.
 *
 * @param context - the learner's parts
 */
export async function watchConfig (context: ConfigContext): Promise<void> {
  while (!context.closed.aborted) {
    await untilWatcher(context)
    await watchWhileWatcher(context)
  }
}

/**
 * Reads the configuration once.
 *
 * @param context - the learner's parts
 * @returns revision to watch from; nothing when the service is unavailable
 */
export async function readConfig (context: ConfigContext): Promise<number | undefined> {
  const read = await context.keyValue.get(CONFIG_KEY)
  if (read.type === 'unavailable' || context.closed.aborted) return undefined
  if (read.type === 'missing') return read.storeRevision
  learnEntry(context, read.entry)
  return read.entry.revision
}

async function watchWhileWatcher (context: ConfigContext): Promise<void> {
  let revision: number | undefined
  let tried = 0
  while (isWatcher(context)) {
    revision = revision === undefined ? await readConfig(context) : await watchOnce(context, revision)
    if (revision !== undefined) tried = 0
    else await pauseToRetry(context, tried++)
  }
}

async function watchOnce (context: ConfigContext, sinceRevision: number): Promise<number | undefined> {
  const outcome = await context.keyValue.watch(CONFIG_KEY, sinceRevision, context.watchMs)
  if (outcome.type === 'unavailable' || outcome.type === 'history_lost' || context.closed.aborted) return undefined
  if (outcome.type === 'unchanged') noteVerified(context, context.runtime.clock.nowMs())
  else outcome.entries.filter((entry) => entry.key === CONFIG_KEY).forEach((entry) => learnEntry(context, entry))
  return outcome.storeRevision
}

/** A value that is no configuration, and a lower one, change nothing. */
function learnEntry (context: ConfigContext, entry: KeyValueEntry): void {
  const config = decodeConfig(entry.value)
  if (config !== undefined) learnConfig(context, config, context.runtime.clock.nowMs())
}

function isWatcher ({ tree, closed }: ConfigContext): boolean {
  return !closed.aborted && tree.isWatcher()
}

function untilWatcher (context: ConfigContext): Promise<void> {
  const { runtime, closed } = context
  return new Promise((resolve) => {
    const removeListener = runtime.registerListener((event) => {
      if (event.type === 'instances_listed' || event.type === 'instances_changed') check()
    })
    closed.addEventListener('abort', finish, { once: true })
    check()

    function check (): void {
      if (closed.aborted || isWatcher(context)) finish()
    }

    function finish (): void {
      removeListener()
      closed.removeEventListener('abort', finish)
      resolve()
    }
  })
}
