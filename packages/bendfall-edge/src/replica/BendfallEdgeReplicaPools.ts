/**
 * Connection pools of all replicas, by address.
 *
 * @module
 */
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { createConnectionPool } from './BendfallEdgeConnections.js'

/** Connection pools of all replicas. */
export interface ReplicaPools {
  /** Returns the pool of a replica; creates it on first use. */
  readonly get: (address: string) => ConnectionPool
  /** Removes the pools of other addresses; calls in progress on their connections continue. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void
  readonly destroyAll: () => void
}

/**
 * Creates a collection of pools, one per replica, which are opened on demand.
 *
 * @param onConnect - called for each opened connection
 * @param onRefused - called with the address of a replica at which nothing listens
 * @returns the pools
 */
export function createReplicaPools (onConnect: () => void, onRefused: (address: string) => void = () => {}): ReplicaPools {
  const pools = new Map<string, ConnectionPool>()
  return {
    get: (address) => {
      const existing = pools.get(address)
      if (existing !== undefined) return existing
      const created = createConnectionPool(address, onConnect, () => onRefused(address))
      pools.set(address, created)
      return created
    },
    keepOnly: (addresses) => {
      for (const [address, pool] of pools) {
        if (addresses.has(address)) continue
        pool.closeIdle()
        pools.delete(address)
      }
    },
    destroyAll: () => {
      for (const pool of pools.values()) pool.destroy()
      pools.clear()
    }
  }
}
