/**
 * Admits requests: authenticates the caller and finds the route and the service, or refuses the
 * request immediately.
 *
 * @module
 */
import { authenticate } from '../customers/BendfallRouterCustomers.js'
import type { Credentials } from '../customers/BendfallRouterCustomers.js'
import { findRoute, pickService } from '../directory/BendfallRouterRoutes.js'
import { countRequest } from './BendfallRouterBudget.js'
import { honouredRetryMs } from './BendfallRouterCallerTime.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { budgetOf, draw, logDecision } from './BendfallRouterContext.js'
import type { DecisionInputs, EndReason } from './BendfallRouterEffects.js'
import type { Arrival } from './BendfallRouterEvents.js'
import { isResumption } from './BendfallRouterOrigin.js'
import type { Customer, Route } from '../BendfallRouterTypes.js'
import { createAccount } from './BendfallRouterSend.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'
import { NO_WAITS } from './BendfallRouterWaitTimes.js'

/** Retry-After while no configuration is known: it is read within a second once the store answers. */
const NO_CONFIG_RETRY_AFTER_MS = 1_000

/** Retry-After while revoked keys may still look valid here: other entries are likely to have current data. */
const UNVERIFIED_KEYS_RETRY_AFTER_MS = 150

/** Retry-After of a process that is stopping: other processes can serve the caller at once. */
const STOPPING_RETRY_AFTER_MS = 50

/** How long a stopping process still accepts streams: the platform needs up to two seconds to route callers elsewhere. */
const STREAM_ACCEPT_MS = 2_400

/** Assumed duration of a long stream: a process that stops accepts none that it would have to cut. */
const LONG_STREAM_MS = 9_000

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8

/** A request that was admitted, with its first step. */
export interface Admitted {
  readonly request: RequestState
  readonly next: NextStep
}

/**
 * Admits a request, refuses it, or holds it until the configuration has been read again.
 *
 * @param context - context of the current event
 * @param arrival - request as received from the caller
 * @returns the request and its first step; undefined when it was refused or is held
 */
export function admit (context: RouterContext, arrival: Arrival): Admitted | undefined {
  const { config } = context.state
  if (config === undefined) return refuse(context, arrival, 503, 'no_config', NO_CONFIG_RETRY_AFTER_MS)
  const route = findRoute(config, arrival.host, arrival.path)
  if (route === undefined) return refuse(context, arrival, 404, 'no_route')
  const authentication = authenticate(credentialsOf(context.state, context.nowMs), arrival.keyDigest, route.allowsAnonymous)
  if (authentication.type === 'unknown') return refuse(context, arrival, 401, 'unknown_key')
  if (authentication.type === 'unproven') return holdOrRefuse(context, arrival)
  const customer = authentication.type === 'customer' ? authentication.customer : undefined
  if (isTooLate(context, route)) return refuse(context, arrival, 503, 'stopping', STOPPING_RETRY_AFTER_MS)
  if (arrival.deadlineMs !== undefined && arrival.deadlineMs <= 0) return refuse(context, arrival, 503, 'deadline')
  const service = pickService(route.services, draw(context.state))
  if (service === undefined) return refuse(context, arrival, 503, 'no_replica', NO_CONFIG_RETRY_AFTER_MS)
  const request = createRequest(context, arrival, { route, service, customer })
  context.state.requests.set(request.key, request)
  countRequest(budgetOf(context, service), context.nowMs)
  context.effects.push({ type: 'set_deadline', key: request.key, inMs: request.deadlineAtMs - context.nowMs })
  logDecision(context, request, 'admitted', { route: route.name, service, customer: customer?.name, configVersion: config.version, promptTokens: arrival.prompt?.promptTokens, maxOutputTokens: arrival.prompt?.maxOutputTokens, outputHintTokens: arrival.prompt?.outputHintTokens, promptParts: arrival.prompt?.partIds?.slice(0, MAX_LOGGED_PARTS).join(' '), lastEventId: arrival.lastEventId, resumedRequestId: arrival.resumedRequestId })
  return { request, next: isResumption(request) ? { type: 'origin' } : { type: 'allotment' } }
}

