// Calls that the router makes for itself bear no id that comes back. A second answer
// that came late on a shared connection was read as a hold of another request, as a
// refusal, or as an order that holds already; the answer of a hold met the run behind
// it. Evidence: before the mend each test below read the answer to another call.
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger, createSystemClock, createUpdateLoop } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { LedgerEffect, LedgerEvent, LedgerState } from 'bendfall-router'
import { startReportPolling } from '../../ledger/BendfallEdgeReports.js'
import { registerPools } from '../../pools/BendfallEdgePools.js'
import { beforeReplica } from './ReplicaScene.js'
import type { ReplicaScene } from './ReplicaScene.js'
import { answerOf, SCRIPTED_DIALECT, startScriptedReplica } from './ScriptedReplica.js'
import type { ScriptedRequest } from './ScriptedReplica.js'

const IDLE_MS = 40
const SILENT = createLogger({ level: 'error', write: () => {} })

/** Answers each request, after the answers to all earlier ones of its connection have come a second time. */
function withDoubles (answer: (request: ScriptedRequest) => string): (request: ScriptedRequest) => void {
  const earlier = new Map<number, string>()
  return (request) => {
    const double = earlier.get(request.connection) ?? ''
    const own = answer(request)
    earlier.set(request.connection, double + own)
    request.socket.write(double + own)
  }
}

function ownAnswer ({ headers, number, path }: ScriptedRequest): string {
  const id = headers['x-id']
  if (path === '/hold') return answerOf({ body: `hold-${number}` })
  if (path === '/order') return answerOf({ status: number === 1 ? 200 : 202 })
  if (path === '/report') return answerOf({ body: String(number) })
  return answerOf({ id, isSigned: true, body: `answer to ${id}` })
}

const inTurn = async (steps: ReadonlyArray<() => unknown>): Promise<void> => {
  for (const step of steps) {
    await step()
    await sleep(IDLE_MS)
  }
}

const order = ({ carryOut, replica }: ReplicaScene): void => carryOut({ type: 'order_stage', replicaId: 'i-1', address: replica.address, stage: 'prefill', fence: 1 })

test('a hold is not the hold of another request', async () => {
  await beforeReplica(withDoubles(ownAnswer), async ({ hold }) => {
    assert.equal((await hold('a')).outcome, { type: 'held', holdId: 'hold-1' })
    await sleep(IDLE_MS)
    assert.equal((await hold('b')).outcome, { type: 'held', holdId: 'hold-2' })
  })
})

test('a hold is not refused by the answer to a prefill', async () => {
  const answer = (request: ScriptedRequest): string => request.path === '/hold' ? ownAnswer(request) : answerOf({ id: request.headers['x-id'], status: 503, isNotRun: true })
  await beforeReplica(withDoubles(answer), async ({ hold, prefill }) => {
    await prefill('a')
    await sleep(IDLE_MS)
    assert.equal((await hold('b')).outcome, { type: 'held', holdId: 'hold-2' })
  })
})

for (const [what, unanswered, effectOf] of [
  ['a hold that is given back', 'a hold that is given back and is never answered keeps no connection', ({ address }: ReplicaScene['replica']) => ({ type: 'drop_hold', address, holdId: 'h' })],
  ['a handle that is freed', 'a handle that is freed and is never answered keeps no connection', ({ address }: ReplicaScene['replica']) => ({ type: 'free_handle', address, handle: 'h' })]
] as const) {
  test(`${what} disturbs no run behind it`, async () => {
    await beforeReplica(withDoubles(ownAnswer), async ({ carryOut, delivered, replica, run }) => {
      await inTurn([() => carryOut(effectOf(replica) as Parameters<typeof carryOut>[0]), () => run('a')])
      assert.is(delivered.get('a')?.body.toString(), 'answer to a')
    })
  })

  test(unanswered, async () => {
    await beforeReplica(() => {}, async ({ carryOut, replica }) => {
      carryOut(effectOf(replica) as Parameters<typeof carryOut>[0])
      await sleep(IDLE_MS)
      assert.is(replica.open(), 1)
      await sleep(1_200)
      assert.is(replica.open(), 0)
    })
  })
}

