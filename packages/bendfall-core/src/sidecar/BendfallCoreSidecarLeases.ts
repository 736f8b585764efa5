/**
 * Leases of reservations. One for which the entry has a stream open, since it
 * waits for a grant or for output, has the lease of the entry's connection. One
 * that was granted and does not decode yet needs a second one, renewed by name:
 * no stream tells of an answer or of a cancel that was lost.
 *
 * The memory of a request whose entry is gone is held for at most
 * {@link LEASE_MS} plus the time until the engine confirms the cancel.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { RequestId } from '../BendfallCoreTypes.js'
import { abandonReservation, failStream } from './BendfallCoreSidecarRelease.js'
import type { Reservation, SidecarState } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Time after which a lease lapses that neither heartbeat nor renewal prolonged. */
export const LEASE_MS = 10_000

/**
 * Starts the lease of a new reservation.
 *
 * @param update - working copy
 * @param requestId - the request
 */
export function startLease (update: SidecarUpdate, requestId: RequestId): void {
  setTimer(update, 'decode_lease', requestId, update.atMs + LEASE_MS)
}

/**
 * Tells whether a request has a reservation here, for the answer to a renewal.
 *
 * @param state - state of the process
 * @param requestId - the request
 * @returns true while its lease runs
 */
export function holdsRequest (state: State, requestId: RequestId): boolean {
  return state.sidecar?.reservations.has(requestId) ?? false
}

/**
 * Tells whether the entry has a stream open for a reservation.
 *
 * @param reservation - the reservation
 * @returns true until it is granted, and once the decode was asked for
 */
export function hasOpenStream ({ isGranted, decodeAsk }: Reservation): boolean {
  return !isGranted || decodeAsk !== undefined
}

function leaseEndMs ({ entries }: SidecarState, reservation: Reservation): number {
  const entry = entries.get(reservation.ask.entryIncarnation)
  if (entry === undefined) return reservation.leaseUntilMs
  return hasOpenStream(reservation) ? entry.leaseUntilMs : Math.min(entry.leaseUntilMs, reservation.leaseUntilMs)
}

/** Renews leases; the timers stay and find out when they fire. */
export const leasesRenewed: SidecarHandler<'leases_renewed'> = (update, { entryId, requestIds }) => {
  const leaseUntilMs = update.atMs + LEASE_MS
  const reservations = update.sidecar.reservations.withMutations((draft) => {
    for (const requestId of requestIds) {
      const reservation = draft.get(requestId)
      if (reservation?.ask.entryId === entryId) draft.set(requestId, { ...reservation, leaseUntilMs })
    }
  })
  patchSidecar(update, { reservations })
}

/** A lease timer fired: the lease was renewed meanwhile, or it lapses. */
export const leaseTimerFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind !== 'decode_lease') return
  const reservation = update.sidecar.reservations.get(timer.id)
  if (reservation === undefined) return
  const untilMs = leaseEndMs(update.sidecar, reservation)
  if (untilMs > update.atMs) return setTimer(update, 'decode_lease', timer.id, untilMs)
  lapse(update, reservation)
}

/**
 * Ends a reservation whose lease is over.
 *
 * @param update - working copy
 * @param reservation - the live reservation
 */
export function lapse (update: SidecarUpdate, reservation: Reservation): void {
  const { requestId, attempt } = reservation.ask
  record(update, requestId, 'lease_lapsed', { attempt, phase: reservation.phase })
  failStream(update, reservation, 'lease_lapsed', false)
  abandonReservation(update, reservation, 'lease_lapsed')
}
