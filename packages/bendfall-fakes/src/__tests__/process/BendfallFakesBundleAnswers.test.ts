// Guards against a bundled process that one response stops: to word a failed assertion without a message, Node.js
// parses its source line, which on the long lines of a bundle doesn't end.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { answersIp } from '../../fleet/answers/BendfallFakesAnswersEntry.js'
import { COMMON_SETTINGS, CONTACT_MS, ROUTE_TIMEOUT_MS, startBundleFleet, waitUntil } from './BundledEntry.js'
import type { BundledEntry, BundleFleet } from './BundledEntry.js'
import { send } from './BundleHarness.js'
import { startHeadProxy, withStatus } from './HeadProxy.js'

const SIDECAR_IP = answersIp(3)
const SIDECAR_METRICS_PORT = 9465

/** A configuration is in force everywhere within this time. */
const CONFIG_APPLY_MS = 2_000

const INVALID_STATUSES = ['000', '001', '099', '100', '101', '600', '999']

/** The store is called and reports are read several times a second. */
const MAX_SPOIL_MS = 3_000

let fleet: BundleFleet
let entry: BundledEntry

test.before(async () => { fleet = await startBundleFleet() })

test.before.each(async () => { entry = await fleet.startEntry() })

test.after.each(async () => {
  for (const proxy of [fleet.replicaProxy, fleet.storeProxy]) proxy.spoilWith(undefined)
  await entry.kill()
})

test.after(() => fleet.close())

// Guards against an entry that stands still, and against callers that get a status that is not one of HTTP.
for (const status of INVALID_STATUSES) {
  test(`a response of a replica with the status ${status} fails only its own request`, async () => {
    fleet.replicaProxy.spoilWith(withStatus(status))
    const startedAtMs = performance.now()
    assert.is(await entry.book(), 502)
    assert.ok(performance.now() - startedAtMs < ROUTE_TIMEOUT_MS, 'answered before the timeout of the route')
    fleet.replicaProxy.spoilWith(undefined)
    await entry.assertServes(status)
  })
}

// Guards against an entry whose configuration is frozen by one response of the store.
for (const [index, status] of INVALID_STATUSES.entries()) {
  test(`a response of the store with the status ${status} fails only its own call`, async () => {
    const spoiledBefore = fleet.storeProxy.spoiledCount()
    fleet.storeProxy.spoilWith(withStatus(status))
    assert.ok(await waitUntil(() => fleet.storeProxy.spoiledCount() > spoiledBefore, MAX_SPOIL_MS), 'the store was not called')
    fleet.storeProxy.spoilWith(undefined)
    await entry.assertServes(status)
    fleet.putConfig(2 + index, `rate${status}`)
    assert.ok(await waitUntil(async () => await entry.lookUp(`rate${status}`) === 200, CONFIG_APPLY_MS), entry.log())
  })
}

// Guards against a sidecar that stands still, so that its replica serves without a ledger.
for (const status of INVALID_STATUSES) {
  test(`a report with the status ${status} doesn't stop the sidecar`, async () => {
    const replica = await startFleetReplica({ host: SIDECAR_IP, replicaId: 'i-decode', stage: 'decode' })
    const reports = await startHeadProxy(replica.address)
    const sidecar = await fleet.bundle.start('sidecar', { ...COMMON_SETTINGS, instanceId: 'sidecar-1', ip: SIDECAR_IP, replicaAddress: reports.address, keyValueAddress: fleet.storeProxy.address })
    try {
      reports.spoilWith(withStatus(status))
      assert.ok(await waitUntil(() => reports.spoiledCount() > 0, MAX_SPOIL_MS), 'no report was read')
      reports.spoilWith(undefined)
      assert.is(await send({ host: SIDECAR_IP, port: SIDECAR_METRICS_PORT, path: '/metrics', timeoutMs: CONTACT_MS }), 200)
      assert.is(sidecar.hasEnded(), false)
    } finally {
      await sidecar.kill()
      reports.close()
      await replica.close()
    }
  })
}

test.run()
