/**
 * Reducer of the entry: applies each event to the state and returns the effects to carry out. It is
 * the single update path for all events.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import { indexCustomers } from '../customers/BendfallRouterCustomers.js'
import { returnOrphanedUnits, startAllotment, handleUnitsAnswer } from './BendfallRouterAllotment.js'
import { admit, dropHeldArrival, drainHeldArrivals } from './BendfallRouterArrival.js'
import { recordLedgerUnreachable } from './BendfallRouterReplicaHealth.js'
import { checkCapacity, takeCapacityMove } from './BendfallRouterCapacityMoves.js'
import type { NextStep, RouterContext, StepStarter } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RouterEffect } from './BendfallRouterEffects.js'
import { endCancelled, endCut, endRefused, isLateAt } from './BendfallRouterEnd.js'
import type { Arrival, RouterEvent, RouterEventOf } from './BendfallRouterEvents.js'
import { clearCrashes, disputeSuspects, recordAnswer, refuseCrashCause, refuseWaitingCauses, handleCrashReport, handleReplicaCheck, recordProvenAnswers, republishCrashes } from './BendfallRouterCrashes.js'
import { handleReplicaNotice } from './BendfallRouterNotice.js'
import { handleOriginAnswer, inferOrigin, requestsToInfer, startOrigin } from './BendfallRouterOrigin.js'
import { startPlain, handlePlainAnswer, handlePlainFailure, handlePlainTimeout, requestsInOvertime } from './BendfallRouterPlain.js'
import { nextPlainStart } from './BendfallRouterPlainWait.js'
import { balance, handleOrderAnswer } from './BendfallRouterPools.js'
import { startPrefill, handlePrefillAnswer, handlePrefillFailure } from './BendfallRouterPrefill.js'
import { startQueue, handleQueueAnswer } from './BendfallRouterPrefillQueue.js'
import { startConfirm, handleConfirmAnswer } from './BendfallRouterConfirm.js'
import { handleRegistrationRemoved, reapplyForeign, learnReplica, recordMissing } from './BendfallRouterRegistrations.js'
import { removePermitWaiters } from './BendfallRouterPermitWait.js'
import { forgetOldLimits, handlePermitsAnswer, learnLimits } from './BendfallRouterReplicaLimit.js'
import { learnInPlaceSpeed } from './BendfallRouterPrefillPlacement.js'
import { recordUsedResult } from './BendfallRouterPrefillResults.js'
import { recordRunOutcome } from './BendfallRouterRefusals.js'
import { startReserve, handleHoldAnswer, handleReserveAnswer } from './BendfallRouterReserve.js'
import { startRun, handleRunAnswer, handleRunFailure, handleRunTimeout } from './BendfallRouterRun.js'
import type { Phase, RequestState } from './BendfallRouterRequest.js'
import type { RoutedSince, RouterState } from './BendfallRouterState.js'
import type { RouterConfig } from '../BendfallRouterTypes.js'
import { recordQuery } from './BendfallRouterLoads.js'
import { detectPause, park, unpark } from './BendfallRouterPause.js'
import { reviewResumableSoftware, scheduleReview } from './BendfallRouterResumableRoutes.js'
import { recordOverdueCalls, recordUnanswered } from './BendfallRouterStalls.js'
import { confirmHistory } from '../streams/BendfallRouterSoftwareHistory.js'
import { bindSoftware } from './BendfallRouterStreamBinding.js'
import { recordConnectionRefused } from './BendfallRouterSuccession.js'
import { shrinkSubsets, updateSubset } from './BendfallRouterSubset.js'
import { servicesWithPriorities } from './BendfallRouterUrgency.js'

/** Lifetime of a prefill result when the configuration does not specify it. */
const DEFAULT_HANDLE_TTL_MS = 500

/** `Retry-After` for requests whose deadline passed before they were sent. */
const DEADLINE_RETRY_MS = 1_000

/** Prompt tokens that move to a prefill replica on one report of its load: what its ledger assigns to it at a time. */
const MAX_MOVED_PREFILL_TOKENS = 8_000

type StepType = Exclude<NonNullable<NextStep>['type'], 'refuse' | 'cut'>

