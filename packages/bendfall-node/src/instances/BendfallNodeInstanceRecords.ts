/**
 * The instance list as records by id, with a revision that depends on nothing
 * but its content: two processes with the same records have the same revision,
 * whoever read them.
 *
 * @module
 */
import type { InstanceChange, InstanceId, InstanceRecord } from 'bendfall-core'
import { hashText } from 'bendfall-core'

/** Records by instance id with their revision. */
export interface InstanceRecords {
  readonly byId: ReadonlyMap<InstanceId, InstanceRecord>
  /** Digest of the content; never empty. */
  readonly revision: () => string
  /**
   * @param instances - another list
   * @returns what turns these records into that list
   */
  readonly diff: (instances: readonly InstanceRecord[]) => InstanceChange
  readonly apply: (change: InstanceChange) => void
}

const HEX = 16

/**
 * Makes an empty set of records.
 *
 * @returns the records
 */
export function createInstanceRecords (): InstanceRecords {
  const byId = new Map<InstanceId, InstanceRecord>()
  // Sums do not depend on the order of records and take changes one by one.
  let low = 0
  let high = 0

  function put (record: InstanceRecord): void {
    remove(record.instanceId)
    byId.set(record.instanceId, record)
    add(record, 1)
  }

  function remove (instanceId: InstanceId): void {
    const known = byId.get(instanceId)
    if (known === undefined) return
    byId.delete(instanceId)
    add(known, -1)
  }

  function add (record: InstanceRecord, sign: 1 | -1): void {
    const text = textOf(record)
    low = (low + sign * hashText(text)) >>> 0
    high = (high + sign * hashText(`~${text}`)) >>> 0
  }

  return {
    byId,
    revision: () => `${byId.size}-${high.toString(HEX)}-${low.toString(HEX)}`,
    diff: (instances) => {
      const listed = new Set(instances.map((record) => record.instanceId))
      return {
        changed: instances.filter((record) => !isSame(byId.get(record.instanceId), record)),
        removed: [...byId.keys()].filter((instanceId) => !listed.has(instanceId))
      }
    },
    apply: ({ changed, removed }) => {
      removed.forEach(remove)
      changed.forEach(put)
    }
  }
}

/**
 * Tells whether a change changes nothing.
 *
 * @param change - the change
 * @returns true for an empty change
 */
export function isEmptyChange ({ changed, removed }: InstanceChange): boolean {
  return changed.length === 0 && removed.length === 0
}

function isSame (before: InstanceRecord | undefined, after: InstanceRecord): boolean {
  if (before === undefined) return false
  return before.state === after.state && before.address === after.address && before.pool === after.pool &&
    before.availabilityZone === after.availabilityZone && before.kind === after.kind
}

function textOf ({ instanceId, availabilityZone, address, kind, pool, state }: InstanceRecord): string {
  return [instanceId, availabilityZone, address, kind, pool, state].join('\n')
}
