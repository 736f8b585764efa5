/**
 * Memory goes first to the KV caches that exist, since they are evicted soon.
 * What is held for a KV cache that is still to come is lent to them: its
 * reservation stays granted and waits in the queue again.
 *
 * @module
 */
import type { TrafficClass } from '../BendfallCoreTypes.js'
import { returnBytes, roomBytes } from './BendfallCoreSidecarMemory.js'
import type { NextInQueue } from './BendfallCoreSidecarQueue.js'
import { dequeue, enqueue } from './BendfallCoreSidecarQueue.js'
import type { Reservation } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { countOne, patchSidecar, record } from './BendfallCoreSidecarUpdate.js'

/**
 * Takes the next reservation whose KV cache exists out of the queue, if there
 * is memory for it, or memory held for a KV cache that is still to come.
 *
 * @param update - working copy
 * @returns the reservation, undefined when none can start now
 */
export function takeNextMade (update: SidecarUpdate): NextInQueue | undefined {
  const next = findMade(update, 'interactive') ?? findMade(update, 'summary')
  if (next === undefined || !makeRoom(update, next)) return undefined
  dequeue(update, next.trafficClass, next.entry.requestId)
  return next
}

function findMade ({ sidecar }: SidecarUpdate, trafficClass: TrafficClass): NextInQueue | undefined {
  const entry = sidecar.queue[trafficClass].find(({ isMade }) => isMade)
  return entry === undefined ? undefined : { trafficClass, entry }
}

function makeRoom (update: SidecarUpdate, { trafficClass, entry }: NextInQueue): boolean {
  const { sidecar, atMs } = update
  let missing = entry.kvBytes - roomBytes(sidecar.memory, trafficClass, entry.kvBytes, atMs)
  if (missing <= 0) return true
  const lent: Reservation[] = []
  for (const reservation of latestFirst(update)) {
    lent.push(reservation)
    missing -= reservation.ask.kvBytes
    if (missing <= 0) break
  }
  if (missing > 0) return false
  for (const reservation of lent) lend(update, reservation)
  return true
}

/** Summaries that hold memory without KV cache, the one expected last first. */
function latestFirst ({ sidecar }: SidecarUpdate): Reservation[] {
  const found: Reservation[] = []
  sidecar.reservations.forEach((reservation) => {
    if (reservation.phase === 'held' && reservation.ask.trafficClass === 'summary') found.push(reservation)
  })
  return found.sort((one, other) => other.expectedAtMs - one.expectedAtMs)
}

function lend (update: SidecarUpdate, reservation: Reservation): void {
  const { ask, deadlineAtMs } = reservation
  const { requestId, attempt, trafficClass, kvBytes } = ask
  returnBytes(update, trafficClass, kvBytes)
  patchSidecar(update, { reservations: update.sidecar.reservations.set(requestId, { ...reservation, phase: 'queued', heldAtMs: 0 }) })
  enqueue(update, trafficClass, { requestId, kvBytes, deadlineAtMs, isMade: false })
  record(update, requestId, 'reservation_lent', { attempt, kvBytes })
  countOne(update, 'reservation_lent', { trafficClass })
}
