/**
 * State of a process for operators.
 *
 * @module
 */
import { loadView, memberStateAt, ownPool, reconcileStatus } from 'bendfall-core'
import type { State } from 'bendfall-core'
import type { StatusResponse } from 'bendfall-protocol'

/** Status as it goes into an answer. */
export type Status = Omit<StatusResponse, '$typeName' | '$unknown' | 'sender'>

/** Progress of an entry, in the place of the orders of a sidecar. */
export interface EntryProgress {
  readonly configVersion: number
  /** Upstreams that the entry may send work to. */
  readonly liveUpstreams: number
}

/**
 * Reads the status of a process out of its state.
 *
 * @param state - state of the process
 * @param nowMs - monotonic time
 * @param startedAtMs - monotonic time of the start
 * @returns the status
 */
export function readStatus (state: State, nowMs: number, startedAtMs: number): Status {
  const { self, stopping } = state
  const shared = {
    role: self.role,
    availabilityZone: self.availabilityZone,
    pool: ownPool(state),
    state: stopping ? 'leaving' : 'live',
    uptimeMs: nowMs - startedAtMs
  }
  return self.role === 'entry' ? { ...shared, ...readEntry(state, nowMs) } : { ...shared, ...readSidecar(state, nowMs) }
}

function readEntry ({ config, entry, members }: State, nowMs: number) {
  const upstreams = members.filter((member) => member.record.kind === 'upstream' && memberStateAt(member, nowMs) === 'live')
  const progress: EntryProgress = { configVersion: config?.version ?? 0, liveUpstreams: upstreams.size }
  const activeRequests = (entry?.requests.size ?? 0) + (entry?.calls.pending.size ?? 0)
  return { activeRequests, heldKvBytes: 0, reconcileJson: JSON.stringify(progress) }
}

function readSidecar (state: State, nowMs: number) {
  const { activeRequests, freeKvBytes, totalKvBytes } = loadView(state, nowMs)
  return { activeRequests, heldKvBytes: totalKvBytes - freeKvBytes, reconcileJson: JSON.stringify(reconcileStatus(state)) }
}
