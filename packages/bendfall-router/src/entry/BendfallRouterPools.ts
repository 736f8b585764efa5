/**
 * Measures the load of the prefill and decode pools and orders replicas to change their stage. Only
 * the entry that holds the lease on the pools does so.
 *
 * @module
 */
import type { ReplicaLoad, ReplicaStage } from '../BendfallRouterTypes.js'
import { balancePools, isIdle, refillPools } from '../pools/BendfallRouterPoolBalance.js'
import type { PoolMember, StageChange } from '../pools/BendfallRouterPoolBalance.js'
import { isLeaving, stageOf } from './BendfallRouterReplicaHealth.js'
import { isAcceptingRequests } from './BendfallRouterNotice.js'
import { tryUsePermit } from './BendfallRouterPermits.js'
import type { PoolIntent } from '../pools/BendfallRouterPoolIntent.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { ObservedWork, PoolOrder, ReplicaView } from './BendfallRouterState.js'

/** Weight of the newest sample in the moving average: at two samples a second it covers the last twelve seconds, longer than a burst lasts. */
const SAMPLE_WEIGHT = 0.04

/**
 * Minimum time that the load is observed before a change, both after a takeover of the lease and
 * after the previous change. A shorter observation may cover only a burst, and the next one would
 * then revert the change.
 */
const MIN_OBSERVED_MS = 8_000

/** Replicas whose load is requested in one round: 24 calls a second, whatever the size of the fleet. */
const MAX_LOAD_REQUESTS = 12

/** Minimum time before a change may be reverted, since each change makes a replica unavailable for seconds. */
const MIN_REVERT_MS = 20_000

/** Interval at which the load of a replica is requested; the average covers twelve seconds. */
const LOAD_INTERVAL_MS = 450

/** Maximum age of a load that counts as a sample; one round over 84 replicas takes 3.5 s. */
const MAX_LOAD_AGE_MS = 5_000

/** Share of the replicas whose load must be known before pools change; a dozen replicas are always enough. */
const MIN_MEASURED_SHARE = 0.5

/** Time after a completed change until its effect on the load is visible. */
const SETTLE_MS = 4_000

/** Duration of a change when the configuration does not specify it. */
const DEFAULT_SWITCH_MS = 6_000

/** Time after a refused order until another one may be sent. */
const REFUSED_ORDER_RETRY_MS = 1_000

/** Time within which an order whose response was lost may still be carried out. */
const UNKNOWN_ORDER_MS = 12_000

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
  const views = [...state.replicas.values()].filter(({ replica }) => replica.service === service && replica.stage !== 'plain')
  requestOldestLoads(context, views)
  const measured = views.filter(({ load, loadAtMs }) => load !== undefined && nowMs - loadAtMs < MAX_LOAD_AGE_MS)
  const observed = updateObservedWork(context, service, views, measured)
  if (!hasEnoughLoads(context, views, measured)) return
  const changes = chooseChanges(context, service, views, observed, intent)
  const [first] = changes
  if (first === undefined) return
  for (const change of changes) orderStage(context, change.replicaId, change.stage, fence, observed)
  const settledAtMs = nowMs + (switchMs === 0 ? DEFAULT_SWITCH_MS : switchMs) + SETTLE_MS
  state.poolOrders.set(service, { replicaIds: changes.map(({ replicaId }) => replicaId), stage: first.stage, orderedAtMs: nowMs, settledAtMs })
  state.poolWork.delete(service)
}

// Ignores replicas that are leaving, since their ledgers may terminate before them.
function hasEnoughLoads ({ state }: RouterContext, views: readonly ReplicaView[], measured: readonly ReplicaView[]): boolean {
  const staying = views.filter((view) => !isLeaving(state, view)).length
  const known = measured.filter((view) => !isLeaving(state, view)).length
  return staying > 0 && (known >= staying * MIN_MEASURED_SHARE || known >= MAX_LOAD_REQUESTS)
}

// An empty pool is refilled without waiting for load samples or for a change of the other pool to settle.
function chooseChanges (context: RouterContext, service: string, views: readonly ReplicaView[], observed: ObservedWork, intent: PoolIntent): StageChange[] {
  const members = views.map((view) => toMember(context, view))
  const previous = context.state.poolOrders.get(service)
  const isSettling = previous !== undefined && context.nowMs < previous.settledAtMs && !isOrderLost(context, previous)
  const refills = refillPools(members)
  if (isSettling) return refills.filter(({ stage }) => stage !== previous.stage)
  return refills.length > 0 ? refills : balanceWork(context, members, observed, intent, previous)
}

function balanceWork ({ nowMs }: RouterContext, members: readonly PoolMember[], { sinceMs, work }: ObservedWork, intent: PoolIntent, previous: PoolOrder | undefined): StageChange[] {
  if (!isIdle(work) && nowMs - sinceMs < MIN_OBSERVED_MS) return []
  const changes = balancePools(members, work, intent)
  const isKept = previous !== undefined && nowMs < previous.orderedAtMs + MIN_REVERT_MS
  return isKept ? changes.filter(({ stage }) => stage === previous.stage) : changes
}

