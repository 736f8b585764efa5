/**
 * Makes requests wait for a prefill slot before they book decode memory, so that no memory is held
 * for a queued prompt.
 *
 * @module
 */
import { NO_QUEUE_BACKLOG_TOKENS, startCapacityWait } from './BendfallRouterCapacityMoves.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { recordLedgerUnreachable, usableReplicas } from './BendfallRouterReplicaHealth.js'
import { releasePrefillSlot } from './BendfallRouterEnd.js'
import type { ReserveOutcome } from './BendfallRouterEvents.js'
import { requestLoads, candidateReplicas } from './BendfallRouterLoads.js'
import { chooseMemoryOption } from './BendfallRouterMemoryOptions.js'
import { refuseBackoff } from './BendfallRouterNotice.js'
import { backlogTokensOf, idleLeadMs, planPrefill } from './BendfallRouterPrefillPlan.js'
import { awaitPermit } from './BendfallRouterPermitWait.js'
import { requestMissingPermits } from './BendfallRouterPermits.js'
import { canPrefillNow, choosePrefillPlacement } from './BendfallRouterPrefillPlacement.js'
import { reserveExpectedRuns, refusedShare } from './BendfallRouterRefusals.js'
import { isContinuation, computeMaxWaitMs, computeOnTimeWaitMs, refuseForCapacity } from './BendfallRouterReserve.js'
import type { RequestState } from './BendfallRouterRequest.js'
import { shareOf } from './BendfallRouterShares.js'
import { growSubset } from './BendfallRouterSubset.js'
import { endWaitTime, startWaitTime } from './BendfallRouterWaitTimes.js'
import { widenSample } from './BendfallRouterWidening.js'

/** `Retry-After` while most runs are refused; recent refusals have decayed to half their weight by then. */
const MOSTLY_REFUSED_RETRY_MS = 2_000

/**
 * Requests a slot in the queue of the prefill replica that is expected to finish first.
 *
 * @param context - state, time and effects of the current event
 * @param request - request with a prompt
 * @returns the next step
 */
export function startQueue (context: RouterContext, request: RequestState): NextStep {
  requestMissingPermits(context, request, 'prefill')
  requestMissingPermits(context, request, 'decode')
  if (requestLoads(context, request, 'queue')) return undefined
  const limited = awaitPermit(context, request, 'decode', 'queue')
  if (limited !== undefined) return limited.next
  const refused = refuseBackoff(context, request, 'decode')
  if (refused !== undefined) return refused
  request.reading = choosePrefillPlacement(context, request)
  if (request.reading === 'apart' && !reserveExpectedRuns(context, request)) return avoidWastedPrefill(context, request)
  const plan = planPrefill(context, request)
  if (plan === undefined) return { type: 'reserve' }
  if (context.state.decisions.prefillSlots === 'none') return { type: 'reserve' }
  const { view } = plan
  const backlogTokens = backlogTokensOf(view)
  if (backlogTokens < NO_QUEUE_BACKLOG_TOKENS || view.ledgerDownUntilMs > context.nowMs) return { type: 'reserve' }
  if (growSubset(context, request, 'prefill')) {
    // The loads of the replicas that the subset has gained are not known yet.
    request.loadsRequestedAtMs = -Infinity
    return { type: 'queue' }
  }
  const leadMs = idleLeadMs(context, request, view)
  const maxWaitMs = computeMaxWaitMs(context, request, leadMs)
  if (maxWaitMs <= 0 || !isMemoryExpected(context, request, maxWaitMs + leadMs)) return { type: 'reserve' }
  const { replicaId } = view.replica
  const promptTokens = request.prompt?.promptTokens ?? 0
  request.phase = 'queue'
  request.attempt += 1
  request.prefillSlot = { replicaId, bookingId: `${request.requestId}/${request.attempt}` }
  view.prefillTokensSinceLoad += promptTokens
  logDecision(context, request, 'prefill_queued', { replica: replicaId, backlogTokens, loadAgeMs: Math.round(context.nowMs - view.loadAtMs), maxWaitMs: Math.round(maxWaitMs) })
  startWaitTime(context, request, 'slot')
  context.effects.push({
    type: 'queue_prefill',
    key: request.key,
    attempt: request.attempt,
    ...request.prefillSlot,
    promptTokens,
    leadMs,
    maxWaitMs,
    onTimeWaitMs: computeOnTimeWaitMs(context, request, leadMs),
    priority: request.priority,
    isContinuation: isContinuation(request),
    ...shareOf(request.customer)
  })
  startCapacityWait(context, request, true)
  return undefined
}

// Without memory in the caller's time, a slot is of no use; the reservation tells so at once.
function isMemoryExpected (context: RouterContext, request: RequestState, withinMs: number): boolean {
  const option = chooseMemoryOption(context, request, candidateReplicas(context, request, 'decode'))
  return option !== undefined && option.waitMs <= withinMs
}

// A decode replica that processes the prompt itself refuses a run before any work on the prompt, so a
// refusal wastes no prefill.
function avoidWastedPrefill (context: RouterContext, request: RequestState): NextStep {
  logDecision(context, request, 'reading_avoided', { refusedShare: refusedShare(context, request.service) })
  const canPrefillInPlace = !request.isInPlaceRefused && candidateReplicas(context, request, 'decode').some((view) => canPrefillNow(view, request))
  if (!canPrefillInPlace) return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replica_refused', retryAfterMs: MOSTLY_REFUSED_RETRY_MS }
  request.reading = 'in_place'
  return { type: 'reserve' }
}

/**
 * Handles the response to a request for a prefill slot.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that waits for the slot
 * @param outcome - response of the queue
 * @returns the next step
 */
export function handleQueueAnswer (context: RouterContext, request: RequestState, outcome: ReserveOutcome): NextStep {
  const replicaId = request.prefillSlot?.replicaId ?? ''
  endWaitTime(context, request)
  logDecision(context, request, `prefill_slot_${outcome.type}`, { replica: replicaId })
  if (outcome.type === 'granted') return { type: 'reserve' }
  releasePrefillSlot(context, request)
  if (outcome.type === 'replica_lost') {
    request.excluded.add(replicaId)
    return { type: 'queue' }
  }
  if (outcome.type === 'refused') return retryQueue(context, request, replicaId, outcome.retryAfterMs)
  const view = context.state.replicas.get(replicaId)
  if (view !== undefined) recordLedgerUnreachable(view, context.nowMs)
  return { type: 'reserve' }
}

// Tries another prefill replica as long as further ledgers may be queried or one is known to be free.
function retryQueue (context: RouterContext, request: RequestState, replicaId: string, retryAfterMs: number): NextStep {
  const refuse = (): NextStep => refuseForCapacity(context, request, retryAfterMs, 'prefill_busy')
  if (context.state.decisions.widening === 'none') return refuse()
  request.excluded.add(replicaId)
  if (usableReplicas(context, request, 'prefill').length === 0) return refuse()
  if (widenSample(context, request, 'prefill', 'queue')) return undefined
  const isFree = candidateReplicas(context, request, 'prefill').some((view) => backlogTokensOf(view) < NO_QUEUE_BACKLOG_TOKENS)
  return isFree ? { type: 'queue' } : refuse()
}
