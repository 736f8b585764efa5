/**
 * Books decode memory before a prompt is read, so that no prefill is wasted on
 * a request that no decode replica has room for.
 *
 * @module
 */
import type { Prompt } from '../BendfallRouterTypes.js'
import { noteLedgerLost } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import { leaveReservation } from './BendfallRouterEnd.js'
import { startHold, takeHold } from './BendfallRouterHold.js'
import type { HoldOutcome, ReserveOutcome } from './BendfallRouterEvents.js'
import { askLoads, knownReplicas } from './BendfallRouterLoads.js'
import { chooseOption, expectedTokens, hintOf } from './BendfallRouterMemoryOptions.js'
import type { MemoryOption } from './BendfallRouterMemoryOptions.js'
import { isOpen, refuseBackoff } from './BendfallRouterNotice.js'
import { planPrefill } from './BendfallRouterPrefillPlan.js'
import { awaitPermit } from './BendfallRouterPermitWait.js'
import { carryPermit, takePermit, wantPermits } from './BendfallRouterPermits.js'
import { canReadNow, FIRST_EVENT_MS, readInPlaceMs } from './BendfallRouterReading.js'
import type { RequestState } from './BendfallRouterRequest.js'

/** Ledgers asked for one request before it is refused. */
const MAX_REFUSALS = 3

/** Told to callers when no decode replica is known. */
const NO_REPLICA_RETRY_MS = 1_000

/** Longest wait told to callers for memory. */
const LONGEST_RETRY_MS = 4_000

/** Shortest wait told to callers for memory: about the time in which one running answer ends. */
const SHORTEST_RETRY_MS = 400

/** Told to all callers where the settings switch foreseen waits off. */
const FIXED_RETRY_MS = 1_000

/** Kept of a caller's patience for errors of the forecast. */
const PATIENCE_MARGIN_MS = 600

/** Margin before the result of a prefill lapses. */
const HANDLE_MARGIN_MS = 120

/**
 * Asks the ledger of the decode replica that is likely to have room first.
 *
 * @param context - of the event
 * @param request - the request, with a prompt
 * @returns the next step
 */
export function startReserve (context: RouterContext, request: RequestState): NextStep {
  wantPermits(context, request, 'decode')
  if (askLoads(context, request, 'reserve')) return undefined
  return request.reading === 'in_place' ? reserveReader(context, request) : reserveRoom(context, request)
}

// Nobody waits for a replica that is to read the prompt itself: its point is to be sooner.
function reserveReader (context: RouterContext, request: RequestState): NextStep {
  const readers = knownReplicas(context, request, 'decode').filter((belief) => canReadNow(belief, request))
  if (readers.length === 0) return readApart(context, request)
  const best = chooseOption(context, request, readers)
  return best === undefined || best.waitMs > 0 ? readApart(context, request) : ask(context, request, best, 0, 0)
}

function reserveRoom (context: RouterContext, request: RequestState): NextStep {
  const decodes = knownReplicas(context, request, 'decode')
  const limited = decodes.length === 0 ? awaitPermit(context, request, 'decode', 'reserve') : undefined
  if (limited !== undefined) return limited.next
  if (decodes.length === 0) return refuseBackoff(context, request, 'decode') ?? refuseMemory(context, request, NO_REPLICA_RETRY_MS, 'no_replica')
  const plan = planPrefill(context, request)
  const leadMs = request.handle !== undefined ? 0 : plan?.leadMs ?? 0
  const maxWaitMs = longestWaitMs(context, request, leadMs)
  const best = chooseOption(context, request, decodes)
  if (best === undefined || maxWaitMs < 0 || best.waitMs > maxWaitMs + leadMs) {
    return refuseMemory(context, request, Math.min(best?.waitMs ?? Infinity, request.retryAfterMs ?? Infinity), 'no_memory')
  }
  return ask(context, request, best, leadMs, maxWaitMs)
}

/**
 * Takes the answer of a ledger.
 *
 * @param context - of the event
 * @param request - the request
 * @param outcome - the answer
 * @returns the next step
 */
export function takeReserveAnswer (context: RouterContext, request: RequestState, outcome: ReserveOutcome): NextStep {
  const replicaId = request.reservedAt ?? ''
  const belief = context.state.replicas.get(replicaId)
  logDecision(context, request, `reservation_${outcome.type}`, { replica: replicaId })
  if (outcome.type === 'granted') return goOn(request)
  if (outcome.type === 'unreachable') {
    if (belief !== undefined) noteLedgerLost(belief, context.nowMs)
    if (belief === undefined || !isOpen(context, belief)) return askAgain(context, request)
    if (!takePermit(context, belief)) return goOn(request)
    return startHold(context, request, belief, expectedTokens(request), request.handle === undefined ? planPrefill(context, request)?.leadMs ?? readInPlaceMs(context.state, request) : 0)
  }
  if (outcome.type === 'replica_lost') return leaveLost(context, request, replicaId)
  if (request.reading === 'in_place') return readApart(context, request)
  request.retryAfterMs = Math.min(request.retryAfterMs ?? Infinity, outcome.retryAfterMs)
  request.refusals += 1
  request.excluded.add(replicaId)
  return askAgain(context, request)
}

/**
 * Takes the answer of a replica that was asked to hold memory.
 *
 * @param context - of the event
 * @param request - the request
 * @param outcome - the answer
 * @returns the next step
 */
