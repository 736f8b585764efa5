/**
 * The queue of reservations that wait for memory: interactive first, then by
 * deadline, with bounded overtaking of summaries.
 *
 * @module
 */
import type { TrafficClass } from '../BendfallCoreTypes.js'
import type { QueuePlace } from './BendfallCoreSidecarForecast.js'
import { headroomLeftBytes, roomBytes } from './BendfallCoreSidecarMemory.js'
import type { DecodeMemory, QueueEntry, ReservationQueue } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchMemory, patchSidecar } from './BendfallCoreSidecarUpdate.js'

/**
 * Bytes of interactive reservations that may overtake a waiting summary, in
 * multiples of its own size. From there on the summary is due: it takes the
 * next memory that becomes free, but for the headroom of interactive requests.
 */
export const OVERTAKE_FACTOR = 4

/** The next reservation to get memory. */
export interface NextInQueue {
  readonly trafficClass: TrafficClass
  readonly entry: QueueEntry
}

/**
 * Puts a reservation into the queue.
 *
 * @param update - working copy
 * @param trafficClass - class of the reservation
 * @param entry - the reservation
 */
export function enqueue (update: SidecarUpdate, trafficClass: TrafficClass, entry: QueueEntry): void {
  const waiting = update.sidecar.queue[trafficClass]
  const index = placeOf(waiting, entry.deadlineAtMs)
  replaceWaiting(update, trafficClass, [...waiting.slice(0, index), entry, ...waiting.slice(index)])
}

/**
 * Takes a reservation out of the queue.
 *
 * @param update - working copy
 * @param trafficClass - class of the reservation
 * @param requestId - the request; one that does not wait changes nothing
 */
export function dequeue (update: SidecarUpdate, trafficClass: TrafficClass, requestId: string): void {
  const waiting = update.sidecar.queue[trafficClass]
  const rest = waiting.filter((entry) => entry.requestId !== requestId)
  if (rest.length !== waiting.length) replaceWaiting(update, trafficClass, rest)
}

/**
 * Takes the next reservation out of the queue if its memory is free.
 *
 * @param update - working copy
 * @returns the reservation, undefined when none can start now
 */
export function takeNext (update: SidecarUpdate): NextInQueue | undefined {
  const next = findNext(update)
  if (next === undefined) return undefined
  dequeue(update, next.trafficClass, next.entry.requestId)
  noteOvertaking(update, next)
  return next
}

/**
 * Tells what goes before a new reservation.
 *
 * @param queue - the queue
 * @param memory - the account, which knows whether a summary is due
 * @param trafficClass - class of the reservation
 * @param entry - the reservation, in the queue or not
 * @returns its place
 */
export function findPlace (queue: ReservationQueue, memory: DecodeMemory, trafficClass: TrafficClass, entry: QueueEntry): QueuePlace {
  const bytesAhead = sumAhead(queue[trafficClass], entry) + otherBytesAhead(queue, memory, trafficClass)
  return { trafficClass, kvBytes: entry.kvBytes, bytesAhead }
}

/**
 * Sums the bytes of a part of the queue.
 *
 * @param waiting - reservations of one class
 * @returns bytes
 */
export function sumQueued (waiting: readonly QueueEntry[]): number {
  let sum = 0
  for (const entry of waiting) sum += entry.kvBytes
  return sum
}

function otherBytesAhead (queue: ReservationQueue, memory: DecodeMemory, trafficClass: TrafficClass): number {
  if (trafficClass === 'summary') return sumQueued(queue.interactive)
  return isSummaryDue(queue, memory) ? queue.summary[0].kvBytes : 0
}

function sumAhead (waiting: readonly QueueEntry[], entry: QueueEntry): number {
  let sum = 0
  for (const other of waiting) {
    if (other.deadlineAtMs > entry.deadlineAtMs || other.requestId === entry.requestId) break
    sum += other.kvBytes
  }
  return sum
}

/** First index behind all entries with an equal or earlier deadline. */
function placeOf (waiting: readonly QueueEntry[], deadlineAtMs: number): number {
  let low = 0
  let high = waiting.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (waiting[middle].deadlineAtMs <= deadlineAtMs) low = middle + 1
    else high = middle
  }
  return low
}

function replaceWaiting (update: SidecarUpdate, trafficClass: TrafficClass, waiting: readonly QueueEntry[]): void {
  patchSidecar(update, { queue: { ...update.sidecar.queue, [trafficClass]: waiting } })
}

function isSummaryDue (queue: ReservationQueue, memory: DecodeMemory): boolean {
  const first = queue.summary[0]
  return first !== undefined && memory.overtakenKvBytes >= first.kvBytes * OVERTAKE_FACTOR
}

function findNext (update: SidecarUpdate): NextInQueue | undefined {
  const { queue, memory } = update.sidecar
  if (isSummaryDue(queue, memory)) return firstThatFits(update, 'summary') ?? interactiveInHeadroom(update)
  if (queue.interactive.length > 0) return firstThatFits(update, 'interactive')
  return firstThatFits(update, 'summary')
}

function firstThatFits ({ sidecar, atMs }: SidecarUpdate, trafficClass: TrafficClass): NextInQueue | undefined {
  const entry = sidecar.queue[trafficClass][0]
  if (entry === undefined) return undefined
  const room = roomBytes(sidecar.memory, trafficClass, entry.kvBytes, atMs)
  return entry.kvBytes <= room ? { trafficClass, entry } : undefined
}

function interactiveInHeadroom ({ sidecar, atMs }: SidecarUpdate): NextInQueue | undefined {
  const entry = sidecar.queue.interactive[0]
  if (entry === undefined || entry.kvBytes > headroomLeftBytes(sidecar.memory, atMs)) return undefined
  return { trafficClass: 'interactive', entry }
}

function noteOvertaking (update: SidecarUpdate, { trafficClass, entry }: NextInQueue): void {
  const { queue, memory } = update.sidecar
  const isOvertaking = trafficClass === 'interactive' && queue.summary.length > 0
  const overtakenKvBytes = isOvertaking ? memory.overtakenKvBytes + entry.kvBytes : 0
  if (overtakenKvBytes !== memory.overtakenKvBytes) patchMemory(update, { overtakenKvBytes })
}
