/**
 * When a reservation is granted: once its memory is held, or as soon as the
 * memory is expected to be free by the time the KV cache can be there. An
 * answer given earlier would rest on a longer forecast, and a prefill started
 * on it too early is evicted before its turn.
 *
 * @module
 */
import type { ReserveAsk } from '../BendfallCoreMessages.js'
import type { TrafficClass } from '../BendfallCoreTypes.js'
import { forecastReadyMs } from './BendfallCoreSidecarForecast.js'
import { LEASE_MS } from './BendfallCoreSidecarLeases.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { findPlace } from './BendfallCoreSidecarQueue.js'
import { abandonReservation } from './BendfallCoreSidecarRelease.js'
import { isDraining } from './BendfallCoreSidecarServing.js'
import { GRANT_PAUSE_MS } from './BendfallCoreSidecarState.js'
import type { QueueEntry, Reservation } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { countOne, emit, patchMemory, patchSidecar, record } from './BendfallCoreSidecarUpdate.js'

/** Part of the time to make and move the KV cache that a grant may precede the memory by. */
const LEAD_SHARE = 0.5

/**
 * Grants a reservation.
 *
 * @param update - working copy
 * @param reservation - the reservation
 * @param readyInMs - time until its memory is free
 */
export function grantReservation (update: SidecarUpdate, reservation: Reservation, readyInMs: number): void {
  const { ask, fencingToken } = reservation
  const { requestId, attempt, kvBytes, trafficClass } = ask
  // Without a connection nothing but this lease tells that the entry lives.
  const isConnected = update.sidecar.entries.has(ask.entryIncarnation)
  const leaseUntilMs = isConnected ? update.atMs + LEASE_MS : reservation.leaseUntilMs
  patchSidecar(update, { reservations: update.sidecar.reservations.set(requestId, { ...reservation, isGranted: true, leaseUntilMs }) })
  emit(update, { type: 'reply_reserve', requestId, attempt, reply: { type: 'granted', readyInMs, leaseMs: LEASE_MS, fencingToken, load: viewLoad(update) } })
  record(update, requestId, 'reservation_granted', { attempt, readyInMs, kvBytes, fencingToken })
  countOne(update, 'reservation_granted', { trafficClass })
}

/**
 * Grants the reservations whose time has come, first in the queue first. A
 * sidecar that drains refuses those that it did not grant.
 *
 * @param update - working copy
 */
export function grantWaiting (update: SidecarUpdate): void {
  const { queue, memory } = update.sidecar
  if (queue.interactive.length === 0 && queue.summary.length === 0) return
  if (isDraining(update)) return dropUngranted(update)
  if (update.atMs - memory.grantsSeenAtMs < GRANT_PAUSE_MS) return
  patchMemory(update, { grantsSeenAtMs: update.atMs })
  grantInOrder(update, 'interactive')
  grantInOrder(update, 'summary')
}

/**
 * Makes the next look at the waiting reservations come at once.
 *
 * @param update - working copy
 */
export function lookForGrants (update: SidecarUpdate): void {
  patchMemory(update, { grantsSeenAtMs: update.atMs - GRANT_PAUSE_MS })
}

function grantInOrder (update: SidecarUpdate, trafficClass: TrafficClass): void {
  for (const entry of update.sidecar.queue[trafficClass]) {
    const reservation = update.sidecar.reservations.get(entry.requestId)
    if (reservation === undefined || reservation.isGranted) continue
    const readyInMs = forecastEntry(update, reservation.ask, entry)
    if (readyInMs > reservation.ask.neededInMs * LEAD_SHARE) return
    grantReservation(update, reservation, readyInMs)
  }
}

function dropUngranted (update: SidecarUpdate): void {
  update.sidecar.reservations.forEach((reservation) => {
    if (!reservation.isGranted) abandonReservation(update, reservation, 'drained')
  })
}

/**
 * Gives up a reservation that was not granted in time.
 *
 * @param update - working copy
 * @param reservation - the reservation
 */
export function checkGranted (update: SidecarUpdate, reservation: Reservation): void {
  if (reservation.isGranted) return
  abandonReservation(update, reservation, 'late')
}

/**
 * Forecasts when a reservation has its memory.
 *
 * @param update - working copy
 * @param ask - the ask
 * @param entry - its entry in the queue, or as it would be there
 * @returns milliseconds
 */
export function forecastEntry (update: SidecarUpdate, ask: ReserveAsk, entry: QueueEntry): number {
  const { queue, memory } = update.sidecar
  return forecastReadyMs(update.sidecar, findPlace(queue, memory, ask.trafficClass, entry), update.atMs)
}

/**
 * Tells the wait of a reservation as of now.
 *
 * @param update - working copy
 * @param ask - the ask
 * @returns milliseconds; 0 once the memory is held
 */
export function readyInMsOf (update: SidecarUpdate, ask: ReserveAsk): number {
  const entry = update.sidecar.queue[ask.trafficClass].find(({ requestId }) => requestId === ask.requestId)
  return entry === undefined ? 0 : Math.min(ask.maxReadyInMs, forecastEntry(update, ask, entry))
}
