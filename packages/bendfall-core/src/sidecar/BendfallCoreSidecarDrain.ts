/**
 * Drain: new work is refused at once, work in flight finishes within
 * `DRAIN_LIMIT_MS`, and a process that was asked to stop says that it may exit.
 *
 * @module
 */
import type { InstanceRecord } from '../BendfallCoreConfig.js'
import { abandonCalls } from './BendfallCoreSidecarCalls.js'
import { DRAIN_LIMIT_MS, isIdle } from './BendfallCoreSidecarIdle.js'
import { cancelPrefill, dropWaitingPrefills } from './BendfallCoreSidecarPrefill.js'
import { ORDER_TIMER, reconcile } from './BendfallCoreSidecarReconcile.js'
import { abandonReservation, failStream } from './BendfallCoreSidecarRelease.js'
import type { DrainStatus } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { clearTimer, emit, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

const STOP_TIMER = 'stop'

/** The process is to stop; a repeated ask changes nothing. */
export const stopAsked: SidecarHandler<'stop_asked'> = (update) => {
  update.stopping = true
  if (update.sidecar.drain.stopByMs > 0) return
  const stopByMs = update.atMs + DRAIN_LIMIT_MS
  patchDrain(update, { stopByMs })
  setTimer(update, 'drain_check', STOP_TIMER, stopByMs)
  record(update, update.self.instanceId, 'stop_started', { activeReservations: update.sidecar.reservations.size })
  reconcile(update)
}

/** The instance list may show this instance as leaving, and never takes it back. */
export const instancesListed: SidecarHandler<'instances_listed'> = (update, { instances }) => {
  findOwnLeaving(update, instances)
}

/** The same from a change of the list. */
export const instancesChanged: SidecarHandler<'instances_changed'> = (update, { changed }) => {
  findOwnLeaving(update, changed)
}

function findOwnLeaving (update: SidecarUpdate, instances: readonly InstanceRecord[]): void {
  if (update.sidecar.drain.isLeaving) return
  const own = instances.find(({ instanceId }) => instanceId === update.self.instanceId)
  if (own?.state !== 'leaving') return
  patchDrain(update, { isLeaving: true })
  record(update, update.self.instanceId, 'leaving_seen', {})
}

/** A drain reached its bound. */
export const drainTimerFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind !== 'drain_check') return
  if (timer.id === ORDER_TIMER && update.sidecar.order.phase === 'draining') abandonWork(update)
  if (timer.id === STOP_TIMER && isStopDue(update)) stopNow(update)
}

function isStopDue ({ sidecar, atMs }: SidecarUpdate): boolean {
  return sidecar.drain.stopByMs > 0 && sidecar.drain.stopByMs <= atMs
}

function stopNow (update: SidecarUpdate): void {
  abandonWork(update)
  sayStopped(update)
}

function abandonWork (update: SidecarUpdate): void {
  update.sidecar.reservations.forEach((reservation) => {
    failStream(update, reservation, 'draining', true)
    abandonReservation(update, reservation, 'drained')
  })
  update.sidecar.prefill.running.forEach((prefill) => cancelPrefill(update, prefill, 'draining'))
  dropWaitingPrefills(update, 'draining', () => true)
  abandonCalls(update)
}

/**
 * Says that the process may exit once nothing is left to finish.
 *
 * @param update - working copy
 */
export function endStop (update: SidecarUpdate): void {
  if (update.sidecar.drain.stopByMs > 0 && isIdle(update.sidecar)) sayStopped(update)
}

function sayStopped (update: SidecarUpdate): void {
  if (update.sidecar.drain.isStopped) return
  patchDrain(update, { isStopped: true })
  clearTimer(update, 'drain_check', STOP_TIMER)
  record(update, update.self.instanceId, 'stop_ended', {})
  emit(update, { type: 'stopped' })
}

function patchDrain (update: SidecarUpdate, patch: Partial<DrainStatus>): void {
  patchSidecar(update, { drain: { ...update.sidecar.drain, ...patch } })
}
