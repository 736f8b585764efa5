import type { Config, InstanceRecord, Intent } from 'bendfall-core'
import { CONFIG_KEY, decodeConfig, encodeConfig } from 'bendfall-core'
import * as fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ConfirmOutcome, ConfirmRequest, PlanPorts } from '../../index.js'
import { confirmPlan, describeConfirm, makePlan } from '../../index.js'
import type { KeyValueMemory, WriteFault } from './KeyValueMemory.js'
import { createKeyValueMemory } from './KeyValueMemory.js'

const INSTANCES: readonly InstanceRecord[] = [{ instanceId: 'viewer-1', availabilityZone: 'levis', address: '127.0.0.1:1', kind: 'upstream', pool: 'viewer', state: 'live' }]

function intent (shareWeight: number): Intent {
  return {
    classes: { interactive: { firstOutputMs: 1, stepMs: 1 }, summary: { firstOutputMs: 1, stepMs: 1 } },
    models: {},
    pools: { viewer: { role: 'service', replicas: 1 } },
    routes: [],
    clients: { a: { shareWeight } },
    links: [],
    withdrawn: []
  }
}

interface Fixture { readonly keyValue: KeyValueMemory, readonly ports: PlanPorts }

function createFixture (): Fixture {
  const keyValue = createKeyValueMemory()
  const instances = { list: async () => ({ type: 'listed', instances: INSTANCES } as const), close: async () => {} }
  return { keyValue, ports: { keyValue, instances } }
}

async function createRequest (fixture: Fixture, writeId: string, shareWeight: number): Promise<ConfirmRequest> {
  const planRequest = { intent: intent(shareWeight), weightStoreBytesPerSecond: 0 }
  const plan = (await makePlan(fixture.ports, planRequest)).unwrap()
  return { ...planRequest, digest: plan.digest, writeId, pause: async () => {} }
}

async function readStored (fixture: Fixture): Promise<Config | undefined> {
  const read = await fixture.keyValue.get(CONFIG_KEY)
  return read.type === 'found' ? decodeConfig(read.entry.value) : undefined
}

async function confirmWith (writeFaults: WriteFault[], readFaults: boolean[] = []): Promise<{ fixture: Fixture, outcome: ConfirmOutcome }> {
  const fixture = createFixture()
  const confirmRequest = await createRequest(fixture, 'mine', 1)
  fixture.keyValue.writeFaults.push(...writeFaults)
  // The first read is made for the plan.
  fixture.keyValue.readFaults.push(false, ...readFaults)
  return { fixture, outcome: await confirmPlan(fixture.ports, confirmRequest) }
}

const test = suite('confirm')

test('stores the planned configuration with its write id', async () => {
  const { fixture, outcome } = await confirmWith([])
  assert.equal(outcome, { type: 'confirmed', version: 1, revision: 1, writeId: 'mine' })
  assert.is((await readStored(fixture))?.writeId, 'mine')
})

test('exactly one of several concurrent operators succeeds; the others get the current plan', async () => {
  await fc.assert(fc.asyncProperty(fc.scheduler(), fc.integer({ min: 2, max: 4 }), async (scheduler, count) => {
    const fixture = createFixture()
    const confirmRequests = await Promise.all(Array.from({ length: count }, (_, index) => createRequest(fixture, `writer-${index}`, index + 1)))
    const scheduledPorts: Fixture['ports'] = { ...fixture.ports, keyValue: { ...fixture.keyValue, get: scheduler.scheduleFunction(fixture.keyValue.get), compareAndSwap: scheduler.scheduleFunction(fixture.keyValue.compareAndSwap) } }
    const outcomes = await scheduler.waitFor(Promise.all(confirmRequests.map((one) => confirmPlan(scheduledPorts, one))))
    const winners = outcomes.filter((outcome) => outcome.type === 'confirmed')
    assert.is(winners.length, 1)
    assert.is(fixture.keyValue.applied.length, 1)
    const config = await readStored(fixture)
    for (const outcome of outcomes) {
      if (outcome.type === 'confirmed') assert.is(outcome.writeId, config?.writeId)
      else assert.ok(outcome.type === 'conflict' && outcome.plan?.baseVersion === 1)
    }
  }), { numRuns: 60 })
})

test('a conflict exits with 3 and reports that nothing was changed', async () => {
  const fixture = createFixture()
  const [first, second] = [await createRequest(fixture, 'a', 1), await createRequest(fixture, 'b', 2)]
  await confirmPlan(fixture.ports, first)
  const result = describeConfirm(await confirmPlan(fixture.ports, second))
  assert.is(result.exit, 'conflict')
  assert.match(result.text, /Nothing was changed by this command[\s\S]*to version 2[\s\S]*confirm --digest/)
})

