/**
 * Decode of a reservation: fetch the KV cache, watch its progress, make the
 * output. Events of an attempt that is no longer held change nothing.
 *
 * @module
 */
import type { DecodeAsk } from '../BendfallCoreMessages.js'
import type { RefusalReason, RequestId } from '../BendfallCoreTypes.js'
import { refuseEnded } from './BendfallCoreSidecarEnded.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { checkGranted } from './BendfallCoreSidecarGrants.js'
import { resumedTokens } from './BendfallCoreSidecarForecast.js'
import { dequeue, enqueue } from './BendfallCoreSidecarQueue.js'
import { abandonReservation, confirmReleased, failStream, freeReservation } from './BendfallCoreSidecarRelease.js'
import type { Reservation } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { clearTimer, emit, moveMean, patchMemory, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** A transfer without progress for this time, in which the process ran, has stalled. */
export const PROGRESS_DEADLINE_MS = 300

/**
 * Between two looks at a transfer, and the most that one look counts: what a look is late, the
 * process stood still and could read no byte.
 */
export const PROGRESS_LOOK_MS = 50

/** Longest wait of a decode for its memory where the eviction is not known. */
export const DECODE_WAIT_MS = 800

/** Weight of a new sample in the learned means. */
const OUTPUT_WEIGHT = 0.1
const STEP_WEIGHT = 0.05

interface AttemptRef {
  readonly requestId: RequestId
  readonly attempt: number
}

/** Asks for the output of a reservation. */
export const decodeAsked: SidecarHandler<'decode_asked'> = (update, { ask }) => {
  const reservation = findLive(update, ask)
  if (reservation?.decodeAsk !== undefined) return
  if (reservation === undefined || reservation.fencingToken !== ask.fencingToken) return refuseDecode(update, ask, refuseEnded(update, ask) ?? 'lease_lapsed')
  if (ask.kvBytes > reservation.ask.kvBytes) return refuseDecode(update, ask, 'bad_request')
  acceptDecode(update, reservation, ask)
}

/**
 * Goes on with a reservation that has just got its memory.
 *
 * @param update - working copy
 * @param held - the reservation, in phase `held`
 */
export function startHeld (update: SidecarUpdate, held: Reservation): void {
  if (held.decodeAsk !== undefined) startImport(update, held, held.decodeAsk)
}

function refuseDecode (update: SidecarUpdate, { requestId, attempt }: DecodeAsk, reason: RefusalReason): void {
  emit(update, { type: 'relay_end', requestId, attempt, end: { type: 'failed', reason, kvLost: false } })
  record(update, requestId, 'decode_refused', { attempt, reason })
}

function acceptDecode (update: SidecarUpdate, reservation: Reservation, decodeAsk: DecodeAsk): void {
  const tokenCount = decodeAsk.resumeTokens.length
  const evictsAtMs = update.atMs + (decodeAsk.evictsInMs ?? DECODE_WAIT_MS)
  const asked: Reservation = { ...reservation, decodeAsk, evictsAtMs, tokenCount }
  putReservation(update, asked)
  if (asked.phase === 'held') startImport(update, asked, decodeAsk)
  else waitForMemory(update, asked)
}

/** Its KV cache exists and will be evicted, so its turn may come sooner, never later. */
function waitForMemory (update: SidecarUpdate, { ask, evictsAtMs }: Reservation): void {
  const { requestId, trafficClass, kvBytes } = ask
  const waiting = update.sidecar.queue[trafficClass].find((entry) => entry.requestId === requestId)
  const deadlineAtMs = Math.min(evictsAtMs, waiting?.deadlineAtMs ?? evictsAtMs)
  dequeue(update, trafficClass, requestId)
  enqueue(update, trafficClass, { requestId, kvBytes, deadlineAtMs, isMade: true })
  setTimer(update, 'transfer_progress', requestId, evictsAtMs)
}

function startImport (update: SidecarUpdate, reservation: Reservation, ask: DecodeAsk): void {
  const { requestId, attempt } = reservation.ask
  putReservation(update, { ...reservation, phase: 'importing', lookedAtMs: update.atMs, idleMs: 0 })
  setTimer(update, 'transfer_progress', requestId, update.atMs + PROGRESS_LOOK_MS)
  emit(update, { type: 'engine_import', ask })
  record(update, requestId, 'transfer_started', { attempt, kvBytes: ask.kvBytes })
}

/** Bytes of the KV cache came in. */
export const importProgressed: SidecarHandler<'engine_import_progressed'> = (update, event) => {
  const reservation = findInPhase(update, event, 'importing')
  if (reservation === undefined || event.transferredBytes <= reservation.transferredBytes) return
  const { requestId, attempt, transferredBytes } = event
  putReservation(update, { ...reservation, transferredBytes, lookedAtMs: update.atMs, idleMs: 0 })
  emit(update, { type: 'relay_transfer', requestId, attempt, transferredBytes })
}

/** The import ended: make the output, or give the reservation up. */
export const importEnded: SidecarHandler<'engine_import_ended'> = (update, event) => {
  const reservation = findInPhase(update, event, 'importing')
  if (reservation?.decodeAsk === undefined) return
  clearTimer(update, 'transfer_progress', event.requestId)
  const { result } = event
  recordTransfer(update, reservation, result.type === 'done' ? 'done' : result.reason, result.type === 'done' ? undefined : result.detail)
  if (result.type === 'failed') return giveUp(update, reservation, result.reason, result.kvLost)
  putReservation(update, { ...reservation, phase: 'decoding' })
  emit(update, { type: 'engine_decode', ask: reservation.decodeAsk })
  record(update, event.requestId, 'decode_started', { attempt: event.attempt })
}

function recordTransfer (update: SidecarUpdate, { ask, transferredBytes }: Reservation, result: string, detail?: string): void {
  record(update, ask.requestId, 'transfer_ended', { attempt: ask.attempt, result, transferredBytes, ...(detail !== undefined && { detail }) })
}

function giveUp (update: SidecarUpdate, reservation: Reservation, reason: RefusalReason, kvLost: boolean): void {
  failStream(update, reservation, reason, kvLost)
  abandonReservation(update, reservation, 'failed')
}

/** A transfer made no progress, or a KV cache was evicted before its turn. */
export const progressTimerFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind !== 'transfer_progress') return
  const reservation = update.sidecar.reservations.get(timer.id)
  if (reservation?.phase === 'queued') checkGranted(update, reservation)
  if (reservation?.phase === 'queued') checkEviction(update, reservation)
  if (reservation?.phase === 'importing') checkProgress(update, reservation)
}