const STEPS: Readonly<Record<StepType, StepStarter>> = {
  allotment: startAllotment,
  confirm: startConfirm,
  origin: startOrigin,
  plain: startPlain,
  prefill: startPrefill,
  queue: startQueue,
  reserve: startReserve,
  run: startRun
}

type Handler<T extends RouterEvent['type']> = (context: RouterContext, event: RouterEventOf<T>) => void

const HANDLERS: { readonly [T in RouterEvent['type']]: Handler<T> } = {
  answer_complete: (context, event) => withAttempt(context, event, (request) => {
    recordAnswer(context, request, event)
    return request.phase === 'plain' ? handlePlainAnswer(context, request, event) : handleRunAnswer(context, request, event)
  }),
  answer_started: (context, event) => withAttempt(context, event, (request) => {
    request.answerStartedAtMs = context.nowMs
    request.isAnsweredByFormer = event.isFormerProcess === true
    if (!request.isCommitted) recordResponseStart(context, request)
    if (!request.isCommitted && request.phase === 'run') recordRunOutcome(context, request.service, 'taken')
    if (!request.isCommitted && request.phase === 'run') recordUsedResult(context, request)
    if (!request.isCommitted) bindSoftware(context, request)
    request.isCommitted = true
    return undefined
  }),
  balance_due: balance,
  caller_left: (context, event) => {
    const request = context.state.requests.get(event.key)
    if (request !== undefined) endCancelled(context, request)
    else dropHeldArrival(context, event.key)
  },
  capacity_check_due: (context, event) => withAttempt(context, event, (request) => {
    checkCapacity(context, request)
    return undefined
  }),
  config_learned: (context, event) => applyConfig(context, event),
  config_proven: ({ state }, { provenAtMs }) => { state.configVerifiedAtMs = Math.max(state.configVerifiedAtMs, provenAtMs) },
  connection_refused: (context, event) => recordConnectionRefused(context, event.address),
  confirm_answered: (context, event) => inPhase(context, event, 'confirm', (request) => handleConfirmAnswer(context, request, event.outcome)),
  crash_report_learned: (context, event) => {
    handleCrashReport(context, event)
    refuseWaiting(context)
  },
  crashes_cleared: clearCrashes,
  crashes_untold: republishCrashes,
  deadline_passed: (context, event) => {
    const request = context.state.requests.get(event.key)
    if (request === undefined) return
    recordUnanswered(context, request)
    advance(context, request, endAtDeadline(request))
  },
  hold_answered: (context, event) => inPhase(context, event, 'hold', (request) => handleHoldAnswer(context, request, event.outcome)),
  ledger_lost: (context, event) => {
    const view = context.state.replicas.get(event.replicaId)
    if (view === undefined) return
    view.load = undefined
    view.loadAtMs = -Infinity
    recordLedgerUnreachable(view, context.nowMs)
  },
  limits_learned: learnLimits,
  load_learned: (context, event) => {
    const view = context.state.replicas.get(event.load.replicaId)
    if (view === undefined) return
    view.load = event.load
    view.ledgerFailures = 0
    view.ledgerDownUntilMs = -Infinity
    view.loadAtMs = event.atMs
    view.bookedTokensSinceLoad = 0
    view.prefillTokensSinceLoad = 0
    if (event.load.limitPerS !== undefined) learnLimits(context, { limits: [{ processName: formatProcessName(view.replica), perS: event.load.limitPerS }] })
    if (event.load.isLeaving === true) handleReplicaNotice(context, { replicaId: event.load.replicaId, notice: { isLeaving: true } })
    moveToCapacity(context, event.load.replicaId)
  },
  loads_answered: (context, event) => inPhase(context, event, 'loads', (request) => {
    recordQuery(context, request)
    return request.stepAfterLoads === undefined ? undefined : { type: request.stepAfterLoads }
  }),
  order_answered: handleOrderAnswer,
  origin_answered: (context, event) => inPhase(context, event, 'origin', (request) => handleOriginAnswer(context, request, event.outcome)),
  permits_answered: (context, event) => {
    handlePermitsAnswer(context, event)
    for (const { request, step } of removePermitWaiters(context, event.replicaId)) advance(context, request, { type: step })
  },
  // The calls that may start are started after each event. Timers may fire a moment early, so that another one is needed.
  plain_wake_due: ({ state }, { service }) => {
    const queue = state.plainQueues.get(service)
    if (queue !== undefined) queue.wakeAtMs = Infinity
  },
  prefill_answered: (context, event) => inPhase(context, event, 'prefill', (request) =>
    handlePrefillAnswer(context, request, event.outcome, handleTtlMs(context.state, request))),
  prefill_queue_answered: (context, event) => inPhase(context, event, 'queue', (request) => handleQueueAnswer(context, request, event.outcome)),
  replica_checked: (context, event) => {
    handleReplicaCheck(context, event)
    refuseWaiting(context)
  },
  replica_spoke: handleReplicaNotice,
  replicas_missing: (context, event) => recordMissing(context, event.replicaIds),
  replicas_current: ({ nowMs, state }) => {
    state.replicasCurrentAtMs = nowMs
    confirmHistory(state.softwareHistory, nowMs)
  },
  replicas_refreshed: (context, { requestedAtMs = context.nowMs }) => {
    for (const { request, step } of unpark(context)) advance(context, request, { type: step })
    for (const arrival of drainHeldArrivals(context.state)) handleArrival(context, arrival)
    for (const request of requestsToInfer(context.state, requestedAtMs)) advance(context, request, inferOrigin(context, request))
  },
  replicas_changed: (context, event) => {
    for (const replicaId of event.gone) handleRegistrationRemoved(context, replicaId)
    for (const replica of event.present) {
      scheduleReview(context, replica)
      learnReplica(context, replica)
    }
    updateSubset(context.state)
  },
  resumable_software_learned: ({ state }, { software }) => { state.resumableSoftware = software },
  request_arrived: (context, event) => handleArrival(context, event.arrival),
  reserve_answered: (context, event) => inPhase(context, event, 'reserve', (request) => handleReserveAnswer(context, request, event.outcome)),
  run_failed: (context, event) => withAttempt(context, event, (request) =>
    request.phase === 'plain' ? handlePlainFailure(context, request, event.failure) : handleRunFailure(context, request, event)),
  stop_asked: (context, event) => { context.state.stop = { askedAtMs: event.atMs, killAtMs: event.atMs + event.graceMs } },
  time_passed: (context) => {
    reviewResumableSoftware(context)
    recordOverdueCalls(context)
    for (const request of requestsInOvertime(context)) advance(context, request, handlePlainTimeout(context, request))
    forgetOldLimits(context)
    shrinkSubsets(context)
    recordProvenAnswers(context)
    disputeSuspects(context)
  },
  try_timed_out: (context, event) => withAttempt(context, event, (request) => {
    logDecision(context, request, 'try_timed_out', { replica: request.runReplicaId ?? request.prefillReplicaId, phase: request.phase })
    if (request.phase === 'prefill') return handlePrefillFailure(context, request, 'unknown')
    if (request.isCommitted) return undefined
    if (request.phase === 'run') return handleRunTimeout(context, request)
    return request.phase === 'plain' ? handlePlainTimeout(context, request) : undefined
  }),
  units_answered: (context, event) => {
    returnOrphanedUnits(context, event)
    inPhase(context, event, 'allotment', (request) => handleUnitsAnswer(context, request, event))
  }
}

