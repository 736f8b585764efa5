import * as assert from 'uvu/assert'
import { CONFIG_KEY } from 'bendfall-core'
import type { Intent, Plan } from 'bendfall-core'
import { createHttpKeyValue } from 'bendfall-platform'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import type { Cluster } from '../../BendfallFakesCluster.js'
import { planClusterIntent } from '../../BendfallFakesClusterPlan.js'
import { watchVersions } from '../../BendfallFakesClusterVersions.js'
import { eventually } from '../../BendfallFakesClusterWait.js'
import { confirmIntent, withIntentFile } from '../../BendfallFakesDemoOperator.js'
import type { CommandResult } from '../../BendfallFakesDemoOperator.js'
import { clusterSuite } from './ClusterSuite.js'

const MAX_IN_FORCE_MS = 5_000
const EXIT_CONFLICT = 3
const SIZE = { prefill: 1, decode: 1, services: 1 }

const { test: plainTest, run } = clusterSuite('an accepted configuration comes into force and is never reverted', SIZE)

let nextWeight = 2

/** Returns an intent that differs from all previous ones. */
function createUniqueIntent (): Intent {
  nextWeight += 1
  return { ...planClusterIntent(SIZE), clients: { cadastre: { shareWeight: nextWeight } } }
}

async function waitUntilVersionEverywhere (cluster: Cluster, version: number, except = ''): Promise<void> {
  await eventually(`version ${version} at all processes`, async () => {
    const others = cluster.instanceIds.filter((instanceId) => instanceId !== except)
    const versions = await Promise.all(others.map((instanceId) => cluster.configVersion(instanceId)))
    return versions.every((one) => one === version)
  }, MAX_IN_FORCE_MS)
}

/** Registers a test that also fails if a process returns to an older configuration version while it runs. */
function test (name: string, work: (cluster: Cluster) => Promise<void>): void {
  plainTest(name, async (cluster) => {
    const watch = watchVersions(cluster)
    try {
      await work(cluster)
    } finally {
      const { samples, regressions } = await watch.stop()
      assert.equal(regressions, [])
      assert.ok(samples > 0)
    }
  })
}

function planAndConfirm (cluster: Cluster, onPlanned: () => Promise<void>): Promise<CommandResult> {
  return withIntentFile(cluster.fleet, createUniqueIntent(), async (command) => {
    const { digest } = JSON.parse((await command('plan', '--json')).output) as Plan
    await onPlanned()
    return await command('confirm', '--digest', digest)
  })
}

async function readDocument (keyValue: KeyValuePort): Promise<KeyValueEntry> {
  const read = await keyValue.get(CONFIG_KEY)
  if (read.type !== 'found') throw new Error(`no configuration: ${read.type}`)
  return read.entry
}

/** Returns a barrier that releases its callers once `count` of them have reached it. */
function createBarrier (count: number): () => Promise<void> {
  let arrived = 0
  let open = (): void => {}
  const opened = new Promise<void>((resolve) => { open = resolve })
  return async () => {
    arrived += 1
    if (arrived === count) open()
    await opened
  }
}

test('of two operators who confirm concurrently one succeeds, and the other gets a conflict and a new plan', async (cluster) => {
  const before = await cluster.configVersion('entry-1')
  const bothPlanned = createBarrier(2)
  const results = await Promise.all([0, 1].map(() => planAndConfirm(cluster, bothPlanned)))
  assert.equal(results.map(({ exitCode }) => exitCode).sort(), [0, EXIT_CONFLICT])
  const loser = results.find(({ exitCode }) => exitCode === EXIT_CONFLICT)
  assert.match(loser?.output ?? '', /Nothing was changed by this command[^]*bendfallctl confirm --digest/)
  await waitUntilVersionEverywhere(cluster, before + 1)
})

test('a confirmation whose response is lost is applied exactly once', async (cluster) => {
  const before = await cluster.configVersion('entry-1')
  await cluster.injectFault('key-value', { mode: 'lose_answer_after_write', pathPrefix: '/compare-and-swap', count: 1 })
  await confirmIntent(cluster.fleet, createUniqueIntent())
  await waitUntilVersionEverywhere(cluster, before + 1)
})

test('processes restarted during a store outage get the version from their peers', async (cluster) => {
  const { version } = await confirmIntent(cluster.fleet, createUniqueIntent())
  await waitUntilVersionEverywhere(cluster, version)
  await cluster.injectFault('key-value', { mode: 'outage' })
  for (const instanceId of ['entry-1', 'decode-1']) {
    await cluster.kill(instanceId)
    await cluster.restart(instanceId)
  }
  await waitUntilVersionEverywhere(cluster, version)
  await cluster.clearFaults('key-value')
})

test('a store outage right after a confirmation neither stops its propagation nor reverts it', async (cluster) => {
  const { version } = await confirmIntent(cluster.fleet, createUniqueIntent())
  await eventually('one process has the version', async () => {
    const versions = await Promise.all(cluster.instanceIds.map((instanceId) => cluster.configVersion(instanceId)))
    return versions.includes(version)
  }, MAX_IN_FORCE_MS)
  await cluster.injectFault('key-value', { mode: 'outage' })
  await waitUntilVersionEverywhere(cluster, version)
  await cluster.clearFaults('key-value')
})

test('a process resumed with an old version catches up and reverts no other process', async (cluster) => {
  cluster.signal('entry-2', 'SIGSTOP')
  const { version } = await confirmIntent(cluster.fleet, createUniqueIntent())
  await waitUntilVersionEverywhere(cluster, version, 'entry-2')
  cluster.signal('entry-2', 'SIGCONT')
  await waitUntilVersionEverywhere(cluster, version)
})

test('a stale document in the key-value service reverts no process', async (cluster) => {
  const keyValue = createHttpKeyValue({ origin: cluster.fleet.keyValueUrl })
  const old = await readDocument(keyValue)
  const { version } = await confirmIntent(cluster.fleet, createUniqueIntent())
  await waitUntilVersionEverywhere(cluster, version)
  const newer = await readDocument(keyValue)
  const { watch } = await cluster.keyValueCalls()
  await keyValue.compareAndSwap({ key: CONFIG_KEY, expectedRevision: newer.revision, value: old.value, leaseId: '' })
  await eventually('both watchers have read the stale document', async () => (await cluster.keyValueCalls()).watch >= watch + 2)
  await waitUntilVersionEverywhere(cluster, version)
  const { revision } = await readDocument(keyValue)
  await keyValue.compareAndSwap({ key: CONFIG_KEY, expectedRevision: revision, value: newer.value, leaseId: '' })
  await keyValue.close()
})

test('no engine receives an older order after a newer one', async (cluster) => {
  const { fencingTokens } = await cluster.engine('decode-1')
  assert.equal(fencingTokens, [...fencingTokens].sort((left, right) => left - right))
})

run()
