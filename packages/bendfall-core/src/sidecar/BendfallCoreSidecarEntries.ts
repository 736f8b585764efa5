/**
 * Connections of entries. A connection with heartbeats is the lease of the
 * requests that have a stream on it; its end is their end.
 *
 * @module
 */
import { hasOpenStream, lapse, LEASE_MS } from './BendfallCoreSidecarLeases.js'
import type { EntryLease, Reservation } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchSidecar, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Time in which an entry can connect again and name its reservations. */
export const RECONNECT_MS = 1_000

/** An entry opened a connection. */
export const entryConnected: SidecarHandler<'entry_connected'> = (update, { connectionId, entryIncarnation }) => {
  const others = connectionsOf(update, entryIncarnation).filter((id) => id !== connectionId)
  putEntry(update, entryIncarnation, { connectionIds: [...others, connectionId], leaseUntilMs: update.atMs + LEASE_MS })
}

/** An entry lives; a heartbeat of a connection that closed proves nothing. */
export const entryHeartbeat: SidecarHandler<'entry_heartbeat'> = (update, { connectionId, entryIncarnation }) => {
  const connectionIds = connectionsOf(update, entryIncarnation)
  if (!connectionIds.includes(connectionId)) return
  putEntry(update, entryIncarnation, { connectionIds, leaseUntilMs: update.atMs + LEASE_MS })
}

/**
 * Takes an ask as a sign of life of an entry that had no cause for heartbeats.
 *
 * @param update - working copy
 * @param entryIncarnation - the entry; without effect unless it is connected
 */
export function noteAskOf (update: SidecarUpdate, entryIncarnation: string): void {
  const connectionIds = connectionsOf(update, entryIncarnation)
  if (connectionIds.length > 0) putEntry(update, entryIncarnation, { connectionIds, leaseUntilMs: update.atMs + LEASE_MS })
}

/** A connection closed. With the last one go all streams of the entry. */
export const entryLost: SidecarHandler<'entry_lost'> = (update, { connectionId, entryIncarnation }) => {
  const entry = update.sidecar.entries.get(entryIncarnation)
  if (entry === undefined) return
  const connectionIds = entry.connectionIds.filter((id) => id !== connectionId)
  if (connectionIds.length > 0) return putEntry(update, entryIncarnation, { ...entry, connectionIds })
  patchSidecar(update, { entries: update.sidecar.entries.delete(entryIncarnation) })
  for (const reservation of update.sidecar.reservations.values()) {
    if (reservation.ask.entryIncarnation === entryIncarnation) disconnect(update, reservation)
  }
}

function disconnect (update: SidecarUpdate, reservation: Reservation): void {
  if (hasOpenStream(reservation)) return lapse(update, reservation)
  const { requestId } = reservation.ask
  const leaseUntilMs = Math.min(reservation.leaseUntilMs, update.atMs + RECONNECT_MS)
  patchSidecar(update, { reservations: update.sidecar.reservations.set(requestId, { ...reservation, leaseUntilMs }) })
  setTimer(update, 'decode_lease', requestId, leaseUntilMs)
}

function connectionsOf ({ sidecar }: SidecarUpdate, entryIncarnation: string): readonly string[] {
  return sidecar.entries.get(entryIncarnation)?.connectionIds ?? []
}

function putEntry (update: SidecarUpdate, entryIncarnation: string, entry: EntryLease): void {
  patchSidecar(update, { entries: update.sidecar.entries.set(entryIncarnation, entry) })
}