function checkEviction (update: SidecarUpdate, reservation: Reservation): void {
  if (reservation.decodeAsk === undefined || reservation.evictsAtMs > update.atMs) return
  giveUp(update, reservation, 'prefill_lost', true)
}

function checkProgress (update: SidecarUpdate, reservation: Reservation): void {
  const idleMs = reservation.idleMs + Math.min(PROGRESS_LOOK_MS, update.atMs - reservation.lookedAtMs)
  if (idleMs < PROGRESS_DEADLINE_MS) return lookAgain(update, { ...reservation, lookedAtMs: update.atMs, idleMs })
  recordTransfer(update, reservation, 'transfer_stalled')
  giveUp(update, reservation, 'transfer_stalled', false)
}

function lookAgain (update: SidecarUpdate, reservation: Reservation): void {
  putReservation(update, reservation)
  const waitMs = Math.min(PROGRESS_LOOK_MS, PROGRESS_DEADLINE_MS - reservation.idleMs)
  setTimer(update, 'transfer_progress', reservation.ask.requestId, update.atMs + waitMs)
}

/** Output came; it is relayed as it is, the entry drops what it has. */
export const tokensMade: SidecarHandler<'engine_tokens'> = (update, event) => {
  const reservation = findInPhase(update, event, 'decoding')
  if (reservation === undefined) return
  const { requestId, attempt, index, tokens } = event
  noteTokens(update, reservation, index + tokens.length)
  emit(update, { type: 'relay_tokens', requestId, attempt, index, tokens })
}

// One patch: this is the reducer's most frequent step.
function noteTokens (update: SidecarUpdate, reservation: Reservation, tokenCount: number): void {
  const added = tokenCount - reservation.tokenCount
  if (added <= 0) return
  const { memory, reservations } = update.sidecar
  const made: Reservation = { ...reservation, tokenCount, tokensAtMs: update.atMs }
  const isFirst = reservation.tokensAtMs === 0
  const stepMs = isFirst ? memory.stepMs : moveMean(memory.stepMs, (update.atMs - reservation.tokensAtMs) / added, STEP_WEIGHT)
  patchSidecar(update, { reservations: reservations.set(reservation.ask.requestId, made), memory: { ...memory, stepMs } })
}

/** The output ended, whole or not. */
export const decodeEnded: SidecarHandler<'engine_decode_ended'> = (update, event) => {
  if (event.result.type === 'finished') confirmReleased(update, attemptKey(event))
  const reservation = findInPhase(update, event, 'decoding')
  if (reservation === undefined) return
  if (event.result.type === 'failed') return giveUp(update, reservation, event.result.reason, true)
  finish(update, reservation, event.result.tokenCount)
}

function finish (update: SidecarUpdate, reservation: Reservation, tokenCount: number): void {
  const { requestId, attempt, maxOutputTokens } = reservation.ask
  noteOutput(update, (tokenCount - resumedTokens(reservation)) / Math.max(1, maxOutputTokens))
  freeReservation(update, reservation)
  const load = viewLoad(update)
  emit(update, { type: 'relay_end', requestId, attempt, end: { type: 'finished', tokenCount, load } })
  record(update, requestId, 'decode_ended', { attempt, tokenCount })
}

function noteOutput (update: SidecarUpdate, share: number): void {
  const outputShare = moveMean(update.sidecar.memory.outputShare, Math.min(1, share), OUTPUT_WEIGHT)
  patchMemory(update, { outputShare })
}

function putReservation (update: SidecarUpdate, reservation: Reservation): void {
  patchSidecar(update, { reservations: update.sidecar.reservations.set(reservation.ask.requestId, reservation) })
}

function findLive (update: SidecarUpdate, { requestId, attempt }: AttemptRef): Reservation | undefined {
  const reservation = update.sidecar.reservations.get(requestId)
  return reservation?.ask.attempt === attempt ? reservation : undefined
}

function findInPhase (update: SidecarUpdate, ref: AttemptRef, phase: Reservation['phase']): Reservation | undefined {
  const reservation = findLive(update, ref)
  return reservation?.phase === phase ? reservation : undefined
}
