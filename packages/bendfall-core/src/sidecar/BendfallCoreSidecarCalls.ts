/**
 * Calls of a plain service. A call goes to the service at most once; one that
 * may have reached it is never said not to have run.
 *
 * @module
 */
import type { CallAsk, CallReply } from '../BendfallCoreMessages.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { State } from '../BendfallCoreState.js'
import type { Outcome, RefusalReason, TrafficClass } from '../BendfallCoreTypes.js'
import type { Effect } from '../BendfallCoreEffects.js'
import { refuseEnded } from './BendfallCoreSidecarEnded.js'
import { viewLoad } from './BendfallCoreSidecarLoad.js'
import { getRecent, putRecent } from './BendfallCoreSidecarRecent.js'
import { refuseServiceWork } from './BendfallCoreSidecarServing.js'
import type { RunningCall, ServiceCalls, WaitingCall } from './BendfallCoreSidecarState.js'
import { attemptKey } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { closeUpdate, countOne, emit, moveMean, openUpdate, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Calls that run at a service at a time. */
export const CALL_CONCURRENCY = 32

/** Calls that wait for a place. */
export const CALL_QUEUE_LIMIT = 32

/** For how long a sent non-repeatable call is remembered, at least. */
export const SENT_CALL_KEPT_MS = 60_000

/** When to come back after a refusal that the queue has no part in. */
const RETRY_AFTER_MS = 1_000

/** Shortest time after which a refused client is told to return. */
const RETRY_AFTER_MIN_MS = 50

/** Weight of a new call time in its mean. */
const CALL_WEIGHT = 0.1

/** Time of a call before any was measured. */
const FIRST_CALL_MS = 20

const WAIT_TIMER_PREFIX = 'call/'

const CLASS_ORDER: readonly TrafficClass[] = ['interactive', 'summary']

type NotRunOrUnknown = Extract<Outcome, 'not_run' | 'unknown'>

/** Why a call was not started. */
export interface CallRefusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
}

/** What came of the wish to start a call. */
export interface CallStart {
  readonly state: State
  readonly effects: readonly Effect[]
  /** Set when the call was not started, and never will be. */
  readonly refusal?: CallRefusal
}

/**
 * Starts a call of the plain service on behalf of the home of its key. Such a
 * call is started or refused on the spot and never waits here, so that the home
 * knows at once which it was; it may use the places of the queue. Its end
 * comes as `service_replied`; the reply to the caller is left to the home.
 *
 * @param state - state of the process
 * @param ask - the call
 * @param atMs - monotonic time
 * @returns state and effects after the start, or the refusal
 */
export function startServiceCall (state: State, ask: CallAsk, atMs: number): CallStart {
  if (state.sidecar === undefined) return { state, effects: [], refusal: { reason: 'no_upstream', retryAfterMs: 0 } }
  const update = openUpdate(state, state.sidecar, atMs)
  const refusal = refuseStart(update, ask)
  if (refusal !== undefined) return { state, effects: [], refusal }
  runCall(update, ask)
  return closeUpdate(state, update)
}

function refuseStart (update: SidecarUpdate, ask: CallAsk): CallRefusal | undefined {
  const reason = refuseServiceWork(update, ask.pool) ?? refuseSent(update, ask)
  if (reason !== undefined) return { reason, retryAfterMs: RETRY_AFTER_MS }
  const isFull = countCalls(update.sidecar.calls) >= CALL_CONCURRENCY + CALL_QUEUE_LIMIT
  return isFull ? { reason: 'capacity', retryAfterMs: forecastCallMs(update.sidecar.calls, 'summary') } : undefined
}