/**
 * Applies one event to the state.
 *
 * @param state - state of the entry, changed in place; no other code may change it
 * @param event - event with its monotonic time
 * @returns effects in the order in which they are carried out
 */
export function reduceRouter (state: RouterState, event: RouterEvent): RouterEffect[] {
  const context: RouterContext = { state, nowMs: event.atMs, sinceLastEventMs: event.atMs - state.lastEventAtMs, unixMs: event.unixMs, effects: [] }
  detectPause(context, event.suspendedMs)
  const handle = HANDLERS[event.type] as Handler<RouterEvent['type']>
  handle(context, event)
  for (let start = nextPlainStart(context); start !== undefined; start = nextPlainStart(context)) advance(context, start.request, start.next)
  return context.effects
}

function handleArrival (context: RouterContext, arrival: Arrival): void {
  const admitted = admit(context, arrival)
  if (admitted !== undefined) advance(context, admitted.request, admitted.next)
}

// The backlog of a prefill replica shows a prompt only after its memory is booked; without a bound all that wait would move on the same news.
function moveToCapacity (context: RouterContext, replicaId: string): void {
  let queuedTokens = 0
  for (let move = takeCapacityMove(context, replicaId); move !== undefined; move = takeCapacityMove(context, replicaId)) {
    if (move.next.type === 'queue') queuedTokens += move.request.prompt?.promptTokens ?? 0
    advance(context, move.request, move.next)
    if (queuedTokens >= MAX_MOVED_PREFILL_TOKENS) return
  }
}

