import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock, createUpdateLoop } from 'bendfall-node'
import type { Teardown, UpdateLoop } from 'bendfall-node'
import type { RouterEffect, RouterEffectOf, RouterEvent, RouterEventOf } from 'bendfall-router'
import type { Exchange, BufferedResponse } from '../../caller/BendfallEdgeExchange.js'
import { registerHolds } from '../../replica/BendfallEdgeHolds.js'
import { createReplicaPools } from '../../replica/BendfallEdgeReplicaPools.js'
import type { ReplicaPools } from '../../replica/BendfallEdgeReplicaPools.js'
import { registerSends } from '../../replica/BendfallEdgeSends.js'
import { SCRIPTED_DIALECT, startScriptedReplica } from './ScriptedReplica.js'
import type { ScriptedReplica, ScriptedRequest } from './ScriptedReplica.js'

const WAIT_MS = 2_000
const LOOK_MS = 5

/** Sends and holds of an entry before one replica. */
export interface ReplicaScene {
  readonly replica: ScriptedReplica
  readonly pools: ReplicaPools
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly events: readonly RouterEvent[]
  /** What was said about answers that are not what a replica should send. */
  readonly garbled: readonly string[]
  /** Answers that callers got, by id. */
  readonly delivered: ReadonlyMap<string, BufferedResponse>
  readonly prefill: (id: string, attempt?: number) => Promise<RouterEventOf<'prefill_answered'>>
  /** Runs a call; returns its end. */
  readonly run: (id: string, attempt?: number) => Promise<RouterEventOf<'answer_complete'> | RouterEventOf<'run_failed'>>
  readonly hold: (id: string) => Promise<RouterEventOf<'hold_answered'>>
  /** Carries out an effect. */
  readonly carryOut: (effect: RouterEffect) => void
  /** Waits for an event. */
  readonly next: <T extends RouterEvent['type']>(type: T, isIt: (event: RouterEventOf<T>) => boolean) => Promise<RouterEventOf<T>>
}

/**
 * Plays before a replica; all is closed whatever happens.
 *
 * @param answer - the replica's answer to each request
 * @param play - the test
 */
export async function beforeReplica (answer: (request: ScriptedRequest) => void, play: (scene: ReplicaScene) => Promise<void>): Promise<void> {
  const replica = await startScriptedReplica(answer)
  const pools = createReplicaPools(() => {})
  const events: RouterEvent[] = []
  const pending: RouterEffect[] = []
  const garbled: string[] = []
  const delivered = new Map<string, BufferedResponse>()
  const exchanges = new Map<string, Exchange>()
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => {
    events.push(event)
    return pending.splice(0)
  }, createSystemClock())
  const teardowns: Teardown[] = [
    registerSends({ loop, dialect: SCRIPTED_DIALECT, exchanges, poolOf: pools.get, hasLimit: () => false, onInvalidResponse: (_, detail) => garbled.push(detail), onCloseDelimitedResponse: () => {} }),
    registerHolds({ loop, dialect: SCRIPTED_DIALECT, poolOf: pools.get, hasLimit: () => false })
  ]

  const carryOut = (effect: RouterEffect): void => {
    pending.push(effect)
    loop.dispatch({ type: 'time_passed' })
  }
  const wait = async <T>(find: () => T | undefined): Promise<T> => {
    for (let waitedMs = 0; find() === undefined && waitedMs < WAIT_MS; waitedMs += LOOK_MS) await sleep(LOOK_MS)
    const found = find()
    if (found === undefined) throw new Error(`nothing came within ${WAIT_MS} ms`)
    return found
  }
  const find = <T extends RouterEvent['type']>(type: T, isIt: (event: RouterEventOf<T>) => boolean): RouterEventOf<T> | undefined =>
    (events.filter((event) => event.type === type) as Array<RouterEventOf<T>>).find(isIt)
  const next: ReplicaScene['next'] = (type, isIt) => wait(() => find(type, isIt))
  const base = (id: string, attempt: number): { readonly key: string, readonly attempt: number, readonly replicaId: string, readonly address: string, readonly deadlineMs: number } => {
    if (!exchanges.has(id)) exchanges.set(id, exchangeOf(id, delivered))
    return { key: id, attempt, replicaId: 'i-1', address: replica.address, deadlineMs: WAIT_MS }
  }
  const scene: ReplicaScene = {
    replica,
    pools,
    loop,
    events,
    garbled,
    delivered,
    carryOut,
    next,
    prefill: (id, attempt = 1) => {
      carryOut({ type: 'send_prefill', ...base(id, attempt), tryTimeoutMs: WAIT_MS })
      return next('prefill_answered', (event) => event.key === id && event.attempt === attempt)
    },
    run: async (id, attempt = 1) => {
      carryOut({ type: 'send_run', ...base(id, attempt), isStream: false })
      const isIt = (event: { readonly key: string, readonly attempt: number }): boolean => event.key === id && event.attempt === attempt
      const end = await wait(() => find('answer_complete', isIt) ?? find('run_failed', isIt))
      if (end.type === 'answer_complete') carryOut({ type: 'deliver', key: id } as RouterEffectOf<'deliver'>)
      return end
    },
    hold: (id) => {
      carryOut({ type: 'take_hold', key: id, attempt: 1, replicaId: 'i-1', address: replica.address, tokens: 100, ttlMs: WAIT_MS, timeoutMs: WAIT_MS })
      return next('hold_answered', ({ key }) => key === id)
    }
  }
  try {
    await play(scene)
  } finally {
    for (const teardown of teardowns) await teardown()
    pools.destroyAll()
    replica.close()
  }
}

function exchangeOf (id: string, delivered: Map<string, BufferedResponse>): Exchange {
  const exchange: Partial<Exchange> = {
    key: id,
    request: { method: 'GET', url: '/work' } as Exchange['request'],
    response: { headersSent: false } as Exchange['response'],
    caller: { requestId: id, forwardHeaders: ['X-Id', id] },
    body: Buffer.alloc(0),
    deliver: (answer) => { delivered.set(id, answer) },
    start: () => {},
    write: () => true,
    end: () => {},
    refuse: () => {},
    cut: () => {}
  }
  return exchange as Exchange
}