/** Asks for a call; those with a key belong to the home of the key. */
export const callAsked: SidecarHandler<'call_asked'> = (update, { ask }) => {
  if (ask.idempotencyKey !== '' || isKnown(update.sidecar.calls, ask)) return
  if (refuseSent(update, ask) !== undefined) return refuse(update, ask, 'unknown', 'duplicate_running', 0)
  const reason = refuseServiceWork(update, ask.pool) ?? refuseEnded(update, ask)
  if (reason !== undefined) return refuse(update, ask, 'not_run', reason, RETRY_AFTER_MS)
  if (update.sidecar.calls.running.size < CALL_CONCURRENCY) return runCall(update, ask)
  queueCall(update, ask)
}

function isKnown (calls: ServiceCalls, ask: CallAsk): boolean {
  const key = attemptKey(ask)
  return calls.running.has(key) || CLASS_ORDER.some((trafficClass) => calls.waiting[trafficClass].some((call) => attemptKey(call.ask) === key))
}

/** A non-repeatable call that was sent before may have run. */
function refuseSent ({ sidecar }: SidecarUpdate, ask: CallAsk): RefusalReason | undefined {
  if (ask.repeatable) return undefined
  return getRecent(sidecar.calls.sent, ask.requestId) === undefined ? undefined : 'duplicate_running'
}

function queueCall (update: SidecarUpdate, ask: CallAsk): void {
  const { calls } = update.sidecar
  const trafficClass = classOf(update, ask)
  const waitMs = forecastCallMs(calls, trafficClass)
  const isFull = countCalls(calls) >= CALL_CONCURRENCY + CALL_QUEUE_LIMIT
  if (isFull || waitMs > ask.maxWaitMs) return refuse(update, ask, 'not_run', 'capacity', Math.max(RETRY_AFTER_MIN_MS, waitMs))
  const deadlineAtMs = update.atMs + ask.maxWaitMs
  replaceWaiting(update, trafficClass, [...calls.waiting[trafficClass], { ask, trafficClass, deadlineAtMs }])
  setTimer(update, 'first_output_deadline', WAIT_TIMER_PREFIX + attemptKey(ask), deadlineAtMs)
}

/** Class of the longest route that the call matches. */
function classOf ({ config }: SidecarUpdate, ask: CallAsk): TrafficClass {
  const routes = config?.routes.filter((route) => route.pool === ask.pool && ask.path.startsWith(route.pathPrefix)) ?? []
  const longest = routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
  return longest?.trafficClass ?? 'interactive'
}

/** Wait of a call for its end, by the mean time of a call. */
function forecastCallMs ({ waiting, meanCallMs }: ServiceCalls, trafficClass: TrafficClass): number {
  const ahead = waiting.interactive.length + (trafficClass === 'summary' ? waiting.summary.length : 0)
  const callMs = meanCallMs === 0 ? FIRST_CALL_MS : meanCallMs
  return callMs * (1 + (ahead + 1) / CALL_CONCURRENCY)
}

function countCalls ({ running, waiting }: ServiceCalls): number {
  return running.size + waiting.interactive.length + waiting.summary.length
}

function runCall (update: SidecarUpdate, ask: CallAsk): void {
  const { calls } = update.sidecar
  const running = calls.running.set(attemptKey(ask), { ask, startedAtMs: update.atMs })
  const sent = ask.repeatable ? calls.sent : putRecent(calls.sent, ask.requestId, true, update.atMs, SENT_CALL_KEPT_MS)
  patchSidecar(update, { calls: { ...calls, running, sent } })
  emit(update, { type: 'service_call', ask })
  record(update, ask.requestId, 'call_started', { attempt: ask.attempt, pool: ask.pool })
}

/** The service answered, or the call failed. */
export const serviceReplied: SidecarHandler<'service_replied'> = (update, event) => {
  const call = update.sidecar.calls.running.get(attemptKey(event))
  if (call === undefined) return
  endCall(update, call)
  if (call.ask.idempotencyKey === '') replyEnded(update, call.ask, event)
  runWaiting(update)
}

