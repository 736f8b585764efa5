/**
 * Makes plain calls wait for a place at a replica while limits permit none, and starts them in their
 * order as soon as one is free.
 *
 * @module
 */
import { advanceLimit, createFirstLimit, isLimitObsolete, lowerLimit, placeFreeInMs, raiseForQuickAnswer, usePlace } from '../plain/BendfallRouterPlainLimit.js'
import type { PlainLimit } from '../plain/BendfallRouterPlainLimit.js'
import { startTrial } from '../plain/BendfallRouterPlainTrial.js'
import { canWait, forecastWaitMs, hopelessAtMs, isExpectedOnTime, spreadRetryMs } from '../plain/BendfallRouterPlainForecast.js'
import { positionOf } from '../plain/BendfallRouterPlainOrder.js'
import type { WaitingCall } from '../plain/BendfallRouterPlainOrder.js'
import { recordWait } from '../BendfallRouterForecastError.js'
import { recordOnTime } from '../BendfallRouterOnTimeLoad.js'
import { maxRetryMs, targetAtMs } from './BendfallRouterCallerTime.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision, remainingMs } from './BendfallRouterContext.js'
import { failureShareOf, hasQueue, isIdle, meanLatencyMs, queuedLatencyMs } from './BendfallRouterEstimates.js'
import { capacityOf, createPlainLoad } from './BendfallRouterPlainCapacity.js'
import type { PlainLoad } from './BendfallRouterPlainCapacity.js'
import { usableReplicas } from './BendfallRouterReplicaHealth.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouterState } from './BendfallRouterState.js'
import { endWaitTime, startWaitTime } from './BendfallRouterWaitTimes.js'

/** Lower bound of the time until a wake-up; timers of the runtime are no finer. */
const MIN_WAKE_MS = 1

/** Share of failed calls that shows a load even if answers are quick; retries make up for fewer refusals. */
const OVERLOAD_REFUSED_SHARE = 0.3

/** A call that waits, and what was forecast for it. */
interface QueuedCall extends WaitingCall {
  readonly key: string
  readonly sinceMs: number
  readonly forecastMs: number
  isLate: boolean
}

/** Calls of one service that wait for a place. */
export interface PlainQueue extends PlainLoad {
  /** In the order in which they are served. */
  readonly waiting: QueuedCall[]
  /** When the next wake-up is due; Infinity if none is pending. */
  wakeAtMs: number
}

/** Request that stops waiting, with its next step. */
export interface PlainStart {
  readonly request: RequestState
  readonly next: NextStep
}

/**
 * Checks whether a request is subject to the limits of plain replicas.
 *
 * @param state - state of the entry
 * @param request - request to send
 * @returns false for prompts, and where the mechanism is switched off
 */
export function isLimited ({ decisions }: RouterState, { route }: RequestState): boolean {
  return decisions.plainOverload === 'queued' && !route.hasPrompt
}

/**
 * Returns the replicas that may be sent a call now.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to send
 * @param usable - replicas that it may be sent to at all
 * @returns those of them whose limit permits a call; none while other calls wait before it
 */
export function replicasWithPlace ({ nowMs, state }: RouterContext, request: RequestState, usable: readonly ReplicaView[]): ReplicaView[] {
  if (!isLimited(state, request)) return [...usable]
  updateLimits(usable, nowMs)
  if (request.hasPlainTurn !== true && (state.plainQueues.get(request.service)?.waiting.length ?? 0) > 0) return []
  return usable.filter((view) => placeFreeInMs(view.plainLimit, view.inFlight, nowMs) === 0)
}

function updateLimits (usable: readonly ReplicaView[], nowMs: number): void {
  const limits = usable.flatMap(({ plainLimit }) => plainLimit ?? [])
  if (limits.length === 0) return
  for (const view of usable) updateLimit(view, usable, limits, nowMs)
}

