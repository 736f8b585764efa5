/**
 * Learns the configuration from other processes.
 *
 * @module
 */
import type { InstanceId } from 'bendfall-core'
import { configVersion } from 'bendfall-core'
import type { ConfigAsk, ConfigContext, PeerLesson } from './BendfallNodeConfigContext.js'
import { askPeer, askWith, pauseToSearch, pauseWithJitter } from './BendfallNodeConfigContext.js'
import { readConfig } from './BendfallNodeConfigWatch.js'

/** Wait of the parent for news, at most. */
const PULL_WAIT_MS = 20_000

/** Pause after a question that brought nothing, unless the parent waited for news. */
const PULL_INTERVAL_MS = 2_000

/** Processes asked in one interval until one answers. */
const PULL_TRIES = 3

/** Spreads the questions to a process that learned first. */
const CHASE_SPREAD_MS = 50

/** Listed processes asked at the start when the key-value service is down. */
const START_PEERS = 8

/**
 * Learns the first configuration: from the key-value service, and when that is
 * down from all seeds and some listed processes, of whom the highest counts.
 *
 * @param context - the learner's parts
 * @returns resolves once a configuration is in force, or once the service says
 *   that there is none and processes are listed that will know of the first
 */
export async function learnFirstConfig (context: ConfigContext): Promise<void> {
  for (let tried = 0; isUnconfigured(context); tried++) {
    const revision = await readConfig(context)
    if (revision === undefined) await askAll(context, startAddresses(context))
    else if (startAddresses(context).length > 0) return
    if (isUnconfigured(context)) await pauseToSearch(context, tried)
  }
}

/**
 * Asks the parent, which waits for news, again and again, the next ones in its
 * place when it does not answer, until the learner is closed.
 *
 * @param context - the learner's parts
 */
export async function pullConfig (context: ConfigContext): Promise<void> {
  const { clock } = context.runtime
  while (!context.closed.aborted) {
    const askedAtMs = clock.nowMs()
    const outcome = await pullOnce(context)
    const hasWaited = outcome !== 'unanswered' && clock.nowMs() - askedAtMs >= PULL_INTERVAL_MS
    if (outcome !== 'news' && !hasWaited) await pauseWithJitter(context, PULL_INTERVAL_MS)
  }
}

type PullOutcome = 'news' | 'nothing' | 'unanswered'

async function pullOnce (context: ConfigContext): Promise<PullOutcome> {
  const held = holdings(context)
  for (const address of parentAddresses(context).slice(0, PULL_TRIES)) {
    const lesson = await askWith(context, address, pullAsk(context))
    if (context.closed.aborted) return 'nothing'
    if (lesson === undefined) continue
    learnLesson(context, lesson)
    return holdings(context) === held ? 'nothing' : 'news'
  }
  context.onListParent(false)
  return 'unanswered'
}

/** Watchers read the list themselves. */
function pullAsk ({ instances, random, runtime, tree }: ConfigContext): ConfigAsk {
  const ask = { haveVersion: configVersion(runtime.getState()), waitMs: PULL_WAIT_MS * (1 - random() / 2), takesPatch: true }
  if (tree.isWatcher()) return ask
  return { ...ask, list: { haveRevision: instances.revision(), haveAgeMs: instances.ageMs() } }
}

function learnLesson (context: ConfigContext, { learn, list }: PeerLesson): void {
  learn()
  if (list !== undefined) context.instances.takeAnswer(list)
  context.onListParent(list !== undefined && list.revision !== '')
}

function holdings ({ instances, runtime }: ConfigContext): string {
  return `${configVersion(runtime.getState())} ${instances.revision()}`
}

async function learnFrom (context: ConfigContext, address: string): Promise<boolean> {
  const lesson = await askPeer(context, address)
  if (lesson === undefined || context.closed.aborted) return false
  lesson.learn()
  return true
}

/**
 * Makes the listener for versions that peers are seen to have. One question is
 * under way at a time; a peer that gives no answer is dropped, and asked again
 * when it sends its next message.
 *
 * @param context - the learner's parts
 * @returns the listener
 */
export function createConfigChase (context: ConfigContext): (instanceId: InstanceId, version: number) => void {
  let wanted: { readonly instanceId: InstanceId, readonly version: number } | undefined
  let chasing = false

  async function chase (): Promise<void> {
    chasing = true
    while (wanted !== undefined && isAhead(context, wanted.version)) {
      await pauseWithJitter(context, CHASE_SPREAD_MS)
      const { instanceId, version } = wanted
      const address = addressOf(context, instanceId)
      if (address !== undefined) await learnFrom(context, address)
      if (wanted.version === version) wanted = undefined
    }
    chasing = false
  }

  return (instanceId, version) => {
    if (!isAhead(context, version) || version <= (wanted?.version ?? 0)) return
    wanted = { instanceId, version }
    if (!chasing) chase()
  }
}

/** Waits for all answers and takes the highest, so that no lower one is in force between. */
async function askAll (context: ConfigContext, addresses: readonly string[]): Promise<void> {
  const answers = await Promise.all(addresses.map((address) => askPeer(context, address)))
  const lessons = answers.flatMap((lesson) => lesson ?? []).sort((a, b) => b.version - a.version)
  if (!context.closed.aborted) lessons[0]?.learn()
}

function startAddresses (context: ConfigContext): readonly string[] {
  return [...new Set([...context.seeds, ...parentAddresses(context).slice(0, START_PEERS)])]
}

function parentAddresses (context: ConfigContext): readonly string[] {
  return context.tree.parents().flatMap((instanceId) => addressOf(context, instanceId) ?? [])
}

function addressOf ({ runtime }: ConfigContext, instanceId: InstanceId): string | undefined {
  return runtime.getState().members.get(instanceId)?.record.address
}

function isAhead ({ runtime, closed }: ConfigContext, version: number): boolean {
  return !closed.aborted && version > configVersion(runtime.getState())
}

function isUnconfigured ({ runtime, closed }: ConfigContext): boolean {
  return !closed.aborted && configVersion(runtime.getState()) === 0
}