function endCall (update: SidecarUpdate, { ask, startedAtMs }: RunningCall): void {
  const { calls } = update.sidecar
  const tookMs = update.atMs - startedAtMs
  const meanCallMs = moveMean(calls.meanCallMs, tookMs, CALL_WEIGHT)
  patchSidecar(update, { calls: { ...calls, running: calls.running.delete(attemptKey(ask)), meanCallMs } })
  emit(update, { type: 'measure', metric: 'service_call_time', valueMs: tookMs, tags: { pool: ask.pool } })
}

function replyEnded (update: SidecarUpdate, ask: CallAsk, { result }: EventOf<'service_replied'>): void {
  record(update, ask.requestId, 'call_ended', { attempt: ask.attempt, result: result.type })
  if (result.type === 'failed') return refuse(update, ask, result.reached ? 'unknown' : 'not_run', 'upstream_failed', 0)
  reply(update, ask, { ...result, replayed: false, load: viewLoad(update) })
}

function runWaiting (update: SidecarUpdate): void {
  while (update.sidecar.calls.running.size < CALL_CONCURRENCY) {
    const next = firstWaiting(update.sidecar.calls)
    if (next === undefined) return
    removeWaiting(update, next)
    if (next.deadlineAtMs <= update.atMs) refuse(update, next.ask, 'not_run', 'deadline', RETRY_AFTER_MS)
    else runCall(update, next.ask)
  }
}

function firstWaiting ({ waiting }: ServiceCalls): WaitingCall | undefined {
  return waiting.interactive[0] ?? waiting.summary[0]
}

function removeWaiting (update: SidecarUpdate, { ask, trafficClass }: WaitingCall): void {
  const waiting = update.sidecar.calls.waiting[trafficClass]
  replaceWaiting(update, trafficClass, waiting.filter((other) => other.ask !== ask))
}

function replaceWaiting (update: SidecarUpdate, trafficClass: TrafficClass, waiting: readonly WaitingCall[]): void {
  const { calls } = update.sidecar
  patchSidecar(update, { calls: { ...calls, waiting: { ...calls.waiting, [trafficClass]: waiting } } })
}

/** A waiting call reached its deadline. */
export const callDeadlineFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind !== 'first_output_deadline' || !timer.id.startsWith(WAIT_TIMER_PREFIX)) return
  const key = timer.id.slice(WAIT_TIMER_PREFIX.length)
  dropWaiting(update, 'deadline', (call) => attemptKey(call.ask) === key && call.deadlineAtMs <= update.atMs)
}

/**
 * Refuses calls that wait; those that run cannot be taken back.
 *
 * @param update - working copy
 * @param reason - told to the entry
 * @param isDropped - chooses the calls
 */
export function dropWaiting (update: SidecarUpdate, reason: RefusalReason, isDropped: (call: WaitingCall) => boolean): void {
  for (const trafficClass of CLASS_ORDER) {
    for (const call of update.sidecar.calls.waiting[trafficClass].filter(isDropped)) {
      removeWaiting(update, call)
      refuse(update, call.ask, 'not_run', reason, RETRY_AFTER_MS)
    }
  }
}

/**
 * Gives up the calls that run, when the process can wait no longer.
 *
 * @param update - working copy
 */
export function abandonCalls (update: SidecarUpdate): void {
  dropWaiting(update, 'draining', () => true)
  update.sidecar.calls.running.forEach((call) => {
    endCall(update, call)
    if (call.ask.idempotencyKey === '') refuse(update, call.ask, 'unknown', 'draining', 0)
  })
}

function refuse (update: SidecarUpdate, ask: CallAsk, outcome: NotRunOrUnknown, reason: RefusalReason, retryAfterMs: number): void {
  reply(update, ask, { type: 'refused', outcome, reason, retryAfterMs, load: viewLoad(update) })
  record(update, ask.requestId, 'call_refused', { attempt: ask.attempt, outcome, reason })
  countOne(update, 'call_refused', { outcome, reason })
}

function reply (update: SidecarUpdate, { requestId, attempt }: CallAsk, answer: CallReply): void {
  emit(update, { type: 'reply_call', requestId, attempt, reply: answer })
}