function updateLimit (view: ReplicaView, usable: readonly ReplicaView[], limits: readonly PlainLimit[], nowMs: number): void {
  const isUnused = view.latencyAtMs === -Infinity && view.inFlight === 0
  if (view.plainLimit === undefined && isUnused) view.plainLimit = createFirstLimit(limits, nowMs)
  if (view.plainLimit === undefined) return
  if (isLimitObsolete(view.plainLimit, view.inFlight, nowMs)) view.plainLimit = undefined
  else advanceLimit(view.plainLimit, meanLatencyMs(view) / queuedLatencyMs(view, usable), nowMs)
}

/**
 * Uses a place at a replica for a call that is sent now.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that is sent
 * @param view - replica that the call goes to
 * @param hasWaited - whether it waited for the place
 */
export function takePlace ({ nowMs, state }: RouterContext, request: RequestState, view: ReplicaView, hasWaited: boolean): void {
  const queue = state.plainQueues.get(request.service)
  if (queue !== undefined && !hasWaited) recordOnTime(queue.onTimeLoad, request.priority, 1, nowMs)
  for (const limit of [view.plainLimit, view.trial]) if (limit !== undefined) usePlace(limit, view.inFlight, meanLatencyMs(view), nowMs)
}

/**
 * Starts the trial of a plain replica that came back or lost a connection.
 *
 * @param context - state, time and effects of the current event
 * @param view - the replica
 */
export function tryReplica ({ nowMs, state }: RouterContext, view: ReplicaView): void {
  if (state.decisions.plainReturn === 'few_first' && view.replica.stage === 'plain') view.trial = startTrial(draw(state), nowMs)
}

/**
 * Checks whether the refusal of a call tells that its replica is overloaded. A replica that refuses
 * some calls for another reason answers the others as quickly as ever; a limit would only keep calls
 * from it.
 *
 * @param context - state, time and effects of the current event
 * @param request - refused request
 * @param view - replica that refused it
 * @returns false where the request is to be sent to another replica at once
 */
export function isOverloadRefusal ({ nowMs, state }: RouterContext, request: RequestState, view: ReplicaView): boolean {
  if (!isLimited(state, request)) return false
  const others = replicasOf(state, request)
  return others.some(({ plainLimit }) => plainLimit !== undefined) || hasQueue(view, others) || failureShareOf(view, nowMs) > OVERLOAD_REFUSED_SHARE
}

/**
 * Raises the limit of a replica that answered a call and has no queue.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that it answered
 * @param view - the replica
 */
export function recordPlainAnswer ({ state }: RouterContext, request: RequestState, view: ReplicaView): void {
  const others = replicasOf(state, request)
  // In a process that started into an overload it is not known how long answers take without a queue.
  if (view.plainLimit !== undefined && queuedLatencyMs(view, others) < Infinity && isIdle(view, others)) raiseForQuickAnswer(view.plainLimit)
}

/**
 * Lowers the limit of the replica that refused a call.
 *
 * @param context - state, time and effects of the current event
 * @param request - refused request, still assigned to the replica
 * @param view - the replica
 */
export function recordPlainRefusal (context: RouterContext, request: RequestState, view: ReplicaView): void {
  const previous = view.plainLimit?.calls
  view.plainLimit = lowerLimit(view.plainLimit, view.inFlight, request.runSentAtMs ?? context.nowMs, context.nowMs)
  logDecision(context, request, 'plain_limit_lowered', { replica: view.replica.replicaId, service: request.service, inFlight: view.inFlight, previous: roundOrAbsent(previous), limit: round(view.plainLimit.calls), latencyMs: Math.round(view.latencyMs) })
}

/**
 * Makes a call wait whose usable replicas have no place, or refuses it at once if it can't be served in time.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to send
 * @param usable - replicas that it may be sent to
 * @returns undefined if it waits, else the refusal
 */
