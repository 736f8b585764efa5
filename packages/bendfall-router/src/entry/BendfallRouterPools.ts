/**
 * Measures the load of the prefill and decode pools and orders replicas to change their stage. Only
 * the entry that holds the lease on the pools does so.
 *
 * @module
 */
import type { ReplicaLoad, ReplicaStage } from '../BendfallRouterTypes.js'
import { balancePools, isIdle, refillPools } from '../pools/BendfallRouterPoolBalance.js'
import type { PoolMember, StageChange } from '../pools/BendfallRouterPoolBalance.js'
import { isLeaving, stageOf } from './BendfallRouterBelief.js'
import { isOpen } from './BendfallRouterNotice.js'
import { takePermit } from './BendfallRouterPermits.js'
import type { PoolIntent } from '../pools/BendfallRouterPoolIntent.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { ObservedWork, PoolOrder, ReplicaBelief } from './BendfallRouterState.js'

/** Weight of the newest sample in the moving average: at two samples a second it covers the last twelve seconds, longer than a burst lasts. */
const WORK_WEIGHT = 0.04

/**
 * Minimum time that the load is observed before a change, both after a takeover of the lease and
 * after the previous change. A shorter observation may cover only a burst, and the next one would
 * then revert the change.
 */
const LEAST_OBSERVED_MS = 8_000

/** Replicas whose load is requested in one round: 24 calls a second, whatever the size of the fleet. */
const ASKED_AT_ONCE = 12

/** Minimum time before a change may be reverted, since each change makes a replica unavailable for seconds. */
const LEAST_KEPT_MS = 20_000

/** Interval at which the load of a replica is requested; the average covers twelve seconds. */
const ASK_AGAIN_MS = 450

/** Maximum age of a load that counts as a sample; one round over 84 replicas takes 3.5 s. */
const MEASURED_MS = 5_000

/** Share of the replicas whose load must be known before pools change; a dozen replicas are always enough. */
const LEAST_MEASURED_SHARE = 0.5

/** Time after a completed change until its effect on the load is visible. */
const SETTLE_MS = 4_000

/** Duration of a change when the configuration does not specify it. */
const FIRST_SWITCH_MS = 6_000

/** Time after a refused order until another one may be sent. */
const REFUSED_ORDER_MS = 1_000

/** Time within which an order whose response was lost may still be carried out. */
const LATE_ORDER_MS = 12_000

/**
 * Samples the load of each service and orders the stage changes that balance its pools.
 *
 * @param context - state, time and effects of the current event
 * @param event - periodic tick; has a fencing token while this entry holds the lease on the pools
 */
