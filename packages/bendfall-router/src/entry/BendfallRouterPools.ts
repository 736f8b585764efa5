/**
 * Measures the work of the pools and orders stage changes while this process
 * holds the lease on them.
 *
 * @module
 */
import type { ReplicaLoad, ReplicaStage } from '../BendfallRouterTypes.js'
import { balancePools, refillPools } from '../pools/BendfallRouterPoolBalance.js'
import type { PoolMember, PoolWork } from '../pools/BendfallRouterPoolBalance.js'
import { isLeaving, stageOf } from './BendfallRouterBelief.js'
import type { PoolIntent } from '../pools/BendfallRouterPoolIntent.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { PoolOrder, ReplicaBelief } from './BendfallRouterState.js'

/** Weight of the newest reading of the work: with two readings a second the last twelve seconds count, more than a burst lasts. */
const WORK_WEIGHT = 0.04

/** Replicas whose loads are asked at once: 24 calls a second, whatever the fleet. */
const ASKED_AT_ONCE = 12

/** Loads are asked again after this; the work is an average of twelve seconds. */
const ASK_AGAIN_MS = 450

/** Loads that are older tell nothing of the work: 84 replicas are asked in 3.5 s. */
const MEASURED_MS = 5_000

/** Share of the replicas whose loads must be known before pools change; a dozen suffice. */
const LEAST_MEASURED_SHARE = 0.5

/** Beyond the time that a change takes, until its effect on the work is seen. */
const SETTLE_MS = 4_000

/** Time that a change takes when the configuration does not tell. */
const FIRST_SWITCH_MS = 6_000

/** After an order that changes nothing another one is given. */
const REFUSED_ORDER_MS = 1_000

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
    if (event.fence === undefined || state.poolIntent === undefined || state.decisions.pools === 'as_found') {
      // The next time that this process holds the lease it measures anew.
      state.poolWork.delete(service.name)
      continue
    }
    balanceService(context, service.name, service.engine.switchMs, event.fence, state.poolIntent)
  }
}

function balanceService (context: RouterContext, service: string, switchMs: number, fence: number, intent: PoolIntent): void {
  const { nowMs, state } = context
  const beliefs = [...state.replicas.values()].filter(({ replica }) => replica.service === service && replica.stage !== 'plain')
  askSome(context, beliefs)
  const measured = beliefs.filter(({ load, loadAtMs }) => load !== undefined && nowMs - loadAtMs < MEASURED_MS)
  const work = measure(context, service, beliefs, measured)
  const staying = beliefs.filter((belief) => !isLeaving(state, belief))
  const known = measured.filter((belief) => staying.includes(belief))
  if (staying.length === 0 || (known.length < staying.length * LEAST_MEASURED_SHARE && known.length < ASKED_AT_ONCE)) return
  const members = beliefs.map((belief) => toMember(context, belief))
  const former = state.poolOrders.get(service)
  const isSettling = former !== undefined && nowMs < former.settledAtMs && !hasLostOrders(context, former)
  const changes = isSettling ? refillPools(members).filter(({ stage }) => stage !== former.stage) : balancePools(members, work, intent)
  const [first] = changes
  if (first === undefined) return
  for (const change of changes) order(context, change.replicaId, change.stage, fence, work)
  const settledAtMs = nowMs + (switchMs === 0 ? FIRST_SWITCH_MS : switchMs) + SETTLE_MS
  state.poolOrders.set(service, { replicaIds: changes.map(({ replicaId }) => replicaId), stage: first.stage, settledAtMs })
}

// Those that were asked longest ago. A part of a large fleet tells as much of its pools
// as all of it, and asking all of 1,200 would take an instance of its own.
function askSome ({ effects, nowMs }: RouterContext, beliefs: readonly ReplicaBelief[]): void {
  const due = beliefs.filter(({ ledgerDownUntilMs, loadAtMs }) => ledgerDownUntilMs <= nowMs && nowMs - loadAtMs >= ASK_AGAIN_MS)
  const oldest = due.sort((a, b) => a.loadAtMs - b.loadAtMs).slice(0, ASKED_AT_ONCE)
  if (oldest.length > 0) effects.push({ type: 'ask_loads', replicaIds: oldest.map(({ replica }) => replica.replicaId) })
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
  const former = context.state.poolOrders.get(belief?.replica.service ?? '')
  if (former === undefined) return
  if (event.outcome === 'unknown') former.settledAtMs = context.nowMs + LATE_ORDER_MS
  if (event.outcome === 'refused') former.settledAtMs = Math.min(former.settledAtMs, context.nowMs + REFUSED_ORDER_MS)
}

// A replica that leaves or is gone will not carry its order out: waiting for it left a
// pool empty for 13 s on a day on which the only prefill replica was replaced.
function hasLostOrders ({ state }: RouterContext, { replicaIds }: PoolOrder): boolean {
  return replicaIds.every((replicaId) => state.replicas.get(replicaId)?.replica.isDraining !== false)
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
    // One that was not asked yet counts as well.
    isServing: load?.isHealthy !== false && !isLeaving(state, belief) && suspectUntilMs <= nowMs,
    isLeaving: isLeaving(state, belief)
  }
}

// The mean of those that were measured stands for all of their pool.
function measure ({ state }: RouterContext, service: string, beliefs: readonly ReplicaBelief[], measured: readonly ReplicaBelief[]): PoolWork {
  const now = { prefill: meanWork(measured, 'prefill') * countOf(beliefs, 'prefill'), decode: meanWork(measured, 'decode') * countOf(beliefs, 'decode') }
  const former = state.poolWork.get(service) ?? now
  const work = {
    prefill: former.prefill + WORK_WEIGHT * (now.prefill - former.prefill),
    decode: former.decode + WORK_WEIGHT * (now.decode - former.decode)
  }
  state.poolWork.set(service, work)
  return work
}

function countOf (beliefs: readonly ReplicaBelief[], stage: ReplicaStage): number {
  return beliefs.filter((belief) => stageOf(belief) === stage).length
}

function meanWork (measured: readonly ReplicaBelief[], stage: ReplicaStage): number {
  const works = measured.filter((belief) => stageOf(belief) === stage).map(({ load }) => load === undefined ? 0 : workOf(load, stage))
  return works.length === 0 ? 0 : works.reduce((sum, work) => sum + work, 0) / works.length
}

function workOf ({ backlogTokens, capacityTokens, roomTokens }: ReplicaLoad, stage: ReplicaStage): number {
  if (stage === 'prefill') return backlogTokens > 0 ? 1 : 0
  return capacityTokens > 0 ? 1 - (roomTokens[0] ?? 0) / capacityTokens : 0
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
