/**
 * Handlers of the sidecar role.
 *
 * @module
 */
import type { EventType } from '../BendfallCoreEvents.js'
import type { EventHandler, HandlerTable } from '../BendfallCoreReducer.js'
import { callAsked, callDeadlineFired, serviceReplied } from './BendfallCoreSidecarCalls.js'
import { cancelAsked, cancelRetryFired, engineCancelled } from './BendfallCoreSidecarCancel.js'
import { engineClearTried, isClearing } from './BendfallCoreSidecarClear.js'
import { decodeAsked, decodeEnded, importEnded, importProgressed, progressTimerFired, tokensMade } from './BendfallCoreSidecarDecode.js'
import { drainTimerFired, endStop, instancesChanged, instancesListed, stopAsked } from './BendfallCoreSidecarDrain.js'
import { entryConnected, entryHeartbeat, entryLost } from './BendfallCoreSidecarEntries.js'
import { grantWaiting } from './BendfallCoreSidecarGrants.js'
import { advanceQueue, reserveAsked } from './BendfallCoreSidecarLedger.js'
import { leasesRenewed, leaseTimerFired } from './BendfallCoreSidecarLeases.js'
import { correctMemory } from './BendfallCoreSidecarMemory.js'
import { advancePrefills, noteReportedRate, prefillAsked, prefillEnded } from './BendfallCoreSidecarPrefill.js'
import { endOrderDrain, orderEnded, reconcile, reconcileTimerFired } from './BendfallCoreSidecarReconcile.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { sidecarHandler } from './BendfallCoreSidecarUpdate.js'

/** What any event may have made possible: start waiting work, order, exit. */
function followUp (update: SidecarUpdate): void {
  advanceQueue(update)
  grantWaiting(update)
  advancePrefills(update)
  endOrderDrain(update)
  endStop(update)
}

const engineReported: SidecarHandler<'engine_reported'> = (update, event) => {
  if (isClearing(update)) return
  correctMemory(update, event.report)
  noteReportedRate(update, event)
}

function handle<T extends EventType> (...handlers: ReadonlyArray<SidecarHandler<T>>): EventHandler<T> {
  return sidecarHandler<T>(...handlers, followUp)
}

/** Handlers of the sidecar role; those of the configuration come before them. */
export const sidecarHandlers: HandlerTable = {
  call_asked: handle(callAsked),
  cancel_asked: handle(cancelAsked),
  config_learned: handle(reconcile),
  decode_asked: handle(decodeAsked),
  engine_cancelled: handle(engineCancelled),
  engine_clear_tried: handle(engineClearTried, reconcile),
  engine_decode_ended: handle(decodeEnded),
  engine_import_ended: handle(importEnded),
  engine_import_progressed: handle(importProgressed),
  engine_order_ended: handle(orderEnded),
  engine_prefill_ended: handle(prefillEnded),
  engine_reported: handle(engineReported),
  engine_tokens: handle(tokensMade),
  entry_connected: handle(entryConnected),
  entry_heartbeat: handle(entryHeartbeat),
  entry_lost: handle(entryLost),
  instances_changed: handle(instancesChanged),
  instances_listed: handle(instancesListed),
  leases_renewed: handle(leasesRenewed),
  prefill_asked: handle(prefillAsked),
  reserve_asked: handle(reserveAsked),
  service_replied: handle(serviceReplied),
  stop_asked: handle(stopAsked),
  timer_fired: handle(callDeadlineFired, cancelRetryFired, drainTimerFired, leaseTimerFired, progressTimerFired, reconcileTimerFired)
}
