// Guards against control calls that receive the response to another call. Responses to control calls
// echo no request id. A late duplicate on a shared connection was read as the hold of another request,
// as a refusal, or as an order that is already in force, and the response to a hold was read by the
// run sent after it. Before the fix, each test below read the response to another call.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger, createSystemClock, createUpdateLoop } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { LedgerEffect, LedgerEvent, LedgerState } from 'bendfall-router'
import { startReportPolling } from '../../ledger/BendfallEdgeReports.js'
import { registerPools } from '../../pools/BendfallEdgePools.js'
import { withReplicaHarness } from './ReplicaHarness.js'
import type { ReplicaHarness } from './ReplicaHarness.js'
import { formatResponse, SCRIPTED_DIALECT, startScriptedReplica } from './ScriptedReplica.js'
import type { ScriptedRequest } from './ScriptedReplica.js'

const IDLE_MS = 40

/** Longer than the timeout of a report. */
const PAUSE_MS = 450

const SILENT = createLogger({ level: 'error', write: () => {} })

function pauseProcess (ms: number): void {
  const endsAtMs = performance.now() + ms
  while (performance.now() < endsAtMs) continue
}

/** Responds to each request after repeating the responses to all earlier requests on its connection. */
function withDuplicates (respond: (request: ScriptedRequest) => string): (request: ScriptedRequest) => void {
  const earlier = new Map<number, string>()
  return (request) => {
    const duplicates = earlier.get(request.connection) ?? ''
    const response = respond(request)
    earlier.set(request.connection, duplicates + response)
    request.socket.write(duplicates + response)
  }
}

function createResponse ({ headers, number, path }: ScriptedRequest): string {
  const id = headers['x-id']
  if (path === '/hold') return formatResponse({ body: `hold-${number}` })
  if (path === '/order') return formatResponse({ status: number === 1 ? 200 : 202 })
  if (path === '/report') return formatResponse({ body: String(number) })
  return formatResponse({ id, isSigned: true, body: `answer to ${id}` })
}

const runSequentially = async (steps: ReadonlyArray<() => unknown>): Promise<void> => {
  for (const step of steps) {
    await step()
    await sleep(IDLE_MS)
  }
}

const orderStage = ({ execute, replica }: ReplicaHarness): void => execute({ type: 'order_stage', replicaId: 'i-1', address: replica.address, stage: 'prefill', fence: 1 })

test('a request does not receive the hold of another request', async () => {
  await withReplicaHarness(withDuplicates(createResponse), async ({ hold }) => {
    assert.equal((await hold('a')).outcome, { type: 'held', holdId: 'hold-1' })
    await sleep(IDLE_MS)
    assert.equal((await hold('b')).outcome, { type: 'held', holdId: 'hold-2' })
  })
})

test('a hold is not refused by the response to a prefill', async () => {
  const respond = (request: ScriptedRequest): string => request.path === '/hold' ? createResponse(request) : formatResponse({ id: request.headers['x-id'], status: 503, isNotRun: true })
  await withReplicaHarness(withDuplicates(respond), async ({ hold, prefill }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    assert.equal((await hold('b')).outcome, { type: 'held', holdId: 'hold-2' })
  })
})

for (const [what, unanswered, effectOf] of [
  ['dropping a hold', 'a hold that is given back and is never answered keeps no connection', ({ address }: ReplicaHarness['replica']) => ({ type: 'drop_hold', address, holdId: 'h' })],
  ['freeing a handle', 'a handle that is freed and is never answered keeps no connection', ({ address }: ReplicaHarness['replica']) => ({ type: 'free_handle', address, handle: 'h' })]
] as const) {
  test(`${what} does not affect the next run`, async () => {
    await withReplicaHarness(withDuplicates(createResponse), async ({ execute, delivered, replica, run }) => {
      await runSequentially([() => execute(effectOf(replica) as Parameters<typeof execute>[0]), () => run('a')])
      assert.is(delivered.get('a')?.body.toString(), 'answer to a')
    })
  })

  test(unanswered, async () => {
    await withReplicaHarness(() => {}, async ({ execute, replica }) => {
      execute(effectOf(replica) as Parameters<typeof execute>[0])
      await sleep(IDLE_MS)
      assert.is(replica.open(), 1)
      await sleep(1_200)
      assert.is(replica.open(), 0)
    })
  })
}

test('control calls leave no connection open', async () => {
  await withReplicaHarness(withDuplicates(createResponse), async (harness) => {
    await runSequentially([() => harness.hold('a'), () => harness.execute({ type: 'drop_hold', address: harness.replica.address, holdId: 'h' }), () => harness.execute({ type: 'free_handle', address: harness.replica.address, handle: 'h' })])
    assert.is(harness.replica.connections(), 3)
    assert.is(harness.replica.open(), 0)
  })
})