export function awaitPlace (context: RouterContext, request: RequestState, usable: readonly ReplicaView[]): NextStep {
  const { nowMs, state } = context
  const queue = getOrCreateQueue(state, request.service)
  const capacity = capacityOf(usable, queue, nowMs)
  const dueAtMs = state.decisions.late === 'behind' ? targetAtMs(request) : request.deadlineAtMs
  const call = { key: request.key, priority: request.priority, deadlineAtMs: request.deadlineAtMs, targetAtMs: dueAtMs, sinceMs: nowMs, isLate: false }
  call.isLate = state.decisions.late === 'behind' && !isExpectedOnTime(call, queue.waiting, capacity, nowMs)
  if (!call.isLate) recordOnTime(queue.onTimeLoad, request.priority, 1, nowMs)
  const ahead = positionOf(queue.waiting, call)
  const forecastMs = forecastWaitMs(call, capacity, ahead)
  const inputs = { service: request.service, waiting: queue.waiting.length, ahead, isLate: call.isLate, onTimePerS: round(capacity.onTimePerMs(request.priority) * 1_000), perS: round(capacity.perMs * 1_000), responseMs: Math.round(capacity.responseMs), forecastMs: Math.round(forecastMs), forecastRatio: round(queue.error.highRatio), remainingMs: Math.round(remainingMs(context, request)) }
  if (!canWait(call, queue.waiting, capacity, nowMs)) {
    logDecision(context, request, 'plain_wait_refused', inputs)
    return refuseOverload(context, request, forecastMs)
  }
  logDecision(context, request, 'plain_waits', inputs)
  queue.waiting.splice(ahead, 0, { ...call, forecastMs })
  request.phase = 'place'
  request.attempt += 1
  startWaitTime(context, request, 'place')
  return undefined
}

/**
 * Refuses a call that no replica has room for.
 *
 * @param context - state, time and effects of the current event
 * @param request - request to refuse
 * @param waitMs - expected wait for a place
 * @returns the refusal, or the abort of a started response
 */
export function refuseOverload (context: RouterContext, request: RequestState, waitMs: number): NextStep {
  if (request.isCommitted) return { type: 'cut', reason: 'overloaded' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'replica_failed' }
  return { type: 'refuse', status: 503, reason: 'overloaded', retryAfterMs: spreadRetryMs(maxRetryMs(context, request), waitMs, draw(context.state)) }
}

/**
 * Removes the next call from a queue that may start or is known to be out of time. Returns the
 * calls one by one, since each start changes the places that are free.
 *
 * @param context - state, time and effects of the current event
 * @returns the request and its next step; undefined if all others go on waiting
 */
export function nextPlainStart (context: RouterContext): PlainStart | undefined {
  const { state } = context
  if (state.isRefreshPending) return undefined
  for (const [service, queue] of state.plainQueues) {
    const start = queue.waiting.length === 0 ? undefined : nextStartOf(context, service, queue)
    if (start !== undefined) return start
  }
  return undefined
}

function nextStartOf (context: RouterContext, service: string, queue: PlainQueue): PlainStart | undefined {
  const { nowMs } = context
  moveLateCalls(context, queue)
  let freeInMs = Infinity
  for (const call of queue.waiting) {
    const request = requestOf(context, call)
    const usable = usableReplicas(context, request, 'plain')
    updateLimits(usable, nowMs)
    freeInMs = Math.min(freeInMs, ...usable.map((view) => placeFreeInMs(view.plainLimit, view.inFlight, nowMs)))
    if (usable.length === 0 || (freeInMs === 0 && request.deadlineAtMs > nowMs)) return startNow(context, queue, call)
    if (request.excluded.size === 0) break
  }
  const { call, hopelessInMs } = nextHopeless(context, queue)
  if (call !== undefined && hopelessInMs < 0) return refuseHopeless(context, queue, call)
  wakeIn(context, service, queue, Math.min(freeInMs, hopelessInMs + MIN_WAKE_MS))
  return undefined
}

