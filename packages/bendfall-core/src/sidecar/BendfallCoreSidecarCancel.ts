/**
 * Cancels asked for by an entry, and the engine's answers to them.
 *
 * @module
 */
import type { RequestId } from '../BendfallCoreTypes.js'
import { dropWaiting } from './BendfallCoreSidecarCalls.js'
import { rememberEnded } from './BendfallCoreSidecarEnded.js'
import { cancelPrefill, dropWaitingPrefills, removePrefill } from './BendfallCoreSidecarPrefill.js'
import { abandonReservation, confirmReleased, failStream } from './BendfallCoreSidecarRelease.js'
import type { AttemptKey } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { emit, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Pause before a cancel that the engine did not confirm is sent again. */
export const CANCEL_RETRY_MS = 1_000

const CANCEL_TIMER_PREFIX = 'engine_cancel/'

/** The caller of an attempt left. A newer attempt of the request stays. */
export const cancelAsked: SidecarHandler<'cancel_asked'> = (update, { requestId, attempt }) => {
  rememberEnded(update, { requestId, attempt }, 'caller_left')
  cancelReservation(update, requestId, attempt)
  const prefill = update.sidecar.prefill.running.get(attemptKey({ requestId, attempt }))
  if (prefill !== undefined) cancelPrefill(update, prefill, 'caller_left')
  dropWaitingPrefills(update, 'caller_left', ({ ask }) => ask.requestId === requestId && ask.attempt <= attempt)
  dropWaiting(update, 'caller_left', ({ ask }) => ask.requestId === requestId && ask.attempt <= attempt)
}

function cancelReservation (update: SidecarUpdate, requestId: RequestId, attempt: number): void {
  const reservation = update.sidecar.reservations.get(requestId)
  if (reservation === undefined || reservation.ask.attempt > attempt) return
  failStream(update, reservation, 'caller_left', false)
  abandonReservation(update, reservation, 'cancelled')
}

/** Answer of the engine to a cancel. */
export const engineCancelled: SidecarHandler<'engine_cancelled'> = (update, event) => {
  const key = attemptKey(event)
  if (!isCancelling(update, key)) return
  if (!event.confirmed) return setTimer(update, 'retry', CANCEL_TIMER_PREFIX + key, update.atMs + CANCEL_RETRY_MS)
  confirmReleased(update, key)
  const prefill = update.sidecar.prefill.running.get(key)
  if (prefill !== undefined) removePrefill(update, prefill)
}

/** Sends a cancel again that the engine did not confirm. */
export const cancelRetryFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind !== 'retry' || !timer.id.startsWith(CANCEL_TIMER_PREFIX)) return
  const key = timer.id.slice(CANCEL_TIMER_PREFIX.length)
  if (!isCancelling(update, key)) return
  const { requestId, attempt } = update.sidecar.releasing.get(key) ?? update.sidecar.prefill.running.get(key)!.ask
  emit(update, { type: 'engine_cancel', requestId, attempt })
}

function isCancelling ({ sidecar }: SidecarUpdate, key: AttemptKey): boolean {
  return sidecar.releasing.has(key) || sidecar.prefill.running.get(key)?.isCancelled === true
}
