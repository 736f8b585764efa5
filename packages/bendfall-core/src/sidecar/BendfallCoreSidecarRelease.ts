/**
 * Ends of reservations: memory goes back at once where the engine has no part
 * in it or has said that it freed it, and else stays counted until it has.
 *
 * @module
 */
import type { RefusalReason } from '../BendfallCoreTypes.js'
import { rememberEnded } from './BendfallCoreSidecarEnded.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { giveBackBytes } from './BendfallCoreSidecarMemory.js'
import { dequeue } from './BendfallCoreSidecarQueue.js'
import type { Releasing, Reservation } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { clearTimer, countOne, emit, patchSidecar, record } from './BendfallCoreSidecarUpdate.js'

/** Why a reservation ends before its output does. */
export type ReleaseCause = 'cancelled' | 'lease_lapsed' | 'replaced' | 'failed' | 'drained' | 'late'

/**
 * Ends a reservation whose engine work is over, or that had none.
 *
 * @param update - working copy
 * @param reservation - the live reservation
 */
export function freeReservation (update: SidecarUpdate, reservation: Reservation): void {
  const { ask, heldAtMs } = reservation
  removeReservation(update, reservation)
  if (reservation.phase !== 'queued') giveBack(update, { ...ask, heldAtMs })
  record(update, ask.requestId, 'reservation_released', { attempt: ask.attempt, kvBytes: ask.kvBytes })
}

/**
 * Ends a reservation early. What the engine has begun is cancelled there.
 *
 * @param update - working copy
 * @param reservation - the live reservation
 * @param cause - for time line and metrics
 */
export function abandonReservation (update: SidecarUpdate, reservation: Reservation, cause: ReleaseCause): void {
  const { requestId, attempt } = reservation.ask
  countOne(update, 'reservation_abandoned', { cause })
  record(update, requestId, 'reservation_abandoned', { attempt, cause, phase: reservation.phase })
  if (!reservation.isGranted) refuseUngranted(update, reservation, cause)
  if (isAtEngine(reservation)) cancelAtEngine(update, reservation)
  else freeReservation(update, reservation)
}

/**
 * Ends the stream of a decode, if the entry opened one, with a failure.
 *
 * @param update - working copy
 * @param reservation - the reservation
 * @param reason - told to the entry
 * @param kvLost - whether the KV cache has to be computed again
 */
export function failStream (update: SidecarUpdate, reservation: Reservation, reason: RefusalReason, kvLost: boolean): void {
  if (reservation.decodeAsk === undefined) return
  const { requestId, attempt } = reservation.ask
  emit(update, { type: 'relay_end', requestId, attempt, end: { type: 'failed', reason, kvLost } })
  record(update, requestId, 'decode_failed', { attempt, reason, phase: reservation.phase })
}

/**
 * Tells whether the engine was given work of a reservation.
 *
 * @param reservation - the reservation
 * @returns true from the start of the import on
 */
export function isAtEngine ({ phase }: Reservation): boolean {
  return phase === 'importing' || phase === 'decoding'
}

const REASON_BY_CAUSE: Readonly<Record<ReleaseCause, RefusalReason>> = {
  cancelled: 'caller_left',
  drained: 'draining',
  failed: 'capacity',
  late: 'capacity',
  lease_lapsed: 'lease_lapsed',
  replaced: 'lease_lapsed'
}

/** When to come back after a reservation that was not granted in time. */
const RETRY_AFTER_MS = 1_000

function refuseUngranted (update: SidecarUpdate, { ask }: Reservation, cause: ReleaseCause): void {
  const { requestId, attempt } = ask
  const reason = REASON_BY_CAUSE[cause]
  emit(update, { type: 'reply_reserve', requestId, attempt, reply: { type: 'refused', reason, retryAfterMs: RETRY_AFTER_MS, load: viewLoad(update) } })
}

function cancelAtEngine (update: SidecarUpdate, reservation: Reservation): void {
  const { requestId, attempt, trafficClass, kvBytes } = reservation.ask
  const releasing: Releasing = { requestId, attempt, trafficClass, kvBytes, heldAtMs: reservation.heldAtMs }
  removeReservation(update, reservation)
  patchSidecar(update, { releasing: update.sidecar.releasing.set(attemptKey(releasing), releasing) })
  emit(update, { type: 'engine_cancel', requestId, attempt })
}

function removeReservation (update: SidecarUpdate, { ask, phase }: Reservation): void {
  patchSidecar(update, { reservations: update.sidecar.reservations.delete(ask.requestId) })
  rememberEnded(update, ask, 'lease_lapsed')
  clearTimer(update, 'decode_lease', ask.requestId)
  if (phase === 'queued') dequeue(update, ask.trafficClass, ask.requestId)
  clearTimer(update, 'transfer_progress', ask.requestId)
}

/** The engine freed all that an attempt held. */
export function confirmReleased (update: SidecarUpdate, key: string): void {
  const releasing = update.sidecar.releasing.get(key)
  if (releasing === undefined) return
  patchSidecar(update, { releasing: update.sidecar.releasing.delete(key) })
  giveBack(update, releasing)
  record(update, releasing.requestId, 'reservation_released', { attempt: releasing.attempt, kvBytes: releasing.kvBytes })
}

function giveBack (update: SidecarUpdate, held: Pick<Releasing, 'trafficClass' | 'kvBytes' | 'heldAtMs'>): void {
  const heldForMs = update.atMs - held.heldAtMs
  giveBackBytes(update, held.trafficClass, held.kvBytes, heldForMs)
  emit(update, { type: 'measure', metric: 'decode_memory_held', valueMs: heldForMs, tags: { trafficClass: held.trafficClass } })
}