// Whether a response is unlikely to end before the process is killed.
function isTooLate ({ nowMs, state }: RouterContext, route: Route): boolean {
  const { stop } = state
  if (stop === undefined) return false
  if (route.kind !== 'streaming') return stop.killAtMs - nowMs < route.timeoutMs
  return nowMs - stop.askedAtMs > STREAM_ACCEPT_MS && stop.killAtMs - nowMs < LONG_STREAM_MS
}

/**
 * Returns what this entry knows about customers' keys.
 *
 * @param state - state of the entry
 * @param nowMs - current time
 * @returns the customers, the limits on the age of this data, and its age
 */
export function credentialsOf ({ configVerifiedAtMs, credentialLimits, customerIndex }: RouterState, nowMs: number): Credentials {
  return { index: customerIndex, limits: credentialLimits, ageMs: nowMs - configVerifiedAtMs }
}

// After a process pause the configuration is already being read again, which takes up to half a second.
function holdOrRefuse (context: RouterContext, arrival: Arrival): undefined {
  if (!context.state.isRefreshPending) return refuse(context, arrival, 503, 'keys_unproven', UNVERIFIED_KEYS_RETRY_AFTER_MS)
  context.state.heldArrivals.set(arrival.key, arrival)
}

/**
 * Removes and returns the requests that were held until the configuration was read.
 *
 * @param state - state of the entry
 * @returns the requests, in order of arrival
 */
export function drainHeldArrivals ({ heldArrivals }: RouterState): Arrival[] {
  const held = [...heldArrivals.values()]
  heldArrivals.clear()
  return held
}

/**
 * Drops a held request whose caller disconnected.
 *
 * @param context - context of the current event
 * @param key - key of the request
 */
export function dropHeldArrival ({ effects, state }: RouterContext, key: string): void {
  if (state.heldArrivals.delete(key)) effects.push({ type: 'forget', key })
}

interface Destination {
  readonly route: Route
  readonly service: string
  readonly customer?: Customer
}

// Includes the customer, so that the requests of one customer have no effect on equal ones of another.
function fingerprintOf ({ fingerprint }: Arrival, customer: Customer | undefined): string {
  return customer === undefined ? fingerprint : `${fingerprint}/${customer.name}`
}

function createRequest ({ nowMs }: RouterContext, arrival: Arrival, { customer, route, service }: Destination): RequestState {
  const waitMs = Math.min(route.timeoutMs, arrival.deadlineMs ?? Infinity)
  return {
    key: arrival.key,
    requestId: arrival.requestId,
    fingerprint: fingerprintOf(arrival, customer),
    route,
    service,
    customer,
    priority: customer?.priority ?? route.priority,
    prompt: arrival.prompt,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + waitMs,
    phase: 'reserve',
    allotmentRole: 'primary',
    attempt: 0,
    loadsRequestedAtMs: -Infinity,
    widenings: { prefill: 0, decode: 0 },
    spares: new Set(),
    waitTimes: NO_WAITS,
    capacityChecks: 0,
    capacityMoves: 0,
    runs: 0,
    sends: 0,
    account: createAccount(),
    excluded: new Set(),
    refusals: 0,
    reading: 'apart',
    isInPlaceRefused: false,
    isCommitted: false,
    isLate: false,
    lastEventId: arrival.lastEventId,
    resumedRequestId: arrival.resumedRequestId
  }
}

function refuse ({ effects, nowMs, state }: RouterContext, arrival: Arrival, status: number, reason: EndReason, retryAfterMs?: number): undefined {
  effects.push({ type: 'refuse', key: arrival.key, status, reason, retryAfterMs: honouredRetryMs(arrival.deadlineMs, retryAfterMs) })
  effects.push({ type: 'log', decision: 'refused', requestId: arrival.requestId, inputs: { status, reason, host: arrival.host, path: arrival.path, ...keyLogInputs(arrival, state, nowMs) } })
  effects.push({ type: 'forget', key: arrival.key })
  return undefined
}

// Lets operators tell a missing key from an unknown one and from one that is not known yet.
function keyLogInputs ({ keyDigest }: Arrival, { configVerifiedAtMs, customerIndex }: RouterState, nowMs: number): DecisionInputs {
  return customerIndex === undefined ? {} : { hasKey: keyDigest !== undefined, keysAgeMs: Math.round(nowMs - configVerifiedAtMs) }
}
