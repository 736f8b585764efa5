/**
 * What holds of the sidecar slice after every event; for tests.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { TrafficClass } from '../BendfallCoreTypes.js'
import { CALL_CONCURRENCY, CALL_QUEUE_LIMIT } from './BendfallCoreSidecarCalls.js'
import { heldBytes } from './BendfallCoreSidecarMemory.js'
import { getRecent } from './BendfallCoreSidecarRecent.js'
import type { QueueEntry, Reservation, SidecarState } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'

const CLASSES: readonly TrafficClass[] = ['interactive', 'summary']

/**
 * Checks the sidecar slice.
 *
 * @param state - state of the process
 * @returns what does not hold, empty when all is well
 */
export function checkSidecarInvariants (state: State): readonly string[] {
  const { sidecar } = state
  if (sidecar === undefined) return []
  return [
    ...checkMemory(sidecar),
    ...checkReservations(sidecar),
    ...checkEntries(sidecar),
    ...checkQueue(sidecar),
    ...checkPrefill(sidecar),
    ...checkCalls(sidecar),
    ...checkOrder(state, sidecar)
  ]
}

function unless (holds: boolean, finding: string): readonly string[] {
  return holds ? [] : [finding]
}

function checkMemory ({ memory, reservations, releasing }: SidecarState): readonly string[] {
  const held = heldBytes(memory)
  const parts = { interactive: 0, summary: 0 }
  reservations.forEach(({ ask, phase }) => { if (phase !== 'queued') parts[ask.trafficClass] += ask.kvBytes })
  releasing.forEach(({ trafficClass, kvBytes }) => { parts[trafficClass] += kvBytes })
  return [
    ...unless(held <= memory.totalKvBytes + memory.excessKvBytes, `held ${held} of ${memory.totalKvBytes} bytes`),
    ...unless(memory.foreignKvBytes >= 0 && memory.excessKvBytes >= 0, 'negative correction'),
    ...CLASSES.flatMap((trafficClass) => unless(parts[trafficClass] === memory.heldKvBytes[trafficClass], `sum of ${trafficClass} is ${parts[trafficClass]}, not ${memory.heldKvBytes[trafficClass]}`))
  ]
}

function checkReservations (sidecar: SidecarState): readonly string[] {
  return sidecar.reservations.toArray().flatMap(([requestId, reservation]) => [
    ...unless(reservation.ask.requestId === requestId, `${requestId} under a foreign key`),
    ...unless(Number.isFinite(reservation.leaseUntilMs), `${requestId} without lease`),
    ...unless(!sidecar.releasing.has(attemptKey(reservation.ask)), `${requestId} both live and releasing`),
    ...unless(!isEnded(sidecar, reservation), `${requestId} outlived its end`),
    ...unless(isPhaseWhole(reservation), `${requestId} in phase ${reservation.phase} without decode`)
  ])
}

function checkEntries ({ entries }: SidecarState): readonly string[] {
  return entries.toArray().flatMap(([incarnation, { connectionIds }]) => unless(connectionIds.length > 0, `entry ${incarnation} without connection`))
}

function isEnded ({ ended }: SidecarState, { ask }: Reservation): boolean {
  return ask.attempt <= (getRecent(ended, ask.requestId)?.attempt ?? -1)
}

function isPhaseWhole ({ phase, decodeAsk, heldAtMs }: Reservation): boolean {
  if (phase === 'queued') return heldAtMs === 0
  if (phase === 'held') return decodeAsk === undefined
  return decodeAsk !== undefined
}

function checkQueue ({ queue, reservations }: SidecarState): readonly string[] {
  const waiting = reservations.filter(({ phase }) => phase === 'queued').size
  const queued = queue.interactive.length + queue.summary.length
  return [
    ...unless(waiting === queued, `${waiting} reservations wait, ${queued} in the queue`),
    ...CLASSES.flatMap((trafficClass) => queue[trafficClass].flatMap((entry, index) => checkEntry(entry, queue[trafficClass][index - 1], trafficClass, reservations.get(entry.requestId))))
  ]
}

function checkEntry (entry: QueueEntry, before: QueueEntry | undefined, trafficClass: TrafficClass, reservation: Reservation | undefined): readonly string[] {
  return [
    ...unless(reservation?.phase === 'queued', `${entry.requestId} in the queue without waiting`),
    ...unless(reservation?.ask.trafficClass === trafficClass && reservation.ask.kvBytes === entry.kvBytes, `${entry.requestId} misfiled`),
    ...unless(before === undefined || before.deadlineAtMs <= entry.deadlineAtMs, `${entry.requestId} out of order`)
  ]
}

function checkPrefill ({ prefill }: SidecarState): readonly string[] {
  const parts = { interactive: 0, summary: 0 }
  prefill.running.forEach(({ ask }) => { parts[ask.trafficClass] += ask.expectedTokens })
  prefill.waiting.forEach(({ ask }) => { parts[ask.trafficClass] += ask.expectedTokens })
  return CLASSES.flatMap((trafficClass) => unless(parts[trafficClass] === prefill.queuedTokens[trafficClass], `${trafficClass} prefill tokens do not add up`))
}

function checkCalls ({ calls }: SidecarState): readonly string[] {
  const waiting = calls.waiting.interactive.length + calls.waiting.summary.length
  return [
    ...unless(calls.running.size + waiting <= CALL_CONCURRENCY + CALL_QUEUE_LIMIT, 'too many calls'),
    ...unless(waiting === 0 || calls.running.size >= CALL_CONCURRENCY, 'calls wait beside free places')
  ]
}

function checkOrder (state: State, { order, drain, reservations, prefill }: SidecarState): readonly string[] {
  const hasWork = reservations.size > 0 || prefill.running.size > 0
  return [
    ...unless(order.held !== undefined || !hasWork, 'work at an engine that is not known to hold a model'),
    ...unless(order.sentToken <= (state.config?.version ?? 0), 'order beyond the configuration in force'),
    ...unless(order.phase !== 'ordered' || order.sent !== undefined, 'ordered without order'),
    ...unless(!drain.isStopped || state.stopping, 'stopped without being asked to')
  ]
}
