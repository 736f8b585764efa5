/**
 * Prefills the prompt of a request on a prefill replica once its decode memory is booked. If that
 * fails, another prefill replica or the decode replica itself processes the prompt.
 *
 * @module
 */
import { startOf } from './BendfallRouterAnsweringProcess.js'
import { recordFailure, recordSuccess } from './BendfallRouterReplicaHealth.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision, registrationsAgeMs, remainingMs } from './BendfallRouterContext.js'
import { recordConnectionLost } from './BendfallRouterCrashes.js'
import { releasePrefill, releasePrefillSlot } from './BendfallRouterEnd.js'
import type { PrefillOutcome, SendFailure } from './BendfallRouterEvents.js'
import { requestLoads } from './BendfallRouterLoads.js'
import { backlogTokensOf, currentTimeFactor, planPrefill, PREFILL_OVERHEAD_MS, timeFactorWeight } from './BendfallRouterPrefillPlan.js'
import { hasNotRun, authorizeRetry } from './BendfallRouterRetry.js'
import { reserveSends, recordPrefillProcessed, recordSendFailure, chargeSend, refuseOverBudget, sendPrefill } from './BendfallRouterSend.js'
import { TICK_MS } from './BendfallRouterPause.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Weight of the newest prefill in the moving average of the prefill speed. */
const SPEED_WEIGHT = 0.05

/** Weight of the newest prefill in a replica's time factor; replicas of one service differ by a third. */
const TIME_FACTOR_WEIGHT = 0.1

/** Maximum of that weight, for the first prefill in a long time: one prefill must not decide. */
const MAX_TIME_FACTOR_WEIGHT = 0.4

/** Maximum ratio between actual and expected duration, in either direction, that one prefill contributes. */
const MAX_TIME_RATIO = 3

/** Timeout of a prefill, as a multiple of its expected duration; 99 of 100 prefills on busy replicas took less. */
const TIMEOUT_FACTOR = 2.5

/** Added to that timeout for queueing that was not predicted. */
const TIMEOUT_EXTRA_MS = 150

/**
 * Sends the prompt to the prefill replica that is expected to finish first. Without a prefill
 * replica, the decode replica processes the prompt itself.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose decode memory is booked
 * @returns the next step
 */
export function startPrefill (context: RouterContext, request: RequestState): NextStep {
  if (requestLoads(context, request, 'prefill')) return undefined
  const zone = context.state.replicas.get(request.reservedReplicaId ?? '')?.replica.availabilityZone
  const plan = planPrefill(context, request, zone)
  if (plan === undefined) {
    request.reading = 'in_place_only'
    return { type: 'run' }
  }
  const { view, leadMs } = plan
  const charge = chargeSend(context, request, view)
  if (charge === 'closed' || charge === 'unpaid') return refuseOverBudget(request)
  const { address, replicaId } = view.replica
  request.phase = 'prefill'
  request.attempt += 1
  request.sends += 1
  request.prefillReplicaId = replicaId
  request.sentTo = { replicaId, startedAtMs: view.replica.startedAtMs, sentAtMs: context.nowMs }
  request.prefillSentAtMs = context.nowMs
  request.answerStartedAtMs = undefined
  request.isAnsweredByFormer = undefined
  const promptTokens = request.prompt?.promptTokens ?? 0
  request.isPrefillAlone = backlogTokensOf(view) === 0
  request.prefillLeadMs = leadMs
  request.prefillBookingId = claimPrefillSlot(context, request, replicaId) ?? `${request.requestId}/${request.attempt}`
  view.prefillTokens += promptTokens
  view.prefillTokensSinceLoad += promptTokens
  context.effects.push({ type: 'announce_prefill', replicaId, bookingId: request.prefillBookingId, promptTokens })
  sendPrefill(context, request, charge, {
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    deadlineMs: remainingMs(context, request),
    tryTimeoutMs: leadMs * TIMEOUT_FACTOR + TIMEOUT_EXTRA_MS
  }, { replica: replicaId, leadMs: Math.round(leadMs), timeFactor: currentTimeFactor(context, view).toFixed(2), backlogTokens: backlogTokensOf(view) - promptTokens, registrationsAgeMs: registrationsAgeMs(context), attempt: request.attempt })
  return undefined
}

/**
 * Handles the outcome of a prefill call.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that the prefill belongs to
 * @param outcome - handle of the prefill result, or how the call failed
 * @param handleTtlMs - time for which the replica keeps the result
 * @returns the next step
 */
