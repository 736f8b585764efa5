/**
 * Admission of prefills by an estimate of the queue, with the measured rate.
 *
 * An interactive prefill goes to the engine at once: the engine lets it pass
 * what it computes. Summaries wait here, earliest due first, and the engine is
 * given only what keeps it busy: what waits here can still be refused as not
 * run, cancelled for nothing, or held back until its decode memory is free.
 *
 * @module
 */
import type { EventOf } from '../BendfallCoreEvents.js'
import type { PrefillAsk, PrefillReply } from '../BendfallCoreMessages.js'
import type { RefusalReason, TrafficClass } from '../BendfallCoreTypes.js'
import { refuseEnded } from './BendfallCoreSidecarEnded.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { refuseEngineWork } from './BendfallCoreSidecarServing.js'
import type { AttemptKey, Prefill, PrefillQueue, WaitingPrefill } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { countOne, emit, moveMean, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Prefills admitted at a time while the rate is not known. */
export const UNRATED_PREFILLS = 4

/** Summaries at the engine: one that it computes, one that it goes on with. */
export const ENGINE_SUMMARIES = 2

/** When to come back after a refusal that the queue has no part in. */
const RETRY_AFTER_MS = 1_000

/** Shortest time after which a refused client is told to return. */
const RETRY_AFTER_MIN_MS = 50

const NEXT_TIMER = 'next'

/** Weight of a new rate in its mean. */
const RATE_WEIGHT = 0.2

/** Tokens below which a sample tells more of the overhead than of the rate. */
const RATED_TOKENS = 1_000

/** Asks for the KV cache of a prompt. */
export const prefillAsked: SidecarHandler<'prefill_asked'> = (update, { ask }) => {
  if (isKnown(update.sidecar.prefill, attemptKey(ask))) return
  const reason = refuseEngineWork(update, 'prefill', ask.model) ?? refuseEnded(update, ask)
  if (reason !== undefined) return refuse(update, ask, reason, RETRY_AFTER_MS)
  const waitMs = Math.max(ask.notBeforeInMs, forecastPrefillMs(update.sidecar.prefill, ask.trafficClass, ask.expectedTokens))
  if (waitMs > ask.maxWaitMs) return refuse(update, ask, 'capacity', Math.max(RETRY_AFTER_MIN_MS, waitMs - ask.maxWaitMs))
  if (isUnratedFull(update.sidecar.prefill)) return refuse(update, ask, 'capacity', RETRY_AFTER_MS)
  countTokens(update, ask, ask.expectedTokens)
  if (ask.trafficClass === 'interactive') startPrefill(update, ask)
  else enqueuePrefill(update, ask)
}

function isKnown (queue: PrefillQueue, key: AttemptKey): boolean {
  return queue.running.has(key) || queue.waiting.some(({ ask }) => attemptKey(ask) === key)
}

function enqueuePrefill (update: SidecarUpdate, ask: PrefillAsk): void {
  const { waiting } = update.sidecar.prefill
  const entry: WaitingPrefill = { ask, notBeforeAtMs: update.atMs + ask.notBeforeInMs, dueAtMs: update.atMs + ask.maxWaitMs }
  const index = waiting.findIndex(({ dueAtMs }) => dueAtMs > entry.dueAtMs)
  const place = index === -1 ? waiting.length : index
  putWaiting(update, [...waiting.slice(0, place), entry, ...waiting.slice(place)])
}

function putWaiting (update: SidecarUpdate, waiting: readonly WaitingPrefill[]): void {
  patchSidecar(update, { prefill: { ...update.sidecar.prefill, waiting } })
}

/**
 * Gives the engine the next prefills, as many as keep it busy.
 *
 * @param update - working copy
 */
export function advancePrefills (update: SidecarUpdate): void {
  while (hasEngineRoom(update.sidecar.prefill)) {
    const { waiting } = update.sidecar.prefill
    const next = waiting.find(({ notBeforeAtMs }) => notBeforeAtMs <= update.atMs)
    if (next === undefined) return waitForNext(update)
    putWaiting(update, waiting.filter((entry) => entry !== next))
    if (canFinish(update, next)) startPrefill(update, next.ask)
    else refuseWaiting(update, next)
  }
}

function hasEngineRoom ({ running, waiting }: PrefillQueue): boolean {
  if (waiting.length === 0) return false
  return running.count(({ ask }) => ask.trafficClass === 'summary') < ENGINE_SUMMARIES
}

function waitForNext (update: SidecarUpdate): void {
  const soonestMs = Math.min(...update.sidecar.prefill.waiting.map(({ notBeforeAtMs }) => notBeforeAtMs))
  setTimer(update, 'prefill_start', NEXT_TIMER, soonestMs)
}

function canFinish ({ sidecar, atMs }: SidecarUpdate, { ask, dueAtMs }: WaitingPrefill): boolean {
  const rate = sidecar.prefill.tokensPerSecond
  return rate === 0 || atMs + ask.expectedTokens / rate * 1_000 <= dueAtMs
}

function refuseWaiting (update: SidecarUpdate, { ask }: WaitingPrefill): void {
  countTokens(update, ask, -ask.expectedTokens)
  refuse(update, ask, 'capacity', RETRY_AFTER_MS)
}

/**
 * Takes prefills out of the queue that the engine has not seen.
 *
 * @param update - working copy
 * @param reason - told to the entries
 * @param isDropped - which ones
 */
export function dropWaitingPrefills (update: SidecarUpdate, reason: RefusalReason, isDropped: (entry: WaitingPrefill) => boolean): void {
  const { waiting } = update.sidecar.prefill
  const dropped = waiting.filter(isDropped)
  if (dropped.length === 0) return
  putWaiting(update, waiting.filter((entry) => !isDropped(entry)))
  for (const { ask } of dropped) {
    countTokens(update, ask, -ask.expectedTokens)
    refuse(update, ask, reason, RETRY_AFTER_MS)
  }
}

function countTokens (update: SidecarUpdate, { trafficClass }: PrefillAsk, tokens: number): void {
  const { prefill } = update.sidecar
  const queuedTokens = { ...prefill.queuedTokens, [trafficClass]: prefill.queuedTokens[trafficClass] + tokens }
  patchSidecar(update, { prefill: { ...prefill, queuedTokens } })
}

/**
 * Estimates when a prefill would be done.
 *
 * @param queue - the prefill queue
 * @param trafficClass - class of the prefill
 * @param tokens - tokens that it has to compute
 * @returns milliseconds; 0 when the rate is not known
 */
export function forecastPrefillMs (queue: PrefillQueue, trafficClass: TrafficClass, tokens: number): number {
  if (queue.tokensPerSecond === 0) return 0
  const { interactive, summary } = queue.queuedTokens
  const ahead = trafficClass === 'interactive' ? interactive : interactive + summary
  return (ahead + tokens) / queue.tokensPerSecond * 1_000
}

function isUnratedFull (queue: PrefillQueue): boolean {
  return queue.tokensPerSecond === 0 && queue.running.size + queue.waiting.length >= UNRATED_PREFILLS
}

function refuse (update: SidecarUpdate, ask: PrefillAsk, reason: RefusalReason, retryAfterMs: number): void {
  reply(update, ask, { type: 'refused', reason, retryAfterMs, load: viewLoad(update) })
  record(update, ask.requestId, 'prefill_refused', { attempt: ask.attempt, reason, retryAfterMs })
  countOne(update, 'prefill_refused', { reason })
}

function reply (update: SidecarUpdate, { requestId, attempt }: PrefillAsk, answer: PrefillReply): void {
  emit(update, { type: 'reply_prefill', requestId, attempt, reply: answer })
}

function startPrefill (update: SidecarUpdate, ask: PrefillAsk): void {
  const { prefill } = update.sidecar
  const started: Prefill = { ask, startedAtMs: update.atMs, isCancelled: false }
  const running = prefill.running.set(attemptKey(ask), started)
  const queue = { ...prefill, running }
  const isFirst = prefill.running.size === 0
  patchSidecar(update, { prefill: isFirst ? { ...queue, ratedAtMs: update.atMs, endedTokens: 0 } : queue })
  emit(update, { type: 'engine_prefill', ask })
  record(update, ask.requestId, 'prefill_started', { attempt: ask.attempt, promptTokens: ask.promptTokens })
}

/** A prefill ended at the engine. */
export const prefillEnded: SidecarHandler<'engine_prefill_ended'> = (update, event) => {
  const prefill = update.sidecar.prefill.running.get(attemptKey(event))
  if (prefill === undefined) return
  removePrefill(update, prefill)
  if (event.result.type === 'done') ratePrefill(update, prefill.ask.promptTokens - event.result.cachedTokens)
  if (!prefill.isCancelled) replyEnded(update, prefill, event)
}

/**
 * Forgets a prefill that the engine is done with.
 *
 * @param update - working copy
 * @param prefill - the prefill
 */
export function removePrefill (update: SidecarUpdate, { ask }: Prefill): void {
  const { prefill } = update.sidecar
  const running = prefill.running.delete(attemptKey(ask))
  patchSidecar(update, { prefill: { ...prefill, running } })
  countTokens(update, ask, -ask.expectedTokens)
}

/**
 * Cancels a prefill; it counts as queued until the engine confirmed.
 *
 * @param update - working copy
 * @param prefill - the prefill; one cancelled before is left as it is
 * @param reason - told to the entry
 */
export function cancelPrefill (update: SidecarUpdate, prefill: Prefill, reason: RefusalReason): void {
  if (prefill.isCancelled) return
  const { requestId, attempt } = prefill.ask
  const running = update.sidecar.prefill.running.set(attemptKey(prefill.ask), { ...prefill, isCancelled: true })
  patchSidecar(update, { prefill: { ...update.sidecar.prefill, running } })
  emit(update, { type: 'engine_cancel', requestId, attempt })
  reply(update, prefill.ask, { type: 'failed', reason })
  record(update, requestId, 'prefill_cancelled', { attempt, reason })
}

/** Rate of the engine, from the tokens that end while it is busy. */
function ratePrefill (update: SidecarUpdate, computedTokens: number): void {
  const { prefill } = update.sidecar
  const endedTokens = prefill.endedTokens + computedTokens
  const busyMs = update.atMs - prefill.ratedAtMs
  if (busyMs < 1) return patchSidecar(update, { prefill: { ...prefill, endedTokens } })
  // The first sample has no mean to be weighed against: it must be a good one.
  if (!prefill.isMeasured && endedTokens < RATED_TOKENS) return patchSidecar(update, { prefill: { ...prefill, endedTokens: 0, ratedAtMs: update.atMs } })
  const sample = endedTokens / busyMs * 1_000
  const weight = RATE_WEIGHT * Math.min(1, endedTokens / RATED_TOKENS)
  const tokensPerSecond = moveMean(prefill.tokensPerSecond, sample, weight)
  patchSidecar(update, { prefill: { ...prefill, tokensPerSecond, isMeasured: true, endedTokens: 0, ratedAtMs: update.atMs } })
}

function replyEnded (update: SidecarUpdate, { ask, startedAtMs }: Prefill, { result }: EventOf<'engine_prefill_ended'>): void {
  const tookMs = update.atMs - startedAtMs
  record(update, ask.requestId, 'prefill_ended', { attempt: ask.attempt, result: result.type, tookMs: Math.round(tookMs) })
  emit(update, { type: 'measure', metric: 'prefill_time', valueMs: tookMs, tags: { result: result.type } })
  if (result.type === 'failed') return reply(update, ask, result)
  reply(update, ask, { ...result, load: viewLoad(update) })
}

/** The engine's own figure serves until a rate was measured. */
export const noteReportedRate: SidecarHandler<'engine_reported'> = (update, { report }) => {
  const { prefill } = update.sidecar
  if (prefill.isMeasured || report.prefillTokensPerSecond === prefill.tokensPerSecond) return
  patchSidecar(update, { prefill: { ...prefill, tokensPerSecond: report.prefillTokensPerSecond } })
}
