/**
 * Follows what replicas say of themselves, and says which of them may be sent anything at
 * all. That is a prohibition, not a preference: it holds where nothing else is left, and
 * for what was booked or granted before the replica spoke.
 *
 * @module
 */
import { nameProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { Replica } from '../BendfallRouterTypes.js'
import { backoffLeftMs, takeNotice } from '../notices/BendfallRouterNotices.js'
import type { ReplicaNotice } from '../notices/BendfallRouterNotices.js'
import { isLeaving, stageOf } from './BendfallRouterBelief.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import { takeLimit } from './BendfallRouterReplicaLimit.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'
import { chooseSubset } from './BendfallRouterSubset.js'

/** Names of headers and replicas that are logged, once each. */
const MOST_UNDECODED = 1_000

/**
 * Takes what a replica said of itself, in the head of an answer or to the ledger beside it.
 *
 * @param context - of the event
 * @param event - the notice
 */
export function takeReplicaNotice (context: RouterContext, { notice, replicaId, sentAtMs = -Infinity }: Pick<RouterEventOf<'replica_spoke'>, 'notice' | 'replicaId' | 'sentAtMs'>): void {
  const { effects, nowMs, state } = context
  const replica = state.replicas.get(replicaId)?.replica
  if (replica === undefined) return
  logUndecoded(context, replica, notice)
  if (notice.limit !== undefined) takeLimit(context, replica, notice.limit, sentAtMs)
  const change = takeNotice(state.notices, nameProcess(replica), notice, nowMs)
  if (change === 'nothing') return
  effects.push({ type: 'log', decision: change === 'leaves' ? 'replica_says_leaving' : 'replica_backs_off', requestId: '', inputs: { replica: replicaId, backoffMs: notice.backoffMs } })
  if (change !== 'leaves') return
  state.isSubsetStale = true
  chooseSubset(state)
}

// A word of a replica that nobody decodes shows operators what the router does not heed.
function logUndecoded ({ effects, state: { undecoded } }: RouterContext, { replicaId }: Replica, notice: ReplicaNotice): void {
  for (const header of notice.undecoded ?? []) {
    const name = `${header} ${replicaId}`
    if (undecoded.has(name) || undecoded.size >= MOST_UNDECODED) continue
    undecoded.add(name)
    effects.push({ type: 'log', decision: 'answer_header_undecoded', requestId: '', inputs: { replica: replicaId, header } })
  }
}

/**
 * Tells whether a replica wants no call at all for a time.
 *
 * @param context - of the event
 * @param replicaId - of the replica
 * @returns true within its backoff
 */
export function isBackingOff ({ nowMs, state }: RouterContext, replicaId: string): boolean {
  const replica = state.replicas.get(replicaId)?.replica
  return replica !== undefined && backoffLeftMs(state.notices, nameProcess(replica), nowMs) > 0
}

/**
 * Tells whether a replica may be sent anything now.
 *
 * @param context - of the event
 * @param belief - about the replica
 * @returns false for one that leaves or backs off
 */
export function isOpen (context: RouterContext, belief: ReplicaBelief): boolean {
  return !isLeaving(context.state, belief) && !isBackingOff(context, belief.replica.replicaId)
}

/**
 * Refuses a request at once when replicas could serve it but for their backoff: when the
 * first of them ends is known.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 * @returns its end; undefined when a replica is open, or none backs off
 */
export function refuseBackoff (context: RouterContext, request: RequestState, stage: 'decode' | 'plain'): NextStep {
  const { nowMs, state } = context
  const staying = (state.usedByService.get(request.service) ?? []).filter((belief) => stageOf(belief) === stage && !isLeaving(state, belief))
  const left = staying.map(({ replica }) => backoffLeftMs(state.notices, nameProcess(replica), nowMs))
  const retryAfterMs = Math.min(...left.filter((ms) => ms > 0))
  const isAnyOpen = staying.some(({ replica }, index) => left[index] === 0 && !request.excluded.has(replica.replicaId))
  if (isAnyOpen || retryAfterMs === Infinity) return undefined
  if (request.isCommitted) return { type: 'cut', reason: 'replicas_back_off' }
  return { type: 'refuse', status: request.runs > 0 ? 502 : 503, reason: 'replicas_back_off', retryAfterMs }
}
