/**
 * Runs the balancing of prefill and decode pools: joins the election of the process that orders
 * stage changes, triggers the balancing periodically and sends the orders to replicas.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { OrderOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { ConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { dispatchControlNotice } from '../replica/BendfallEdgeNotices.js'
import { startControlCall } from '../replica/BendfallEdgeControlCall.js'
import { joinElection } from './BendfallEdgeLeaderElection.js'

/** Key held by the leader that orders stage changes. */
const POOLS_KEY = 'bendfall/pools/holder'

/** Interval between balancing runs. */
const TICK_MS = 500

/** Timeout of an order; the replica may still carry out an order that timed out. */
const ORDER_TIMEOUT_MS = 1_000

/** Options of the pool balancing. */
export interface PoolsOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly dialect: ReplicaDialect
  readonly logger: Logger
  readonly instanceId: string
  readonly poolOf: (address: string) => ConnectionPool
  /** @returns whether a replica advertises a request rate limit */
  readonly hasLimit: (replicaId: string) => boolean
}

/**
 * Starts the pool balancing.
 *
 * @param options - update loop, key-value service and access to replicas
 * @returns teardown that stops balancing and leaves the election
 */
export function registerPools (options: PoolsOptions): Teardown {
  const { dialect, instanceId, logger, loop, poolOf, port } = options
  const election = joinElection({ port, clock: loop.clock, logger, key: POOLS_KEY, holder: instanceId })
  let cancelTick: Teardown = () => {}

  function tick (): void {
    loop.dispatch({ type: 'balance_due', fence: election.fence() })
    cancelTick = loop.clock.callAt(loop.clock.nowMs() + TICK_MS, tick)
  }

  function handleOutcome (replicaId: string, outcome: OrderOutcome): void {
    if (outcome === 'fenced') election.stepDown()
    loop.dispatch({ type: 'order_answered', replicaId, outcome })
  }

  function sendOrder ({ address, fence, replicaId, stage }: RouterEffectOf<'order_stage'>): void {
    const sentAtMs = loop.clock.nowMs()
    const request = dialect.stageOrder({ replicaId, stage, fence, holder: instanceId })
    startControlCall(poolOf(address), request, { clock: loop.clock, timeoutMs: ORDER_TIMEOUT_MS }, (answer) => {
      if (answer.type === 'answered') dispatchControlNotice(options, { replicaId, sentAtMs, isFormerProcess: answer.isFormerProcess }, answer)
      handleOutcome(replicaId, answer.type === 'answered' ? dialect.readOrderStatus(answer.status) : answer.isSent ? 'unknown' : 'refused')
    })
  }

  tick()
  return combineTeardowns([election.close, () => cancelTick(), loop.registerEffect('order_stage', sendOrder)])
}
