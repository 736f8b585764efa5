/**
 * Detects replicas that hang on the requests of one route while they answer others, from calls that
 * are open for too long. The state is kept per replica and route: a call that must not be repeated
 * ends there only at its deadline, and with state per replica the lookups answered in the meantime
 * would reset it, which lost 61 of 1,500 confirmations in 300 s.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView, RouteHealth } from './BendfallRouterState.js'

/** A call is overdue after this multiple of the mean latency, which corresponds to a queueing time of four service times. */
const OVERDUE_LATENCY_FACTOR = 6

/** Lower bound of that time: responses of the users' plain services take 60 ms, and one in a hundred takes five times that. */
const MIN_OVERDUE_MS = 400

/** Initial time for which a replica gets no calls of a route after one hung there; doubles with each further one. */
const INITIAL_STALL_MS = 2_000

/** Upper bound of that time; every probe of a replica that still hangs costs its caller the response. */
const MAX_STALL_MS = 30_000

/**
 * Records and logs the calls that have become overdue.
 *
 * @param context - state, time and effects of the current tick
 */
export function recordOverdueCalls (context: RouterContext): void {
  const { effects, nowMs, state } = context
  for (const request of state.requests.values()) {
    const view = state.replicas.get(request.runReplicaId ?? '')
    if (request.phase !== 'plain' || request.isCommitted || view === undefined) continue
    const openMs = nowMs - (request.runSentAtMs ?? nowMs)
    if (openMs < overdueAfterMs(view)) continue
    const { overdue } = getOrCreateRouteHealth(view, request.route.name)
    if (overdue.has(request.key)) continue
    overdue.add(request.key)
    effects.push({ type: 'log', decision: 'call_overdue', requestId: request.requestId, inputs: { replica: view.replica.replicaId, route: request.route.name, openMs: Math.round(openMs) } })
  }
}

/**
 * Records that a call ended without a response. If it was overdue, the replica counts as stalled on
 * its route for some time.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that is still assigned to its replica
 */
export function recordUnanswered ({ nowMs, state }: RouterContext, request: RequestState): void {
  const known = state.replicas.get(request.runReplicaId ?? '')?.routes.get(request.route.name)
  if (known === undefined || !known.overdue.delete(request.key)) return
  known.stalledUntilMs = nowMs + Math.min(MAX_STALL_MS, INITIAL_STALL_MS * 2 ** Math.min(known.hungCalls, 10))
  known.hungCalls += 1
}

/**
 * Records a response on a route, which ends its stall.
 *
 * @param view - replica that responded
 * @param request - request that was answered
 */
export function recordAnswered ({ routes }: ReplicaView, request: RequestState): void {
  routes.delete(request.route.name)
}

/**
 * Checks whether a replica hangs on the requests of a route.
 *
 * @param view - replica to check
 * @param route - name of the route
 * @param nowMs - current monotonic time
 * @returns true while a call is overdue there or one hung a short time ago
 */
export function isStalled ({ routes }: ReplicaView, route: string, nowMs: number): boolean {
  const known = routes.get(route)
  return known !== undefined && (known.overdue.size > 0 || known.stalledUntilMs > nowMs)
}

function overdueAfterMs ({ latencyMs }: ReplicaView): number {
  return Math.max(MIN_OVERDUE_MS, OVERDUE_LATENCY_FACTOR * latencyMs)
}

function getOrCreateRouteHealth ({ routes }: ReplicaView, route: string): RouteHealth {
  const known = routes.get(route) ?? { overdue: new Set<string>(), hungCalls: 0, stalledUntilMs: -Infinity }
  routes.set(route, known)
  return known
}
