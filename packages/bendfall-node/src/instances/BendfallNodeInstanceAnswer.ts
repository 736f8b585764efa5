/**
 * The instance list on its way between processes.
 *
 * @module
 */
import type { InstanceChange, InstanceRecord } from 'bendfall-core'

/** What a process hands over; empty texts say nothing. */
export interface InstanceAnswer {
  /** Revision of the sender's list; empty while it has none. */
  readonly revision: string
  /** Age of the reading that the sender's list rests on. */
  readonly ageMs: number
  /** The whole list. */
  readonly listJson: string
  /** What changed since the asker's revision. */
  readonly changeJson: string
}

/** A change with the revision that it starts from. */
export interface BasedChange {
  readonly base: string
  readonly change: InstanceChange
}

/**
 * Writes a change.
 *
 * @param base - revision that it starts from
 * @param change - the change
 * @returns JSON
 */
export function writeChange (base: string, change: InstanceChange): string {
  const based: BasedChange = { base, change }
  return JSON.stringify(based)
}

/**
 * Reads what {@link writeChange} wrote.
 *
 * @param text - JSON of another process
 * @returns the change
 */
export function readChange (text: string): BasedChange {
  return JSON.parse(text) as BasedChange
}

/**
 * Writes a list.
 *
 * @param instances - the list
 * @returns JSON
 */
export function writeInstances (instances: readonly InstanceRecord[]): string {
  return JSON.stringify(instances)
}

/**
 * Reads what {@link writeInstances} wrote.
 *
 * @param text - JSON of another process
 * @returns the list
 */
export function readInstances (text: string): readonly InstanceRecord[] {
  return JSON.parse(text) as readonly InstanceRecord[]
}