test('an order does not receive the response to an earlier one', async () => {
  await withReplicaHarness(withDuplicates(createResponse), async (harness) => {
    const port = { get: () => new Promise(() => {}), grantLease: () => new Promise(() => {}) } as unknown as KeyValuePort
    const close = registerPools({ loop: harness.loop, port, dialect: SCRIPTED_DIALECT, logger: SILENT, instanceId: 'e-1', poolOf: harness.pools.get, hasLimit: () => false })
    orderStage(harness)
    await harness.waitForEvent('order_answered', () => true)
    await sleep(IDLE_MS)
    orderStage(harness)
    await sleep(IDLE_MS)
    assert.equal(harness.events.filter(({ type }) => type === 'order_answered').map((event) => (event as { readonly outcome?: string }).outcome), ['holds_already', 'accepted'])
    await close()
  })
})

interface PollOutcome {
  readonly connections: () => number
  /** Reports in order, each with the time from the start of its poll to the arrival of the request that it responds to. */
  readonly reports: ReadonlyArray<{ readonly usedTokens: number, readonly arrivedAfterMs: number }>
}

/** Polls the reports of a replica about six times. */
async function pollReplica (respond: (request: ScriptedRequest) => string, confirms: readonly object[] = [], isDuplicated = true): Promise<PollOutcome> {
  const clock = createSystemClock()
  const arrivedAtMs = new Map<number, number>()
  const reports: Array<PollOutcome['reports'][number]> = []
  const send = isDuplicated ? withDuplicates(respond) : (request: ScriptedRequest): void => { request.socket.write(respond(request)) }
  const replica = await startScriptedReplica((request) => {
    arrivedAtMs.set(request.number, clock.nowMs())
    send(request)
  })
  const loop = createUpdateLoop<LedgerEvent, LedgerEffect>((event) => {
    if (event.type !== 'report_read') return []
    const { usedTokens } = event.report
    reports.push({ usedTokens, arrivedAfterMs: (arrivedAtMs.get(usedTokens) ?? 0) - event.askedAtMs })
    return []
  }, clock)
  const bookings = new Map(confirms.map((confirm, index) => [String(index), { confirm }]))
  const state = { bookings, waiting: [], lastRuns: new Map() } as unknown as LedgerState
  const poller = startReportPolling({ replicaAddress: replica.address, dialect: SCRIPTED_DIALECT, clock, logger: SILENT, loop, state: () => state })
  for (let i = 0; i < 6; i++) {
    await sleep(IDLE_MS)
    poller.wanted()
  }
  await sleep(IDLE_MS)
  await poller.close()
  replica.close()
  return { connections: replica.connections, reports }
}

// Guards against memory that is granted by a duplicate of an earlier report.
test('a report tells of no time before it was asked for', async () => {
  const { reports } = await pollReplica(createResponse)
  assert.ok(reports.length >= 5)
  for (const { arrivedAfterMs, usedTokens } of reports) assert.ok(arrivedAfterMs >= 0, `report ${usedTokens} is ${-arrivedAfterMs} ms older than its request`)
})

const NEW_CONNECTION_FAULTS = [
  ['is reset', ({ socket }: ScriptedRequest) => { socket.resetAndDestroy() }],
  ['is answered during a pause of the process', () => pauseProcess(PAUSE_MS)]
] as const

for (const [fault, inject] of NEW_CONNECTION_FAULTS) {
  test(`a report tells of no time before it was asked for when a new connection ${fault}`, async () => {
    const { reports } = await pollReplica((request) => {
      if (request.connection > 1) inject(request)
      return createResponse(request)
    })
    assert.ok(reports.length >= 2)
    for (const { arrivedAfterMs, usedTokens } of reports) assert.ok(arrivedAfterMs >= 0, `report ${usedTokens} is ${-arrivedAfterMs} ms older than its request`)
  })
}

test('the identical reports of an idle replica share a connection', async () => {
  const { connections, reports } = await pollReplica(() => formatResponse({ body: '0' }), [], false)
  assert.ok(reports.length >= 5)
  assert.is(connections(), 1)
})

test('a repeated report does not confirm memory', async () => {
  const { connections, reports } = await pollReplica(() => formatResponse({ body: '0' }), [{ askedAtMs: 0, untilMs: Infinity }], false)
  assert.ok(reports.length >= 5)
  assert.ok(connections() >= reports.length)
})

test.run()