export function handlePrefillAnswer (context: RouterContext, request: RequestState, outcome: PrefillOutcome, handleTtlMs: number): NextStep {
  const replicaId = request.prefillReplicaId ?? ''
  const view = context.state.replicas.get(replicaId)
  if (outcome.type === 'failed') return handlePrefillFailure(context, request, outcome.failure)
  recordPrefillProcessed(context, request)
  const tookMs = context.nowMs - (request.prefillSentAtMs ?? context.nowMs)
  if (view !== undefined) {
    learnSpeed(context, request, tookMs)
    learnTimeFactor(context, view, tookMs, request.prefillLeadMs)
    recordSuccess(view, context.nowMs)
    request.handle = { replicaId, startedAtMs: startOf(view), address: view.replica.address, handle: outcome.handle, expiresAtMs: earliestReadyAtMs(context) + handleTtlMs }
  }
  releasePrefill(context, request)
  logDecision(context, request, 'prefill_done', { replica: replicaId, tookMs: Math.round(tookMs) })
  return { type: 'confirm' }
}

/**
 * Handles a failed prefill: retries on another prefill replica, or lets the decode replica process
 * the prompt if no retry is allowed.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that the prefill belongs to
 * @param failure - how the call failed, which decides whether it may have run
 * @returns the next step
 */
export function handlePrefillFailure (context: RouterContext, request: RequestState, failure: SendFailure): NextStep {
  const replicaId = request.prefillReplicaId ?? ''
  const view = context.state.replicas.get(replicaId)
  if (failure === 'connection_lost') recordConnectionLost(context, request)
  if (view !== undefined) recordFailure(view, context.nowMs, failure)
  request.excluded.add(replicaId)
  releasePrefill(context, request)
  recordSendFailure(context, request, failure)
  // A call that was not sent is refunded above; the first one that a replica may process is free as well.
  if (!hasNotRun(failure)) recordPrefillProcessed(context, request)
  context.effects.push({ type: 'abort_send', key: request.key })
  // A prefill is idempotent, so it may be retried even if it has run.
  const isRetried = authorizeRetry(context, request, hasNotRun(failure) ? failure : 'not_run')
  logDecision(context, request, 'prefill_failed', { replica: replicaId, failure, isRetried })
  if (isRetried) return { type: 'prefill' }
  request.reading = 'in_place_only'
  return reserveSends(context, request, 1) ? { type: 'run' } : refuseOverBudget(request)
}

// Ticks are events too, so a longer gap means that this process was paused and that the response may
// have been waiting for the whole gap.
function earliestReadyAtMs ({ nowMs, sinceLastEventMs }: RouterContext): number {
  return sinceLastEventMs > TICK_MS ? nowMs - sinceLastEventMs : nowMs
}

// A slot at the chosen replica becomes the booking of the prompt; any other slot is released.
function claimPrefillSlot (context: RouterContext, request: RequestState, replicaId: string): string | undefined {
  const { prefillSlot } = request
  if (prefillSlot?.replicaId !== replicaId) {
    releasePrefillSlot(context, request)
    return undefined
  }
  request.prefillSlot = undefined
  return prefillSlot.bookingId
}

// The older the known factor, the more the new prefill counts.
function learnTimeFactor (context: RouterContext, view: ReplicaView, tookMs: number, leadMs: number | undefined): void {
  if (leadMs === undefined || leadMs <= 0) return
  const known = currentTimeFactor(context, view)
  const timeFactor = known * Math.min(MAX_TIME_RATIO, Math.max(1 / MAX_TIME_RATIO, tookMs / leadMs))
  const weight = Math.min(MAX_TIME_FACTOR_WEIGHT, 1 - (1 - TIME_FACTOR_WEIGHT) * timeFactorWeight(context, view))
  view.prefillTimeFactor = known + weight * (timeFactor - known)
  view.prefillTimeFactorAtMs = context.nowMs
}

// Only a prefill that had the replica to itself yields a valid speed sample.
function learnSpeed ({ state }: RouterContext, request: RequestState, tookMs: number): void {
  const promptTokens = request.prompt?.promptTokens ?? 0
  if (promptTokens === 0 || request.isPrefillAlone !== true) return
  state.prefillMsPerToken += SPEED_WEIGHT * (Math.max(0, tookMs - PREFILL_OVERHEAD_MS) / promptTokens - state.prefillMsPerToken)
}
