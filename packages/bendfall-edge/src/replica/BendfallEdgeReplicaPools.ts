/**
 * Connections to all replicas, by address.
 *
 * @module
 */
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { createConnectionPool } from './BendfallEdgeConnections.js'

/** Pools of all replicas. */
export interface ReplicaPools {
  readonly at: (address: string) => ConnectionPool
  /** Forgets replicas that are gone; what runs on their connections goes on. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void
  readonly destroyAll: () => void
}

/**
 * Makes pools, one a replica, as they are asked for.
 *
 * @param onConnect - called for each connection opened
 * @returns the pools
 */
export function createReplicaPools (onConnect: () => void): ReplicaPools {
  const pools = new Map<string, ConnectionPool>()
  return {
    at: (address) => {
      const known = pools.get(address)
      if (known !== undefined) return known
      const made = createConnectionPool(address, onConnect)
      pools.set(address, made)
      return made
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