export function balance (context: RouterContext, event: RouterEventOf<'balance_due'>): void {
  const { state } = context
  for (const service of state.config?.services ?? []) {
    if (service.engine === undefined) continue
    if (event.fence === undefined || state.poolIntent === undefined || state.decisions.pools === 'as_found') {
      // The measurement restarts the next time that this process holds the lease.
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
  const observed = observe(context, service, beliefs, measured)
  if (!areEnoughMeasured(context, beliefs, measured)) return
  const changes = chooseChanges(context, service, beliefs, observed, intent)
  const [first] = changes
  if (first === undefined) return
  for (const change of changes) order(context, change.replicaId, change.stage, fence, observed)
  const settledAtMs = nowMs + (switchMs === 0 ? FIRST_SWITCH_MS : switchMs) + SETTLE_MS
  state.poolOrders.set(service, { replicaIds: changes.map(({ replicaId }) => replicaId), stage: first.stage, orderedAtMs: nowMs, settledAtMs })
  state.poolWork.delete(service)
}

// Ignores replicas that are leaving, since their ledgers may terminate before them.
function areEnoughMeasured ({ state }: RouterContext, beliefs: readonly ReplicaBelief[], measured: readonly ReplicaBelief[]): boolean {
  const staying = beliefs.filter((belief) => !isLeaving(state, belief)).length
  const known = measured.filter((belief) => !isLeaving(state, belief)).length
  return staying > 0 && (known >= staying * LEAST_MEASURED_SHARE || known >= ASKED_AT_ONCE)
}

// An empty pool is refilled without waiting for load samples or for a change of the other pool to settle.
function chooseChanges (context: RouterContext, service: string, beliefs: readonly ReplicaBelief[], observed: ObservedWork, intent: PoolIntent): StageChange[] {
  const members = beliefs.map((belief) => toMember(context, belief))
  const former = context.state.poolOrders.get(service)
  const isSettling = former !== undefined && context.nowMs < former.settledAtMs && !hasLostOrders(context, former)
  const refills = refillPools(members)
  if (isSettling) return refills.filter(({ stage }) => stage !== former.stage)
  return refills.length > 0 ? refills : balanceWork(context, members, observed, intent, former)
}

function balanceWork ({ nowMs }: RouterContext, members: readonly PoolMember[], { sinceMs, work }: ObservedWork, intent: PoolIntent, former: PoolOrder | undefined): StageChange[] {
  if (!isIdle(work) && nowMs - sinceMs < LEAST_OBSERVED_MS) return []
  const changes = balancePools(members, work, intent)
  const isKept = former !== undefined && nowMs < former.orderedAtMs + LEAST_KEPT_MS
  return isKept ? changes.filter(({ stage }) => stage === former.stage) : changes
}

// Requests the loads that are oldest. A sample of a large fleet describes its pools as well as the
// whole fleet does, and polling all of 1,200 replicas would need an instance of its own.
function askSome ({ effects, nowMs }: RouterContext, beliefs: readonly ReplicaBelief[]): void {
  const due = beliefs.filter(({ ledgerDownUntilMs, loadAtMs }) => ledgerDownUntilMs <= nowMs && nowMs - loadAtMs >= ASK_AGAIN_MS)
  const oldest = due.sort((a, b) => a.loadAtMs - b.loadAtMs).slice(0, ASKED_AT_ONCE)
  if (oldest.length > 0) effects.push({ type: 'ask_loads', replicaIds: oldest.map(({ replica }) => replica.replicaId) })
}

/**
 * Handles the response to a stage order: adjusts the time until which the pools are left unchanged.
 *
 * @param context - state, time and effects of the current event
 * @param event - outcome of the order at its replica
 */
export function takeOrderAnswer (context: RouterContext, event: RouterEventOf<'order_answered'>): void {
  const belief = context.state.replicas.get(event.replicaId)
  context.effects.push({ type: 'log', decision: 'order_answered', requestId: '', inputs: { replica: event.replicaId, outcome: event.outcome } })
  const former = context.state.poolOrders.get(belief?.replica.service ?? '')
  if (former === undefined) return
  if (event.outcome === 'unknown') former.settledAtMs = context.nowMs + LATE_ORDER_MS
  if (event.outcome === 'refused') former.settledAtMs = Math.min(former.settledAtMs, context.nowMs + REFUSED_ORDER_MS)
}

// A replica that is draining or gone will not carry out its order. Waiting for it left a pool empty
// for 13 s on a day when the only prefill replica was replaced.
function hasLostOrders ({ state }: RouterContext, { replicaIds }: PoolOrder): boolean {
  return replicaIds.every((replicaId) => state.replicas.get(replicaId)?.replica.isDraining !== false)
}

function order (context: RouterContext, replicaId: string, stage: 'prefill' | 'decode' | 'plain', fence: number, { readings, work }: ObservedWork): void {
  const belief = context.state.replicas.get(replicaId)
  if (belief === undefined || !takePermit(context, belief)) return
  context.effects.push({ type: 'order_stage', replicaId, address: belief.replica.address, stage, fence })
  context.effects.push({ type: 'log', decision: 'stage_ordered', requestId: '', inputs: { replica: replicaId, stage, fence, prefillWork: round(work.prefill), decodeWork: round(work.decode), readings } })
}

function toMember (context: RouterContext, belief: ReplicaBelief): PoolMember {
  const { nowMs, state } = context
  const { load, replica, suspectUntilMs } = belief
  return {
    replicaId: replica.replicaId,
    availabilityZone: replica.availabilityZone,
    stage: stageOf(belief),
    // A replica whose load is not known yet counts as serving.
    isServing: load?.isHealthy !== false && isOpen(context, belief) && suspectUntilMs <= nowMs,
    isLeaving: isLeaving(state, belief)
  }
}

// Extrapolates the mean of the measured replicas to the whole pool. During the first twelve seconds
// all samples have equal weight, so that the first one does not dominate.
function observe ({ nowMs, state }: RouterContext, service: string, beliefs: readonly ReplicaBelief[], measured: readonly ReplicaBelief[]): ObservedWork {
  const now = { prefill: meanWork(measured, 'prefill') * countOf(beliefs, 'prefill'), decode: meanWork(measured, 'decode') * countOf(beliefs, 'decode') }
  const former = state.poolWork.get(service) ?? { work: now, sinceMs: nowMs, readings: 0 }
  const readings = former.readings + 1
  const weight = Math.max(WORK_WEIGHT, 1 / readings)
  const work = {
    prefill: former.work.prefill + weight * (now.prefill - former.work.prefill),
    decode: former.work.decode + weight * (now.decode - former.work.decode)
  }
  const observed = { work, sinceMs: former.sinceMs, readings }
  state.poolWork.set(service, observed)
  return observed
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
