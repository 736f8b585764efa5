/**
 * Executes the effect that checks whether a replica's process still accepts connections.
 *
 * @module
 */
import type { Teardown, UpdateLoop } from 'bendfall-node'
import type { RouterEffect, RouterEvent } from 'bendfall-router'
import type { ConnectionPool } from './BendfallEdgeConnections.js'

/** Dependencies of the checks. */
export interface ReplicaCheckOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  /** Returns the connection pool of a replica. */
  readonly poolOf: (address: string) => ConnectionPool
}

/**
 * Registers the effect `check_replica`.
 *
 * @param options - event loop and connection pools
 * @returns teardown
 */
export function registerReplicaChecks ({ loop, poolOf }: ReplicaCheckOptions): Teardown {
  return loop.registerEffect('check_replica', ({ address, replicaId, startedAtMs }) => {
    poolOf(address).check((outcome) => loop.dispatch({ type: 'replica_checked', replicaId, startedAtMs, outcome }))
  })
}