test('a lost response is resolved by reading the configuration back', async () => {
  const cases: Array<[WriteFault[], number]> = [
    [['lost_applied'], 1], [['lost_not_applied'], 1], [['lost_late'], 1], [['lost_late', 'lost_applied'], 1],
    [['lost_not_applied', 'unavailable', 'lost_not_applied'], 1]
  ]
  for (const [faults, writes] of cases) {
    const { fixture, outcome } = await confirmWith([...faults])
    assert.is(outcome.type, 'confirmed', faults.join())
    assert.is(fixture.keyValue.applied.length, writes, faults.join())
    assert.is((await readStored(fixture))?.writeId, 'mine')
  }
})

test('does not repeat a write until a read has returned the old revision', async () => {
  const { fixture, outcome } = await confirmWith(['lost_applied'], Array(8).fill(true))
  assert.is(outcome.type, 'unresolved')
  assert.is(describeConfirm(outcome).exit, 'outage')
  assert.is(fixture.keyValue.applied.length, 1)
  const again = await confirmPlan(fixture.ports, { ...await createRequest(fixture, 'later', 1), digest: 'whatever' })
  assert.equal(again, { type: 'in_force', version: 1 }, 'a repeated command finds the intent in force')
})

test('an outage changes nothing', async () => {
  for (const [writeFaults, readFaults] of [[['unavailable'], []], [[], []]] as Array<[WriteFault[], boolean[]]>) {
    const fixture = createFixture()
    const confirmRequest = await createRequest(fixture, 'mine', 1)
    fixture.keyValue.writeFaults.push(...writeFaults)
    fixture.keyValue.readFaults.push(...(writeFaults.length === 0 ? [true] : readFaults))
    const outcome = await confirmPlan(fixture.ports, confirmRequest)
    assert.is(describeConfirm(outcome).exit, 'outage')
    assert.is(await readStored(fixture), undefined)
  }
})

test('another write with the same version is a conflict; one with a higher version supersedes the lost write', async () => {
  for (const [version, type] of [[1, 'conflict'], [2, 'superseded']] as const) {
    const fixture = createFixture()
    const confirmRequest = await createRequest(fixture, 'mine', 1)
    const plannedConfig = (await makePlan(fixture.ports, confirmRequest)).unwrap().next
    fixture.keyValue.writeFaults.push('lost_not_applied')
    fixture.keyValue.beforeWrite = () => fixture.keyValue.put(CONFIG_KEY, encodeConfig({ ...plannedConfig, version, writeId: 'other' }))
    const outcome = await confirmPlan(fixture.ports, confirmRequest)
    assert.is(outcome.type, type)
    assert.is(describeConfirm(outcome).exit, version === 1 ? 'conflict' : 'outage')
    assert.is(fixture.keyValue.applied.length, 0)
  }
})

test('a write that took effect before two later versions is not reported as unchanged', async () => {
  const fixture = createFixture()
  const confirmRequest = await createRequest(fixture, 'mine', 1)
  const plannedConfig = (await makePlan(fixture.ports, confirmRequest)).unwrap().next
  fixture.keyValue.writeFaults.push('lost_applied')
  const writeLaterVersion = async (): Promise<void> => fixture.keyValue.put(CONFIG_KEY, encodeConfig({ ...plannedConfig, version: 3, writeId: 'other' }))
  const outcome = await confirmPlan(fixture.ports, { ...confirmRequest, pause: writeLaterVersion })
  assert.equal(outcome, { type: 'superseded', version: 3, sentVersion: 1, writeId: 'mine' })
  const { exit, text } = describeConfirm(outcome)
  assert.is(exit, 'outage')
  assert.match(text, /can't be known[\s\S]*timeline --subject config\/1/)
  assert.not.match(text, /Nothing was changed/)
})

test('a plan with a blocking finding is not written', async () => {
  const fixture = createFixture()
  const bad = { ...intent(1), routes: [{ pathPrefix: '/a', pool: 'none', trafficClass: 'summary', repeatableMethods: [] }] } as const
  const planRequest = { intent: bad, weightStoreBytesPerSecond: 0 }
  const { digest } = (await makePlan(fixture.ports, planRequest)).unwrap()
  const outcome = await confirmPlan(fixture.ports, { ...planRequest, digest, writeId: 'w', pause: async () => {} })
  assert.is(describeConfirm(outcome).exit, 'findings')
  assert.is(fixture.keyValue.applied.length, 0)
})

test.run()
