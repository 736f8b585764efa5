/**
 * Measures the work of the pools and orders stage changes while this process
 * holds the lease on them.
 *
 * @module
 */
import { balancePools } from '../pools/BendfallRouterPoolBalance.js'
import type { PoolMember, PoolWork } from '../pools/BendfallRouterPoolBalance.js'
import { isLeaving, stageOf } from './BendfallRouterBelief.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { ReplicaBelief } from './BendfallRouterState.js'
import { isUsed } from './BendfallRouterSubset.js'

/** Weight of the newest reading of the work: with two readings a second the last twelve seconds count, more than a burst lasts. */
const WORK_WEIGHT = 0.04

/** Beyond the time that a change takes, until its effect on the work is seen. */
const SETTLE_MS = 4_000

/** Time that a change takes when the configuration does not tell. */
const FIRST_SWITCH_MS = 6_000

/** An order whose answer was lost may be carried out this much later. */
const LATE_ORDER_MS = 12_000

/**
 * Reads the work, and orders what the balance asks for.
 *
 * @param context - of the event
 * @param event - a tick
 */
export function balance (context: RouterContext, event: RouterEventOf<'balance_due'>): void {
  const { state } = context
  for (const service of state.config?.services ?? []) {
    if (service.engine === undefined) continue
    const beliefs = [...state.replicas.values()].filter(({ replica }) => replica.service === service.name && replica.stage !== 'plain' && isUsed(state, replica))
    const work = measure(context, service.name, beliefs)
    if (event.fence === undefined || state.poolIntent === undefined || state.decisions.pools === 'as_found' || beliefs.length === 0) continue
    const switchMs = service.engine.switchMs === 0 ? FIRST_SWITCH_MS : service.engine.switchMs
    if (!hasLostOrders(context, service.name) && context.nowMs < (state.nextOrderAtMs.get(service.name) ?? -Infinity)) continue
    const changes = balancePools(beliefs.map((belief) => toMember(context, belief)), work, state.poolIntent)
    for (const change of changes) order(context, change.replicaId, change.stage, event.fence, work)
    if (changes.length === 0) continue
    state.nextOrderAtMs.set(service.name, context.nowMs + switchMs + SETTLE_MS)
    state.orderedReplicas.set(service.name, changes.map(({ replicaId }) => replicaId))
  }
}

/**
 * Notes the answer to an order.
 *
 * @param context - of the event
 * @param event - the answer
 */
export function takeOrderAnswer (context: RouterContext, event: RouterEventOf<'order_answered'>): void {
  const belief = context.state.replicas.get(event.replicaId)
  context.effects.push({ type: 'log', decision: 'order_answered', requestId: '', inputs: { replica: event.replicaId, outcome: event.outcome } })
  if (belief !== undefined && event.outcome === 'unknown') context.state.nextOrderAtMs.set(belief.replica.service, context.nowMs + LATE_ORDER_MS)
}

// A replica that leaves or is gone will not carry its order out: waiting for it left a
// pool empty for 13 s on a day on which the only prefill replica was replaced.
function hasLostOrders ({ state }: RouterContext, service: string): boolean {
  const ordered = state.orderedReplicas.get(service) ?? []
  return ordered.length > 0 && ordered.every((replicaId) => state.replicas.get(replicaId)?.replica.isDraining !== false)
}

function order (context: RouterContext, replicaId: string, stage: 'prefill' | 'decode' | 'plain', fence: number, work: PoolWork): void {
  const belief = context.state.replicas.get(replicaId)
  if (belief === undefined) return
  context.effects.push({ type: 'order_stage', replicaId, address: belief.replica.address, stage, fence })
  context.effects.push({ type: 'log', decision: 'stage_ordered', requestId: '', inputs: { replica: replicaId, stage, fence, prefillWork: round(work.prefill), decodeWork: round(work.decode) } })
}

function toMember ({ nowMs, state }: RouterContext, belief: ReplicaBelief): PoolMember {
  const { load, replica, suspectUntilMs } = belief
  return {
    replicaId: replica.replicaId,
    availabilityZone: replica.availabilityZone,
    stage: stageOf(belief),
    isServing: load?.isHealthy === true && !isLeaving(state, belief) && suspectUntilMs <= nowMs
  }
}

function measure ({ state }: RouterContext, service: string, beliefs: readonly ReplicaBelief[]): PoolWork {
  const now = { prefill: 0, decode: 0 }
  for (const belief of beliefs) {
    const { load } = belief
    if (load === undefined) continue
    if (stageOf(belief) === 'prefill') now.prefill += load.backlogTokens > 0 ? 1 : 0
    else if (load.capacityTokens > 0) now.decode += 1 - (load.roomTokens[0] ?? 0) / load.capacityTokens
  }
  const former = state.poolWork.get(service) ?? { prefill: 0, decode: 0 }
  const work = {
    prefill: former.prefill + WORK_WEIGHT * (now.prefill - former.prefill),
    decode: former.decode + WORK_WEIGHT * (now.decode - former.decode)
  }
  state.poolWork.set(service, work)
  return work
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
