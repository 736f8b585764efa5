import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock, createUpdateLoop } from 'bendfall-node'
import type { Teardown, UpdateLoop } from 'bendfall-node'
import type { RouterEffect, RouterEffectOf, RouterEvent, RouterEventOf } from 'bendfall-router'
import type { Exchange, BufferedResponse } from '../../caller/BendfallEdgeExchange.js'
import { OPEN_GATE } from '../../caller/BendfallEdgeSendGate.js'
import type { SendGate } from '../../caller/BendfallEdgeSendGate.js'
import { registerHolds } from '../../replica/BendfallEdgeHolds.js'
import { createReplicaPools } from '../../replica/BendfallEdgeReplicaPools.js'
import type { ReplicaPools } from '../../replica/BendfallEdgeReplicaPools.js'
import { registerSends } from '../../replica/BendfallEdgeSends.js'
import { SCRIPTED_DIALECT, startScriptedReplica } from './ScriptedReplica.js'
import type { ScriptedReplica, ScriptedRequest } from './ScriptedReplica.js'

const WAIT_MS = 2_000
const POLL_MS = 5

/** The sends and holds of an entry, connected to one scripted replica. */
export interface ReplicaHarness {
  readonly replica: ScriptedReplica
  readonly pools: ReplicaPools
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly events: readonly RouterEvent[]
  /** Details reported for invalid responses of the replica. */
  readonly invalidResponses: readonly string[]
  /** Responses delivered to callers, by request id. */
  readonly delivered: ReadonlyMap<string, BufferedResponse>
  readonly prefill: (id: string, attempt?: number) => Promise<RouterEventOf<'prefill_answered'>>
  /** Sends a run and returns its terminal event. */
  readonly run: (id: string, attempt?: number) => Promise<RouterEventOf<'answer_complete'> | RouterEventOf<'run_failed'>>
  readonly hold: (id: string) => Promise<RouterEventOf<'hold_answered'>>
  /** Executes an effect. */
  readonly execute: (effect: RouterEffect) => void
  /** Waits for a matching event, including those already dispatched. */
  readonly waitForEvent: <T extends RouterEvent['type']>(type: T, matches: (event: RouterEventOf<T>) => boolean) => Promise<RouterEventOf<T>>
}

/**
 * Runs a test against a scripted replica, and closes the replica and all connections even if the
 * test fails.
 *
 * @param respond - called with each request; writes the response of the replica to the socket
 * @param runTest - test to run
 * @param gate - gate that the sends and holds pass
 */
export async function withReplicaHarness (respond: (request: ScriptedRequest) => void, runTest: (harness: ReplicaHarness) => Promise<void>, gate: SendGate = OPEN_GATE): Promise<void> {
  const replica = await startScriptedReplica(respond)
  const pools = createReplicaPools(() => {})
  const events: RouterEvent[] = []
  const pending: RouterEffect[] = []
  const invalidResponses: string[] = []
  const delivered = new Map<string, BufferedResponse>()
  const exchanges = new Map<string, Exchange>()
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => {
    events.push(event)
    return pending.splice(0)
  }, createSystemClock())
  const teardowns: Teardown[] = [
    registerSends({ loop, dialect: SCRIPTED_DIALECT, exchanges, poolOf: pools.get, hasLimit: () => false, isExiting: () => false, gate, onInvalidResponse: (_, detail) => invalidResponses.push(detail), onCloseDelimitedResponse: () => {} }),
    registerHolds({ loop, dialect: SCRIPTED_DIALECT, poolOf: pools.get, hasLimit: () => false, gate })
  ]

  const execute = (effect: RouterEffect): void => {
    pending.push(effect)
    loop.dispatch({ type: 'time_passed' })
  }
  const wait = async <T>(find: () => T | undefined): Promise<T> => {
    for (let waitedMs = 0; find() === undefined && waitedMs < WAIT_MS; waitedMs += POLL_MS) await sleep(POLL_MS)
    const found = find()
    if (found === undefined) throw new Error(`no matching event within ${WAIT_MS} ms`)
    return found
  }
  const find = <T extends RouterEvent['type']>(type: T, matches: (event: RouterEventOf<T>) => boolean): RouterEventOf<T> | undefined =>
    (events.filter((event) => event.type === type) as Array<RouterEventOf<T>>).find(matches)
  const waitForEvent: ReplicaHarness['waitForEvent'] = (type, matches) => wait(() => find(type, matches))
  const createTarget = (id: string, attempt: number): { readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number } => {
    if (!exchanges.has(id)) exchanges.set(id, createExchangeStub(id, delivered))
    return { key: id, attempt, replicaId: 'i-1', address: replica.address, deadlineMs: WAIT_MS }
  }
  const harness: ReplicaHarness = {
    replica,
    pools,
    loop,
    events,
    invalidResponses,
    delivered,
    execute,
    waitForEvent,
    prefill: (id, attempt = 1) => {
      execute({ type: 'send_prefill', ...createTarget(id, attempt), tryTimeoutMs: WAIT_MS })
      return waitForEvent('prefill_answered', (event) => event.key === id && event.attempt === attempt)
    },
    run: async (id, attempt = 1) => {
      execute({ type: 'send_run', ...createTarget(id, attempt), isStream: false })
      const matches = (event: { readonly key: string, readonly attempt: number }): boolean => event.key === id && event.attempt === attempt
      const end = await wait(() => find('answer_complete', matches) ?? find('run_failed', matches))
      if (end.type === 'answer_complete') execute({ type: 'deliver', key: id } as RouterEffectOf<'deliver'>)
      return end
    },
    hold: (id) => {
      execute({ type: 'take_hold', key: id, attempt: 1, replicaId: 'i-1', address: replica.address, tokens: 100, ttlMs: WAIT_MS, timeoutMs: WAIT_MS })
      return waitForEvent('hold_answered', ({ key }) => key === id)
    }
  }
  try {
    await runTest(harness)
  } finally {
    for (const teardown of teardowns) await teardown()
    pools.destroyAll()
    replica.close()
  }
}

function createExchangeStub (id: string, delivered: Map<string, BufferedResponse>): Exchange {
  const exchange: Partial<Exchange> = {
    key: id,
    request: { method: 'GET', url: '/work' } as Exchange['request'],
    response: { headersSent: false } as Exchange['response'],
    caller: { requestId: id, forwardHeaders: ['X-Id', id] },
    body: Buffer.alloc(0),
    deliver: (response) => { delivered.set(id, response) },
    start: () => {},
    write: () => true,
    end: () => {},
    refuse: () => {},
    cut: () => {}
  }
  return exchange as Exchange
}