test('calls of the router itself leave no connection behind', async () => {
  await beforeReplica(withDoubles(ownAnswer), async (scene) => {
    await inTurn([() => scene.hold('a'), () => scene.carryOut({ type: 'drop_hold', address: scene.replica.address, holdId: 'h' }), () => scene.carryOut({ type: 'free_handle', address: scene.replica.address, handle: 'h' })])
    assert.is(scene.replica.connections(), 3)
    assert.is(scene.replica.open(), 0)
  })
})

test('an order does not take the answer to an earlier one', async () => {
  await beforeReplica(withDoubles(ownAnswer), async (scene) => {
    const port = { get: () => new Promise(() => {}), grantLease: () => new Promise(() => {}) } as unknown as KeyValuePort
    const close = registerPools({ loop: scene.loop, port, dialect: SCRIPTED_DIALECT, logger: SILENT, instanceId: 'e-1', poolOf: scene.pools.get, hasLimit: () => false })
    order(scene)
    await scene.next('order_answered', () => true)
    await sleep(IDLE_MS)
    order(scene)
    await sleep(IDLE_MS)
    assert.equal(scene.events.filter(({ type }) => type === 'order_answered').map((event) => (event as { readonly outcome?: string }).outcome), ['holds_already', 'accepted'])
    await close()
  })
})

interface ReportScene {
  readonly connections: () => number
  /** Reports that were told of one by one, with the time from the question to the request that was answered. */
  readonly told: ReadonlyArray<{ readonly usedTokens: number, readonly arrivedAfterMs: number }>
}

/** Follows a replica for half a dozen reports. */
async function followReplica (answer: (request: ScriptedRequest) => string, confirms: readonly object[] = [], isTwice = true): Promise<ReportScene> {
  const clock = createSystemClock()
  const arrivedAtMs = new Map<number, number>()
  const told: Array<ReportScene['told'][number]> = []
  const send = isTwice ? withDoubles(answer) : (request: ScriptedRequest): void => { request.socket.write(answer(request)) }
  const replica = await startScriptedReplica((request) => {
    arrivedAtMs.set(request.number, clock.nowMs())
    send(request)
  })
  const loop = createUpdateLoop<LedgerEvent, LedgerEffect>((event) => {
    if (event.type !== 'report_read') return []
    const { usedTokens } = event.report
    told.push({ usedTokens, arrivedAfterMs: (arrivedAtMs.get(usedTokens) ?? 0) - event.askedAtMs })
    return []
  }, clock)
  const bookings = new Map(confirms.map((confirm, index) => [String(index), { confirm }]))
  const state = { bookings, waiting: [], lastRuns: new Map() } as unknown as LedgerState
  const reports = startReportPolling({ replicaAddress: replica.address, dialect: SCRIPTED_DIALECT, clock, logger: SILENT, loop, state: () => state })
  for (let i = 0; i < 6; i++) {
    await sleep(IDLE_MS)
    reports.wanted()
  }
  await sleep(IDLE_MS)
  await reports.close()
  replica.close()
  return { connections: replica.connections, told }
}

test('a report tells of no time before it was asked for', async () => {
  const { told } = await followReplica(ownAnswer)
  assert.ok(told.length >= 5)
  for (const { arrivedAfterMs, usedTokens } of told) assert.ok(arrivedAfterMs >= 0, `report ${usedTokens} is ${-arrivedAfterMs} ms older than its question`)
})

test('reports of an idle replica, which repeat, share a connection', async () => {
  const { connections, told } = await followReplica(() => answerOf({ body: '0' }), [], false)
  assert.ok(told.length >= 5)
  assert.is(connections(), 1)
})

test('no report that came before confirms memory', async () => {
  const { connections, told } = await followReplica(() => answerOf({ body: '0' }), [{ askedAtMs: 0, untilMs: Infinity }], false)
  assert.ok(told.length >= 5)
  assert.ok(connections() >= told.length)
})

test.run()