function refuseWaiting (context: RouterContext): void {
  for (const { next, request } of refuseWaitingCauses(context)) advance(context, request, next)
}

function withAttempt (context: RouterContext, event: { readonly key: string, readonly attempt: number }, take: (request: RequestState) => NextStep): void {
  const request = context.state.requests.get(event.key)
  if (request === undefined || request.attempt !== event.attempt) return
  advance(context, request, take(request))
}

// Ignores responses to other calls of the same attempt, such as an announcement that no step waits
// for; handling one would send the request again.
function inPhase (context: RouterContext, event: { readonly key: string, readonly attempt: number }, phase: Phase, take: (request: RequestState) => NextStep): void {
  withAttempt(context, event, (request) => request.phase === phase ? take(request) : undefined)
}

function advance (context: RouterContext, request: RequestState, first: NextStep): void {
  for (let next = first; next !== undefined;) {
    if (next.type === 'refuse') return endRefused(context, request, next.status, next.reason, next.retryAfterMs)
    if (next.type === 'cut') return endCut(context, request, next.reason)
    if (context.state.isRefreshPending) return park(request, next.type)
    next = refuseCrashCause(context, request) ?? STEPS[next.type](context, request)
  }
}

function endAtDeadline (request: RequestState): NextStep {
  if (request.isCommitted) return { type: 'cut', reason: 'deadline' }
  if (request.runs > 0) return { type: 'refuse', status: 504, reason: 'deadline' }
  return { type: 'refuse', status: 503, reason: 'deadline', retryAfterMs: DEADLINE_RETRY_MS }
}

function recordResponseStart (context: RouterContext, request: RequestState): void {
  request.isLate = isLateAt(request, context.nowMs)
  const sinceSentMs = Math.round(context.nowMs - (request.runSentAtMs ?? context.nowMs))
  learnInPlaceSpeed(context.state, request, sinceSentMs)
  logDecision(context, request, 'answer_started', { route: request.route.name, replica: request.runReplicaId, sinceSentMs, reading: request.reading, isLate: request.isLate })
}

function applyConfig (context: RouterContext, { config }: RouterEventOf<'config_learned'>): void {
  const { state } = context
  const previous = state.config?.version
  if (previous === config.version) return
  const isNewer = previous === undefined || config.version > previous
  if (isNewer) {
    state.config = config
    state.customerIndex = indexCustomers(config)
    state.prioritizedServices = servicesWithPriorities(config)
    state.routedSinceMs = updateRoutedSince(context, config)
    reapplyForeign(context)
    updateSubset(state)
  }
  context.effects.push({ type: 'log', decision: isNewer ? 'config_in_force' : 'config_ignored', requestId: '', inputs: { version: config.version, former: previous, routes: config.routes.length, customers: config.customers?.length } })
}

function updateRoutedSince ({ nowMs, state }: RouterContext, { routes }: RouterConfig): Map<string, RoutedSince> {
  return new Map(routes.map(({ name, services }) => {
    const names = services.map(({ service }) => service).sort().join(' ')
    const known = state.routedSinceMs.get(name)
    return [name, known?.services === names ? known : { services: names, sinceMs: nowMs }]
  }))
}

function handleTtlMs (state: RouterState, request: RequestState): number {
  const service = state.config?.services.find((one) => one.name === request.service)
  return service?.engine?.handleTtlMs ?? DEFAULT_HANDLE_TTL_MS
}
