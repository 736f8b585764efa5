/**
 * Drives the balance of pools: the election, its ticks and the orders.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { OrderOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { ConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { tellOwnNotice } from '../replica/BendfallEdgeNotices.js'
import { startOwnCall } from '../replica/BendfallEdgeOwnCall.js'
import { joinElection } from './BendfallEdgeHolderLease.js'

/** Key of the process that orders stage changes. */
const POOLS_KEY = 'bendfall/pools/holder'

/** Between two ticks. */
const TICK_MS = 500

/** An order that isn't answered within this may still be carried out. */
const ORDER_TIMEOUT_MS = 1_000

/** What the balance needs. */
export interface PoolsOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly dialect: ReplicaDialect
  readonly logger: Logger
  readonly instanceId: string
  readonly poolOf: (address: string) => ConnectionPool
  /** @returns whether a replica names a limit */
  readonly hasLimit: (replicaId: string) => boolean
}

/**
 * Starts the balance.
 *
 * @param options - update path, service and replicas
 * @returns teardown
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
    if (outcome === 'fenced') election.giveUp()
    loop.dispatch({ type: 'order_answered', replicaId, outcome })
  }

  function sendOrder ({ address, fence, replicaId, stage }: RouterEffectOf<'order_stage'>): void {
    const sentAtMs = loop.clock.nowMs()
    const request = dialect.stageOrder({ replicaId, stage, fence, holder: instanceId })
    startOwnCall(poolOf(address), request, { clock: loop.clock, timeoutMs: ORDER_TIMEOUT_MS }, (answer) => {
      if (answer.type === 'answered') tellOwnNotice(options, { replicaId, sentAtMs }, answer)
      handleOutcome(replicaId, answer.type === 'answered' ? dialect.readOrderStatus(answer.status) : answer.isSent ? 'unknown' : 'refused')
    })
  }

  tick()
  return combineTeardowns([election.close, () => cancelTick(), loop.registerEffect('order_stage', sendOrder)])
}
