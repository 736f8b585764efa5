import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { InstanceRecord } from 'bendfall-core'
import type { PeerListener, TimelineEvent } from 'bendfall-node'
import { listenForPeers, registerPeerServer } from 'bendfall-node'
import type { InstanceListPort } from 'bendfall-platform'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StatusReport } from '../../index.js'
import { runCheck, runDrain, runStatus, runTimeline } from '../../index.js'
import { createKeyValueMemory } from './KeyValueMemory.js'

interface Fleet { readonly instances: InstanceListPort, readonly drained: string[], readonly close: () => Promise<void> }

const INTENT = { classes: { interactive: { firstOutputMs: 1, stepMs: 1 }, summary: { firstOutputMs: 1, stepMs: 1 } }, models: {}, pools: {}, routes: [], clients: {}, links: [], withdrawn: [] }

function event (instanceId: string, lamport: number, name: string): TimelineEvent {
  return { instanceId, incarnation: 'a', lamport, wallMs: 0, subject: 'r1', event: name, fields: {} }
}

/** Starts two processes that respond, at versions 2 and 1, and lists a third one that does not. */
async function startFleet (): Promise<Fleet> {
  const drained: string[] = []
  const listeners: PeerListener[] = []
  const records: InstanceRecord[] = []
  const list = (instanceId: string, address: string): void => {
    records.push({ instanceId, availabilityZone: 'levis', address, kind: 'upstream', pool: 'viewer', state: 'live' })
  }
  for (const [instanceId, configVersion] of [['a', 2], ['b', 1]] as const) {
    const sender = { stamp: () => ({ instanceId, configVersion }), observe: () => {} }
    const listener = await listenForPeers('127.0.0.1:0', (router) => registerPeerServer(router, sender, {
      fetchConfig: () => ({}),
      status: () => ({ role: 'sidecar', availabilityZone: 'levis', pool: 'viewer', state: 'live', heldKvBytes: 2048, reconcileJson: JSON.stringify({ phase: 'retrying', failures: 2, failure: 'busy' }) }),
      timeline: (subject) => subject === 'r1' ? [event(instanceId, configVersion * 10, `seen_by_${instanceId}`)] : [],
      drain: () => { drained.push(instanceId) }
    }))
    listeners.push(listener)
    list(instanceId, listener.address)
  }
  const closed = await listenForPeers('127.0.0.1:0', () => {})
  await closed.close()
  list('c', closed.address)
  return {
    drained,
    instances: { list: async () => ({ type: 'listed', instances: records }), close: async () => {} },
    close: async () => { await Promise.all(listeners.map((listener) => listener.close())) }
  }
}

const test = suite('processes')
let fleet: Fleet

test.before.each(async () => { fleet = await startFleet() })
test.after.each(async () => { await fleet.close() })

test('status reports the number of processes at each version, their progress, and those without a response', async () => {
  const { json, text } = await runStatus(fleet.instances, createKeyValueMemory())
  const report = json as StatusReport
  assert.equal(report.versions, [{ version: 2, processes: 1 }, { version: 1, processes: 1 }])
  assert.equal([report.storedVersion, report.silent], [0, ['c']])
  assert.match(text, /a +levis +sidecar +viewer +live +2 +retrying, failed 2 times: busy +0 +2 KiB/)
  assert.match(text, /at version 2: 1 of 2\nat version 1: 1 of 2\nno answer: c$/)
})

test('drain reaches only the named instance', async () => {
  assert.is((await runDrain(fleet.instances, 'b')).exit, 'done')
  assert.is((await runDrain(fleet.instances, 'c')).exit, 'outage')
  assert.is((await runDrain(fleet.instances, 'nobody')).exit, 'findings')
  assert.equal(fleet.drained, ['b'])
})

test('the timeline is in causal order', async () => {
  const { text } = await runTimeline(fleet.instances, 'r1')
  assert.match(text, /seen_by_b[\s\S]*seen_by_a[\s\S]*no answer: c/)
  assert.equal((await runTimeline(fleet.instances, 'r2')).json, { events: [], silent: ['c'] })
})

test('without the instance list the commands end with an outage', async () => {
  const instances: InstanceListPort = { list: async () => ({ type: 'unavailable', detail: 'down' }), close: async () => {} }
  const results = await Promise.all([runStatus(instances, undefined), runDrain(instances, 'a'), runTimeline(instances, '')])
  assert.equal(results.map((result) => result.exit), ['outage', 'outage', 'outage'])
})

test('check distinguishes settings from intents and reports all findings with their JSON pointers', async () => {
  const directory = await mkdtemp(join(tmpdir(), 'bendfallctl-'))
  const path = join(directory, 'document.json')
  const check = async (document: unknown): ReturnType<typeof runCheck> => {
    await writeFile(path, JSON.stringify(document))
    return await runCheck(path)
  }
  assert.is((await check(INTENT)).exit, 'done')
  const shape = await check({ ...INTENT, links: [{ from: 1 }], extra: true })
  assert.is(shape.exit, 'findings')
  for (const place of ['/extra', '/links/0/from', '/links/0/to', '/links/0/bytesPerSecond']) assert.match(shape.text, `#${place}: expected`)
  const meaning = await check({ ...INTENT, routes: [{ pathPrefix: '/a', pool: 'none', trafficClass: 'summary', repeatableMethods: [] }] })
  assert.match(meaning.text, '#/routes/0/pool: expected a pool of /pools, found none')
  assert.match((await check({ role: 'entry' })).text, '#/instanceId: expected')
  assert.match((await check([])).text, 'expected settings or an intent')
  assert.is((await runCheck(join(directory, 'absent.json'))).exit, 'findings')
  await rm(directory, { recursive: true })
})

test.run()