// Requests the loads that are oldest. A sample of a large fleet describes its pools as well as the
// whole fleet does, and polling all of 1,200 replicas would need an instance of its own.
function requestOldestLoads ({ effects, nowMs }: RouterContext, views: readonly ReplicaView[]): void {
  const due = views.filter(({ ledgerDownUntilMs, loadAtMs }) => ledgerDownUntilMs <= nowMs && nowMs - loadAtMs >= LOAD_INTERVAL_MS)
  const oldest = due.sort((a, b) => a.loadAtMs - b.loadAtMs).slice(0, MAX_LOAD_REQUESTS)
  if (oldest.length > 0) effects.push({ type: 'ask_loads', replicaIds: oldest.map(({ replica }) => replica.replicaId) })
}

/**
 * Handles the response to a stage order: adjusts the time until which the pools are left unchanged.
 *
 * @param context - state, time and effects of the current event
 * @param event - outcome of the order at its replica
 */
export function handleOrderAnswer (context: RouterContext, event: RouterEventOf<'order_answered'>): void {
  const view = context.state.replicas.get(event.replicaId)
  context.effects.push({ type: 'log', decision: 'order_answered', requestId: '', inputs: { replica: event.replicaId, outcome: event.outcome } })
  const previous = context.state.poolOrders.get(view?.replica.service ?? '')
  if (previous === undefined) return
  if (event.outcome === 'unknown') previous.settledAtMs = context.nowMs + UNKNOWN_ORDER_MS
  if (event.outcome === 'refused') previous.settledAtMs = Math.min(previous.settledAtMs, context.nowMs + REFUSED_ORDER_RETRY_MS)
}

// A replica that is draining or gone will not carry out its order. Waiting for it left a pool empty
// for 13 s on a day when the only prefill replica was replaced.
function isOrderLost ({ state }: RouterContext, { replicaIds }: PoolOrder): boolean {
  return replicaIds.every((replicaId) => state.replicas.get(replicaId)?.replica.isDraining !== false)
}

function orderStage (context: RouterContext, replicaId: string, stage: 'prefill' | 'decode' | 'plain', fence: number, { readings, work }: ObservedWork): void {
  const view = context.state.replicas.get(replicaId)
  if (view === undefined || !tryUsePermit(context, view)) return
  context.effects.push({ type: 'order_stage', replicaId, address: view.replica.address, stage, fence })
  context.effects.push({ type: 'log', decision: 'stage_ordered', requestId: '', inputs: { replica: replicaId, stage, fence, prefillWork: round(work.prefill), decodeWork: round(work.decode), readings } })
}

function toMember (context: RouterContext, view: ReplicaView): PoolMember {
  const { nowMs, state } = context
  const { load, replica, suspectUntilMs } = view
  return {
    replicaId: replica.replicaId,
    availabilityZone: replica.availabilityZone,
    softwareVersion: replica.softwareVersion,
    stage: stageOf(view),
    // A replica whose load is not known yet counts as serving.
    isServing: load?.isHealthy !== false && isAcceptingRequests(context, view) && suspectUntilMs <= nowMs,
    isLeaving: isLeaving(state, view)
  }
}

// Extrapolates the mean of the measured replicas to the whole pool. During the first twelve seconds
// all samples have equal weight, so that the first one does not dominate.
function updateObservedWork ({ nowMs, state }: RouterContext, service: string, views: readonly ReplicaView[], measured: readonly ReplicaView[]): ObservedWork {
  const current = { prefill: meanWork(measured, 'prefill') * countOf(views, 'prefill'), decode: meanWork(measured, 'decode') * countOf(views, 'decode') }
  const previous = state.poolWork.get(service) ?? { work: current, sinceMs: nowMs, readings: 0 }
  const readings = previous.readings + 1
  const weight = Math.max(SAMPLE_WEIGHT, 1 / readings)
  const work = {
    prefill: previous.work.prefill + weight * (current.prefill - previous.work.prefill),
    decode: previous.work.decode + weight * (current.decode - previous.work.decode)
  }
  const observed = { work, sinceMs: previous.sinceMs, readings }
  state.poolWork.set(service, observed)
  return observed
}

function countOf (views: readonly ReplicaView[], stage: ReplicaStage): number {
  return views.filter((view) => stageOf(view) === stage).length
}

function meanWork (measured: readonly ReplicaView[], stage: ReplicaStage): number {
  const works = measured.filter((view) => stageOf(view) === stage).map(({ load }) => load === undefined ? 0 : workOf(load, stage))
  return works.length === 0 ? 0 : works.reduce((sum, work) => sum + work, 0) / works.length
}

function workOf ({ backlogTokens, capacityTokens, roomTokens }: ReplicaLoad, stage: ReplicaStage): number {
  if (stage === 'prefill') return backlogTokens > 0 ? 1 : 0
  return capacityTokens > 0 ? 1 - (roomTokens[0] ?? 0) / capacityTokens : 0
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
