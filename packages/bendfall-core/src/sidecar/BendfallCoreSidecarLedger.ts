/**
 * The reservation ledger: grants decode memory now or later, or refuses at once
 * with the time at which coming back is of use.
 *
 * @module
 */
import type { ReserveAsk, ReserveReply } from '../BendfallCoreMessages.js'
import type { RefusalReason } from '../BendfallCoreTypes.js'
import { startHeld } from './BendfallCoreSidecarDecode.js'
import { refuseEnded } from './BendfallCoreSidecarEnded.js'
import { noteAskOf } from './BendfallCoreSidecarEntries.js'
import { drainBytesPerMs } from './BendfallCoreSidecarForecast.js'
import { forecastEntry, grantReservation, lookForGrants, readyInMsOf } from './BendfallCoreSidecarGrants.js'
import { LEASE_MS, startLease } from './BendfallCoreSidecarLeases.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { takeBytes } from './BendfallCoreSidecarMemory.js'
import type { NextInQueue } from './BendfallCoreSidecarQueue.js'
import { enqueue, takeNext } from './BendfallCoreSidecarQueue.js'
import { takeNextMade } from './BendfallCoreSidecarReclaim.js'
import { abandonReservation, failStream } from './BendfallCoreSidecarRelease.js'
import { refuseEngineWork } from './BendfallCoreSidecarServing.js'
import type { QueueEntry, Reservation } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { countOne, emit, moveMean, patchMemory, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** When to come back after a refusal that capacity has no part in. */
export const RETRY_AFTER_MS = 1_000

/** Shortest and longest time after which a refused client is told to return. */
export const RETRY_AFTER_MIN_MS = 50
export const RETRY_AFTER_MAX_MS = 30_000

/** Weight of a new size in the mean size. */
const SIZE_WEIGHT = 0.05

/** Asks for decode memory. */
export const reserveAsked: SidecarHandler<'reserve_asked'> = (update, { ask }) => {
  noteAsk(update, ask)
  noteAskOf(update, ask.entryIncarnation)
  const known = update.sidecar.reservations.get(ask.requestId)
  if (known?.ask.attempt === ask.attempt) return repeatGrant(update, known)
  const reason = refuseEngineWork(update, 'decode', ask.model) ?? refuseLate(update, ask, known)
  if (reason !== undefined) return refuse(update, ask, reason, RETRY_AFTER_MS)
  if (known !== undefined) replaceAttempt(update, known)
  reserve(update, ask)
}

/**
 * Gives free memory to the reservations that wait for it.
 *
 * @param update - working copy
 */
export function advanceQueue (update: SidecarUpdate): void {
  for (let next = takeNextMade(update); next !== undefined; next = takeNextMade(update)) holdNext(update, next)
  for (let next = takeNext(update); next !== undefined; next = takeNext(update)) holdNext(update, next)
}

function noteAsk (update: SidecarUpdate, { trafficClass, kvBytes }: ReserveAsk): void {
  const { memory } = update.sidecar
  const typicalKvBytes = moveMean(memory.typicalKvBytes, kvBytes, SIZE_WEIGHT)
  if (trafficClass === 'summary') return patchMemory(update, { typicalKvBytes })
  patchMemory(update, { typicalKvBytes, interactiveKvBytes: Math.max(kvBytes, memory.interactiveKvBytes), interactiveAtMs: update.atMs })
}

function refuseLate (update: SidecarUpdate, ask: ReserveAsk, known: Reservation | undefined): RefusalReason | undefined {
  if (known !== undefined && known.ask.attempt > ask.attempt) return 'lease_lapsed'
  if (update.sidecar.releasing.has(attemptKey(ask))) return 'lease_lapsed'
  return refuseEnded(update, ask)
}

function replaceAttempt (update: SidecarUpdate, known: Reservation): void {
  failStream(update, known, 'lease_lapsed', false)
  abandonReservation(update, known, 'replaced')
}

function reserve (update: SidecarUpdate, ask: ReserveAsk): void {
  const entry: QueueEntry = { requestId: ask.requestId, kvBytes: ask.kvBytes, deadlineAtMs: update.atMs + ask.maxReadyInMs, isMade: false }
  const readyInMs = forecastEntry(update, ask, entry)
  if (readyInMs > ask.maxReadyInMs) return refuse(update, ask, 'capacity', retryAfterMs(update, ask, readyInMs))
  const reservation = createReservation(update, ask, readyInMs)
  patchSidecar(update, { reservations: update.sidecar.reservations.set(ask.requestId, reservation) })
  startLease(update, ask.requestId)
  enqueue(update, ask.trafficClass, entry)
  lookForGrants(update)
  setTimer(update, 'transfer_progress', ask.requestId, entry.deadlineAtMs)
  advanceQueue(update)
}

function createReservation (update: SidecarUpdate, ask: ReserveAsk, readyInMs: number): Reservation {
  const fencingToken = update.sidecar.memory.lastFencingToken + 1
  patchMemory(update, { lastFencingToken: fencingToken })
  return {
    ask,
    fencingToken,
    phase: 'queued',
    isGranted: false,
    expectedAtMs: update.atMs + Math.max(ask.neededInMs, readyInMs),
    deadlineAtMs: update.atMs + ask.maxReadyInMs,
    heldAtMs: 0,
    leaseUntilMs: update.atMs + LEASE_MS,
    evictsAtMs: 0,
    transferredBytes: 0,
    lookedAtMs: 0,
    idleMs: 0,
    tokenCount: 0,
    tokensAtMs: 0
  }
}

function holdNext (update: SidecarUpdate, { trafficClass, entry }: NextInQueue): void {
  const reservation = update.sidecar.reservations.get(entry.requestId)
  if (reservation === undefined) return
  takeBytes(update, trafficClass, entry.kvBytes)
  const held: Reservation = { ...reservation, phase: 'held', heldAtMs: update.atMs }
  patchSidecar(update, { reservations: update.sidecar.reservations.set(entry.requestId, held) })
  if (!held.isGranted) grantReservation(update, held, 0)
  startHeld(update, held)
}

function repeatGrant (update: SidecarUpdate, known: Reservation): void {
  const leaseUntilMs = update.atMs + LEASE_MS
  const renewed: Reservation = { ...known, leaseUntilMs }
  patchSidecar(update, { reservations: update.sidecar.reservations.set(known.ask.requestId, renewed) })
  if (known.isGranted) grantReservation(update, renewed, readyInMsOf(update, known.ask))
}

function refuse (update: SidecarUpdate, ask: ReserveAsk, reason: RefusalReason, retryAfterMs: number): void {
  const load = viewLoad(update)
  reply(update, ask, { type: 'refused', reason, retryAfterMs, load })
  record(update, ask.requestId, 'reservation_refused', { attempt: ask.attempt, reason, retryAfterMs })
  countOne(update, 'reservation_refused', { reason, trafficClass: ask.trafficClass })
}

function reply (update: SidecarUpdate, { requestId, attempt }: ReserveAsk, answer: ReserveReply): void {
  emit(update, { type: 'reply_reserve', requestId, attempt, reply: answer })
}

/**
 * Works out when the wait will have shrunk to what the client can bear. Refused
 * clients are spread at the drain rate, so that they do not return all at once.
 */
function retryAfterMs (update: SidecarUpdate, ask: ReserveAsk, readyInMs: number): number {
  const { memory } = update.sidecar
  if (memory.totalKvBytes === 0) return RETRY_AFTER_MS
  if (ask.kvBytes > memory.totalKvBytes) return 0
  const latestMs = update.atMs + RETRY_AFTER_MAX_MS
  const fromMs = Math.max(memory.retryFreeAtMs, update.atMs + readyInMs - ask.maxReadyInMs)
  const atMs = Math.min(fromMs, latestMs)
  patchMemory(update, { retryFreeAtMs: Math.min(latestMs, atMs + ask.kvBytes / drainBytesPerMs(memory)) })
  return Math.max(RETRY_AFTER_MIN_MS, atMs - update.atMs)
}