export function takeHoldAnswer (context: RouterContext, request: RequestState, outcome: HoldOutcome): NextStep {
  if (takeHold(context, request, outcome)) return goOn(request)
  request.refusals += 1
  if (request.reservedAt !== undefined) request.excluded.add(request.reservedAt)
  return askAgain(context, request)
}

// Another replica is asked; it counts as no refusal for want of memory.
function leaveLost (context: RouterContext, request: RequestState, replicaId: string): NextStep {
  leaveReservation(context, request)
  request.excluded.add(replicaId)
  return { type: 'reserve' }
}

// No decode replica begins to read the prompt at once after all.
function readApart (context: RouterContext, request: RequestState): NextStep {
  leaveReservation(context, request)
  request.reading = 'apart'
  request.isReadingRefused = true
  return { type: 'queue' }
}

function goOn (request: RequestState): NextStep {
  return request.handle !== undefined || request.reading !== 'apart' ? { type: 'run' } : { type: 'prefill' }
}

function askAgain (context: RouterContext, request: RequestState): NextStep {
  leaveReservation(context, request)
  if (request.refusals < MAX_REFUSALS) return { type: 'reserve' }
  return refuseMemory(context, request, request.retryAfterMs ?? SHORTEST_RETRY_MS, 'no_memory')
}

function ask (context: RouterContext, request: RequestState, option: MemoryOption, leadMs: number, maxWaitMs: number): NextStep {
  const { belief } = option
  const prompt = request.prompt as Prompt
  const { address, replicaId } = belief.replica
  request.phase = 'reserve'
  request.attempt += 1
  request.reservedAt = replicaId
  request.bookingId = `${request.requestId}/${request.attempt}`
  belief.bookedSinceLoad += prompt.promptTokens + hintOf(prompt)
  belief.ownTokens += prompt.promptTokens
  const readsInPlace = request.reading !== 'apart' && request.handle === undefined
  const readMs = readsInPlace ? readInPlaceMs(context.state, request) : 0
  if (readsInPlace) belief.prefillSinceLoad += prompt.promptTokens
  logDecision(context, request, 'reservation_asked', {
    replica: replicaId, waitMs: Math.round(option.waitMs), roomTokens: Math.round(option.roomTokens), loadAgeMs: Math.round(context.nowMs - belief.loadAtMs), leadMs: Math.round(leadMs), maxWaitMs: Math.round(maxWaitMs), reading: request.reading
  })
  carryPermit(context, request, belief)
  if (context.state.decisions.reserve === 'none') return goOn(request)
  // The run goes before the hold where the replica takes one request only.
  if (belief.ledgerDownUntilMs > context.nowMs && !takePermit(context, belief)) return goOn(request)
  if (belief.ledgerDownUntilMs > context.nowMs) return startHold(context, request, belief, expectedTokens(request), leadMs + readMs)
  context.effects.push({
    type: 'reserve',
    key: request.key,
    attempt: request.attempt,
    replicaId,
    address,
    bookingId: request.bookingId,
    promptTokens: prompt.promptTokens,
    hintTokens: hintOf(prompt),
    maxOutputTokens: prompt.maxOutputTokens,
    leadMs,
    maxWaitMs,
    priority: request.priority,
    targetMs: Math.max(0, dueMs(context, request) - readMs),
    readsInPlace
  })
  return undefined
}

/**
 * Refuses a request for which there is no capacity in time.
 *
 * @param context - of the event
 * @param request - the request
 * @param waitMs - until there is likely to be capacity
 * @param reason - what is lacking
 * @returns the next step
 */
export function refuseMemory (context: RouterContext, request: RequestState, waitMs: number, reason: 'no_memory' | 'no_replica' | 'prefill_busy'): NextStep {
  if (request.isCommitted) return { type: 'cut', reason }
  const toldMs = context.state.decisions.retryAfter === 'fixed' ? FIXED_RETRY_MS : waitMs
  const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, toldMs))
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason, retryAfterMs }
}

/**
 * Longest wait before the prompt is read: until the caller would give up, less
 * what follows the wait. A late answer is worth less than one on time but more
 * than a refusal, and ledgers serve those first that can be on time.
 *
 * @param context - of the event
 * @param request - the request
 * @param leadMs - time from the end of the wait until the prompt is read
 * @returns milliseconds; negative when the answer would come too late
 */
export function longestWaitMs ({ nowMs }: RouterContext, request: RequestState, leadMs: number): number {
  if (request.handle === undefined) {
    // Patience counts anew from each event. Counted from the arrival, of 700 streams of
    // a day with crashes 12 were cut without a try to resume them.
    return givenUpAtMs(request) - PATIENCE_MARGIN_MS - nowMs - leadMs - FIRST_EVENT_MS
  }
  return request.handle.expiresAtMs - HANDLE_MARGIN_MS - nowMs
}

/**
 * Time until an answer is late. A stream that broke off can't be late again: it is
 * due when its caller would give up, so that no ledger takes it for one that is late
 * and refuses it, which would cut it.
 *
 * @param context - of the event
 * @param request - the request
 * @returns milliseconds; negative when it is late already
 */
export function dueMs ({ nowMs }: RouterContext, request: RequestState): number {
  return (request.isCommitted ? givenUpAtMs(request) : request.targetAtMs) - nowMs
}

function givenUpAtMs ({ arrivedAtMs, brokenOffAtMs, deadlineAtMs, route }: RequestState): number {
  return Math.min((brokenOffAtMs ?? arrivedAtMs) + route.patienceMs, deadlineAtMs)
}