// Calls that can't meet their targets any more go behind those that can.
function moveLateCalls (context: RouterContext, { pace, waiting }: PlainQueue): void {
  const isPastTarget = (call: QueuedCall): boolean => !call.isLate && context.nowMs + pace.meanResponseMs > call.targetAtMs
  for (let call = waiting.find(isPastTarget); call !== undefined; call = waiting.find(isPastTarget)) {
    waiting.splice(waiting.indexOf(call), 1)
    call.isLate = true
    waiting.splice(positionOf(waiting, call), 0, call)
  }
}

// The call that is out of time, or will be first. Replicas that leave or slow down change this for calls that wait.
function nextHopeless (context: RouterContext, queue: PlainQueue): { readonly call?: QueuedCall, readonly hopelessInMs: number } {
  const { nowMs } = context
  const usable = usableReplicas(context, requestOf(context, queue.waiting[0] as QueuedCall), 'plain')
  const capacity = capacityOf(usable, queue, nowMs)
  let [next, nextAtMs]: [QueuedCall | undefined, number] = [undefined, Infinity]
  for (const [ahead, call] of queue.waiting.entries()) {
    const atMs = hopelessAtMs(call, ahead, capacity)
    if (atMs < nextAtMs) [next, nextAtMs] = [call, atMs]
  }
  return { call: next, hopelessInMs: nextAtMs - nowMs }
}

function refuseHopeless (context: RouterContext, queue: PlainQueue, call: QueuedCall): PlainStart {
  const request = requestOf(context, call)
  const usable = usableReplicas(context, request, 'plain')
  const forecastMs = forecastWaitMs(call, capacityOf(usable, queue, context.nowMs), queue.waiting.indexOf(call))
  recordWait(queue.error, call.forecastMs, Infinity, context.nowMs)
  endPlainWait(context, request)
  request.hasPlainTurn = true
  logDecision(context, request, 'plain_wait_ended', { service: request.service, waitedMs: Math.round(context.nowMs - call.sinceMs), forecastMs: Math.round(forecastMs) })
  return { request, next: refuseOverload(context, request, forecastMs) }
}

function startNow (context: RouterContext, queue: PlainQueue, call: QueuedCall): PlainStart {
  const request = requestOf(context, call)
  endWaitTime(context, request)
  recordWait(queue.error, call.forecastMs, context.nowMs - call.sinceMs, context.nowMs)
  endPlainWait(context, request)
  request.hasPlainTurn = true
  return { request, next: { type: 'plain' } }
}

// A request leaves the queue whenever its wait ends, so that each call has its request.
function requestOf ({ state }: RouterContext, { key }: QueuedCall): RequestState {
  return state.requests.get(key) as RequestState
}

function wakeIn ({ effects, nowMs }: RouterContext, service: string, queue: PlainQueue, inMs: number): void {
  const wakeAtMs = nowMs + Math.max(MIN_WAKE_MS, inMs)
  if (wakeAtMs === Infinity || (queue.wakeAtMs > nowMs && queue.wakeAtMs <= wakeAtMs)) return
  queue.wakeAtMs = wakeAtMs
  effects.push({ type: 'wake_plain', service, inMs: wakeAtMs - nowMs })
}

/**
 * Removes a request from the queue of its service.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that no longer waits
 */
export function endPlainWait ({ state }: RouterContext, request: RequestState): void {
  const waiting = state.plainQueues.get(request.service)?.waiting ?? []
  const index = waiting.findIndex(({ key }) => key === request.key)
  if (index >= 0) waiting.splice(index, 1)
}

function replicasOf ({ usedByService }: RouterState, { service }: RequestState): readonly ReplicaView[] {
  return usedByService.get(service) ?? []
}

function getOrCreateQueue ({ plainQueues }: RouterState, service: string): PlainQueue {
  const known: PlainQueue = plainQueues.get(service) ?? { waiting: [], ...createPlainLoad(), wakeAtMs: Infinity }
  plainQueues.set(service, known)
  return known
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

function roundOrAbsent (value: number | undefined): number | undefined {
  return value === undefined ? undefined : round(value)
}
