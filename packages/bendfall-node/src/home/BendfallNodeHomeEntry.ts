/**
 * What stands in the key-value service for each slot: `home/<pool>/<slot>`.
 *
 * @module
 */
import type { InstanceId, PoolName } from 'bendfall-core'
import type { KeyValueEntry } from 'bendfall-platform'

/** A process that may hold slots. */
export interface HolderIdentity {
  readonly holderId: InstanceId
  /** Differs at each start of the process. */
  readonly incarnation: string
  /** `ip:port` that the process has bound. */
  readonly address: string
}

/** The holder of a slot as the key-value service shows it. */
export interface HolderEntry extends HolderIdentity {
  readonly slot: number
  /** Epoch of the holder. */
  readonly revision: number
  readonly leaseId: string
}

/**
 * Names the common prefix of the keys of a pool.
 *
 * @param pool - the pool
 * @returns the prefix
 */
export function homePrefix (pool: PoolName): string {
  return `home/${pool}/`
}

/**
 * Names the key of a slot.
 *
 * @param pool - the pool
 * @param slot - the slot
 * @returns the key
 */
export function homeKey (pool: PoolName, slot: number): string {
  return `${homePrefix(pool)}${slot}`
}

/**
 * Reads the slot out of a key.
 *
 * @param key - key of a slot
 * @returns the slot; NaN for another key
 */
export function slotOfKey (key: string): number {
  return Number.parseInt(key.slice(key.lastIndexOf('/') + 1), 10)
}

/**
 * Writes the value of a slot.
 *
 * @param identity - the holder
 * @returns JSON
 */
export function writeHolder (identity: HolderIdentity): string {
  const { holderId, incarnation, address } = identity
  return JSON.stringify({ holderId, incarnation, address })
}

/**
 * Reads the holder of a slot.
 *
 * @param entry - the entry of the key-value service
 * @returns the holder; one without name when the value is not ours, so that the
 *   slot counts as taken until its lease lapses
 */
export function readHolder (entry: KeyValueEntry): HolderEntry {
  const { revision, leaseId } = entry
  return { ...parseIdentity(entry.value), slot: slotOfKey(entry.key), revision, leaseId }
}

function parseIdentity (value: string): HolderIdentity {
  try {
    const { holderId, incarnation, address } = JSON.parse(value) as Partial<HolderIdentity>
    return { holderId: String(holderId), incarnation: String(incarnation), address: String(address) }
  } catch {
    return { holderId: '', incarnation: '', address: '' }
  }
}
