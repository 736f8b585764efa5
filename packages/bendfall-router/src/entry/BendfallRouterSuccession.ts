/**
 * Tells the process that answers at a replica's address from the one that is registered there. A process that
 * restarts under the same id serves before its registration arrives, for a heartbeat or as long as the
 * key-value service is down. A refused connection shows that the registered process has ended: what answers
 * afterwards is its successor. What that one says of itself, and what runs there, goes on when its registration arrives.
 *
 * @module
 */
import { formatProcessName } from '../crashes/BendfallRouterCrashRecords.js'
import { moveLimit } from '../limits/BendfallRouterReplicaLimits.js'
import { isProcessLeaving, moveAmbiguousBackoff, moveNotices } from '../notices/BendfallRouterNotices.js'
import type { Replica } from '../BendfallRouterTypes.js'
import { isAtSuccessor } from './BendfallRouterAnsweringProcess.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { findReplicaByAddress } from './BendfallRouterMembers.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { bindRegisteredSoftware } from './BendfallRouterStreamBinding.js'
import { updateSubset } from './BendfallRouterSubset.js'

/** Clocks of two machines may differ by this much. */
const MAX_CLOCK_SKEW_MS = 5_000

/** Longest time for which a backoff is kept that the previous process may have requested. */
const MAX_AMBIGUOUS_BACKOFF_MS = 10_000

/** Time for which renewals of a registration may arrive that a process wrote before it ended. */
const MAX_LATE_RENEWAL_MS = 5_000

/**
 * Records that no process listens at an address. What the registered process said of itself ends with it.
 *
 * @param context - state, time and effects of the current event
 * @param address - `ip:port` that refused a connection
 */
export function recordConnectionRefused (context: RouterContext, address: string): void {
  const { effects, nowMs, state } = context
  const view = findReplicaByAddress(state, address)
  if (view === undefined || view.refusesWhileRunning === true) return
  const isFirst = view.endedAtMs === undefined
  view.endedAtMs = nowMs
  const processName = formatProcessName(view.replica)
  view.hasAnnouncedExit ||= isProcessLeaving(state.notices, processName)
  const hadStatus = state.notices.delete(processName)
  state.limits.delete(processName)
  if (isFirst) effects.push({ type: 'log', decision: 'replica_process_ended', requestId: '', inputs: { replica: view.replica.replicaId, startedAtMs: view.replica.startedAtMs } })
  if (!hadStatus) return
  state.isSubsetStale = true
  updateSubset(state)
}

/**
 * Hands what is known of the process at a replica's address on to the process that has registered now, as far as it
 * may be that one's.
 *
 * @param context - state, time and effects of the current event
 * @param previous - view of the registration so far
 * @param replica - registration of the new process
 */
export function inheritStatus ({ nowMs, state, unixMs }: RouterContext, { endedAtMs, replica: previous }: ReplicaView, replica: Replica): void {
  const from = formatProcessName(previous)
  const to = formatProcessName(replica)
  if (endedAtMs !== undefined) {
    moveNotices(state.notices, from, to)
    moveLimit(state.limits, from, to)
    return
  }
  // A notice that is much older than the new process is of the previous one. Without start times all are.
  const ageMs = unixMs === undefined || replica.startedAtMs === undefined ? -Infinity : unixMs - replica.startedAtMs
  moveAmbiguousBackoff(state.notices, from, to, nowMs - ageMs - MAX_CLOCK_SKEW_MS, nowMs + MAX_AMBIGUOUS_BACKOFF_MS)
}

/**
 * Assigns the sends that a process got before it registered to its view.
 *
 * @param context - state, time and effects of the current event
 * @param requests - requests whose last send is at the process
 * @param view - view of its registration
 */
export function assignSends (context: RouterContext, requests: readonly RequestState[], view: ReplicaView): void {
  const { replicaId, startedAtMs } = view.replica
  for (const request of requests) {
    request.sentTo = { replicaId, startedAtMs, sentAtMs: request.sentTo?.sentAtMs ?? context.nowMs }
    bindRegisteredSoftware(context, request, view.software)
    if (request.runReplicaId === replicaId) view.inFlight += 1
    if (request.prefillReplicaId === replicaId) view.prefillTokens += request.prompt?.promptTokens ?? 0
  }
}

/**
 * Records that a registration was renewed. A process that goes on renewing it after a refused connection has not ended;
 * a connection may also be refused by a network, or while a process is too busy to accept it. From then on only the
 * registration of another process shows its end.
 *
 * @param context - state, time and effects of the current event
 * @param view - view of the replica
 */
export function recordRenewal (context: RouterContext, view: ReplicaView): void {
  if (view.endedAtMs === undefined) return
  view.renewedAtMs ??= context.nowMs
  if (context.nowMs - view.renewedAtMs < MAX_LATE_RENEWAL_MS) return
  const atProcess = [...context.state.requests.values()].filter((request) => isAtSuccessor(request, view))
  view.endedAtMs = undefined
  view.refusesWhileRunning = true
  for (const request of atProcess) bindRegisteredSoftware(context, request, view.software)
}
