/**
 * Replicas that hang on one kind of request and answer others: beliefs by replica and
 * route, fed by calls that are open for too long. A call that may run once has no other
 * end there than its deadline, and lookups that the replica answers meanwhile would
 * clear what was learned from it: of 1,500 confirmations 61 were lost so in 300 s.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief, RouteBelief } from './BendfallRouterState.js'

/** An open call is overdue after this many mean times of an answer: a queue four times as long as the service. */
const OVERDUE_MEANS = 6

/** Shortest such time: answers of the users' plain services take 60 ms, one of a hundred five times that. */
const SHORTEST_OVERDUE_MS = 400

/** First time for which no call of the route goes to a replica on which one hung; doubles with each that hangs. */
const FIRST_STALL_MS = 2_000

/** Longest such time: a call that is lost to find out costs its caller the answer. */
const LONGEST_STALL_MS = 30_000

/**
 * Notes the calls that are open for too long.
 *
 * @param context - of a tick
 */
export function noteOverdue (context: RouterContext): void {
  const { effects, nowMs, state } = context
  for (const request of state.requests.values()) {
    const belief = state.replicas.get(request.runAt ?? '')
    if (request.phase !== 'plain' || request.isCommitted || belief === undefined) continue
    const openMs = nowMs - (request.runSentAtMs ?? nowMs)
    if (openMs < overdueAfterMs(belief)) continue
    const { overdue } = routeBelief(belief, request.route.name)
    if (overdue.has(request.key)) continue
    overdue.add(request.key)
    effects.push({ type: 'log', decision: 'call_overdue', requestId: request.requestId, inputs: { replica: belief.replica.replicaId, route: request.route.name, openMs: Math.round(openMs) } })
  }
}

/**
 * Notes that a call ended without an answer; one that was overdue hung.
 *
 * @param context - of the event
 * @param request - the request, still at its replica
 */
export function noteUnanswered ({ nowMs, state }: RouterContext, request: RequestState): void {
  const known = state.replicas.get(request.runAt ?? '')?.routes.get(request.route.name)
  if (known === undefined || !known.overdue.delete(request.key)) return
  known.stalledUntilMs = nowMs + Math.min(LONGEST_STALL_MS, FIRST_STALL_MS * 2 ** Math.min(known.hung, 10))
  known.hung += 1
}

/**
 * Notes an answer on a route.
 *
 * @param belief - about the replica
 * @param request - the request
 */
export function noteAnswered ({ routes }: ReplicaBelief, request: RequestState): void {
  routes.delete(request.route.name)
}

/**
 * Tells whether a replica hangs on the requests of a route.
 *
 * @param belief - about the replica
 * @param route - name of the route
 * @param nowMs - the time
 * @returns true while a call is overdue there, or one hung a short time ago
 */
export function isStalled ({ routes }: ReplicaBelief, route: string, nowMs: number): boolean {
  const known = routes.get(route)
  return known !== undefined && (known.overdue.size > 0 || known.stalledUntilMs > nowMs)
}

function overdueAfterMs ({ latencyMs }: ReplicaBelief): number {
  return Math.max(SHORTEST_OVERDUE_MS, OVERDUE_MEANS * latencyMs)
}

function routeBelief ({ routes }: ReplicaBelief, route: string): RouteBelief {
  const known = routes.get(route) ?? { overdue: new Set<string>(), hung: 0, stalledUntilMs: -Infinity }
  routes.set(route, known)
  return known
}
