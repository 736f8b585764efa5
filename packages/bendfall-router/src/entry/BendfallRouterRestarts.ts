/**
 * A replica that starts again under its id is another process: it holds nothing of
 * before, and an id alone does not tell the two apart. What the entry believes of the
 * former one, and what it has under way there, ends when the new one is known.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import { nameProcess } from '../crashes/BendfallRouterCrashRecords.js'
import { noteProcessEnded } from './BendfallRouterCrashes.js'
import { removeReplica } from './BendfallRouterMembers.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'

/**
 * Ends all that belongs to a former process of a replica.
 *
 * @param context - of the event
 * @param replica - as its new process, or one that was not known, registered
 */
export function endFormerIncarnation (context: RouterContext, replica: Replica): void {
  const { effects, state } = context
  const former = state.replicas.get(replica.replicaId)?.replica
  if (former !== undefined) {
    noteProcessEnded(context, former, 'registration')
    // Without its start the name of the new process is the same.
    state.notices.delete(nameProcess(former))
  }
  const wasKnown = removeReplica(state, replica.replicaId)
  if (wasKnown) forgetOrders(context, replica)
  let ended = 0
  for (const request of state.requests.values()) {
    if (endSend(context, request, replica)) ended += 1
    if (request.handle !== undefined && isFormer(request.handle, replica)) request.handle = undefined
  }
  if (!wasKnown && ended === 0) return
  effects.push({ type: 'log', decision: 'replica_restarted', requestId: '', inputs: { replica: replica.replicaId, startedAtMs: replica.startedAtMs, ended } })
}

// The order ended with the process that had it.
function forgetOrders ({ state }: RouterContext, { replicaId, service }: Replica): void {
  if (state.poolOrders.get(service)?.replicaIds.includes(replicaId) === true) state.poolOrders.delete(service)
}

// The send fails as one whose replica crashed: only what may run again does. The request
// no longer counts at the replica, so that its failure tells nothing of the new process.
function endSend ({ effects }: RouterContext, request: RequestState, replica: Replica): boolean {
  const { sentTo } = request
  if (sentTo === undefined || !isFormer(sentTo, replica)) return false
  if (request.runAt !== sentTo.replicaId && request.prefillAt !== sentTo.replicaId) return false
  request.runAt = undefined
  request.prefillAt = undefined
  effects.push({ type: 'fail_send', key: request.key })
  return true
}

// Without the word of the platform two processes under one id are not told apart here.
function isFormer (one: { readonly replicaId: string, readonly startedAtMs?: number }, { startedAtMs, replicaId }: Replica): boolean {
  return one.replicaId === replicaId && one.startedAtMs !== undefined && startedAtMs !== undefined && one.startedAtMs < startedAtMs
}
