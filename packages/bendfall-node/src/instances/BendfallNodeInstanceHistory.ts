/**
 * The last changes of the instance list, to hand over what changed instead of
 * the whole list.
 *
 * @module
 */
import type { InstanceChange, InstanceId, InstanceRecord } from 'bendfall-core'

/** Changes kept; a reading a second leads to at most one. */
const KEPT_CHANGES = 128

/** Changes of the list by the revision they start from. */
export interface InstanceHistory {
  /**
   * @param baseRevision - revision before the change
   * @param change - the change
   */
  readonly add: (baseRevision: string, change: InstanceChange) => void
  /**
   * @param revision - a revision that the list had
   * @returns what changed since; nothing when the revision is not kept
   */
  readonly since: (revision: string) => InstanceChange | undefined
}

interface KeptChange {
  readonly baseRevision: string
  readonly change: InstanceChange
}

/**
 * Makes an empty history.
 *
 * @returns the history
 */
export function createInstanceHistory (): InstanceHistory {
  const kept: KeptChange[] = []
  return {
    add: (baseRevision, change) => {
      kept.push({ baseRevision, change })
      if (kept.length > KEPT_CHANGES) kept.shift()
    },
    since: (revision) => {
      // A list may have come back to an earlier content.
      const first = kept.findLastIndex(({ baseRevision }) => baseRevision === revision)
      return first === -1 ? undefined : mergeChanges(kept.slice(first))
    }
  }
}

function mergeChanges (kept: readonly KeptChange[]): InstanceChange {
  const changed = new Map<InstanceId, InstanceRecord>()
  const removed = new Set<InstanceId>()
  for (const { change } of kept) {
    for (const instanceId of change.removed) {
      changed.delete(instanceId)
      removed.add(instanceId)
    }
    for (const record of change.changed) {
      removed.delete(record.instanceId)
      changed.set(record.instanceId, record)
    }
  }
  return { changed: [...changed.values()], removed: [...removed] }
}
