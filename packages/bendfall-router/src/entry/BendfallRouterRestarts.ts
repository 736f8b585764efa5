/**
 * Handles the restart of a replica under the same id. The new process has none of the previous
 * one's memory, and the id does not distinguish the two, so the view of the previous process and the
 * sends to it end as soon as the new one is known.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import { digestSoftware } from '../streams/BendfallRouterStreamOrigins.js'
import { isAtSuccessor } from './BendfallRouterAnsweringProcess.js'
import { recordProcessEnded } from './BendfallRouterCrashes.js'
import { removeReplica } from './BendfallRouterMembers.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'
import { unbindSoftware } from './BendfallRouterStreamBinding.js'
import { inheritStatus } from './BendfallRouterSuccession.js'

/**
 * Discards all state of the previous process of a replica and fails the sends to it. Those that were made after it had
 * ended are the new process's own and go on.
 *
 * @param context - state, time and effects of the current event
 * @param replica - registration of the new process, also if none was known before
 * @returns the requests whose last send is at the new process
 */
export function endPreviousIncarnation (context: RouterContext, replica: Replica): readonly RequestState[] {
  const { effects, state } = context
  const previous = state.replicas.get(replica.replicaId)
  if (previous !== undefined) {
    recordProcessEnded(context, previous.replica, 'registration')
    inheritStatus(context, previous, replica)
  }
  const wasKnown = removeReplica(state, replica.replicaId)
  if (wasKnown) removeOrders(context, replica)
  const predecessor = previous?.replica.address === replica.address ? previous : undefined
  const inherited: RequestState[] = []
  let ended = 0
  for (const request of state.requests.values()) {
    if (predecessor !== undefined && isAtSuccessor(request, predecessor)) inherited.push(request)
    else if (predecessor !== undefined && isAtEitherVersion(request, predecessor, replica)) {
      unbindSoftware(context, request)
      inherited.push(request)
    } else if (failPreviousSend(context, request, replica)) ended += 1
    if (request.handle !== undefined && isPreviousProcess(request.handle, replica)) request.handle = undefined
  }
  if (wasKnown || ended > 0) effects.push({ type: 'log', decision: 'replica_restarted', requestId: '', inputs: { replica: replica.replicaId, startedAtMs: replica.startedAtMs, ended, inherited: inherited.length } })
  return inherited
}

// A crash ends the connections of a process, so that a stream which is still open is most likely the new process's, even
// if no refused connection showed when the former one ended. Resumed at the former version, it might be joined from two.
function isAtEitherVersion ({ isCommitted, route, runReplicaId }: RequestState, previous: ReplicaView, replica: Replica): boolean {
  const isBegunHere = isCommitted && route.kind === 'streaming' && runReplicaId === replica.replicaId
  return isBegunHere && previous.software !== digestSoftware(replica)
}

// The previous process cannot carry out its stage order any more.
function removeOrders ({ state }: RouterContext, { replicaId, service }: Replica): void {
  if (state.poolOrders.get(service)?.replicaIds.includes(replicaId) === true) state.poolOrders.delete(service)
}

// Fails the send as if its replica had crashed, so only repeatable requests are retried. Clears the
// replica from the request first, so that the failure is not attributed to the new process.
function failPreviousSend ({ effects }: RouterContext, request: RequestState, replica: Replica): boolean {
  const { sentTo } = request
  if (sentTo === undefined || !isPreviousProcess(sentTo, replica)) return false
  if (request.runReplicaId !== sentTo.replicaId && request.prefillReplicaId !== sentTo.replicaId) return false
  request.runReplicaId = undefined
  request.prefillReplicaId = undefined
  effects.push({ type: 'fail_send', key: request.key })
  return true
}

// Without start times from the platform, two processes under one id are not distinguished here.
function isPreviousProcess (one: { readonly replicaId: string, readonly startedAtMs?: number }, { startedAtMs, replicaId }: Replica): boolean {
  return one.replicaId === replicaId && one.startedAtMs !== undefined && startedAtMs !== undefined && one.startedAtMs < startedAtMs
}
