/**
 * Measures the work of the pools and orders stage changes while this process
 * holds the lease on them.
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

/** Weight of the newest reading of the work: with two readings a second the last twelve seconds count, more than a burst lasts. */
const WORK_WEIGHT = 0.04

/**
 * Work is observed for this long before it asks for a change, by a holder that took over as
 * well as after a change: a shorter look may see nothing but a burst, whose change the next
 * look undoes.
 */
const LEAST_OBSERVED_MS = 8_000

/** Replicas whose loads are asked at once: 24 calls a second, whatever the fleet. */
const ASKED_AT_ONCE = 12

/** A change is not taken back within this: it took a replica away for seconds, as would the next. */
const LEAST_KEPT_MS = 20_000

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

// The ledgers of those that leave may be gone before them.
function areEnoughMeasured ({ state }: RouterContext, beliefs: readonly ReplicaBelief[], measured: readonly ReplicaBelief[]): boolean {
  const staying = beliefs.filter((belief) => !isLeaving(state, belief)).length
  const known = measured.filter((belief) => !isLeaving(state, belief)).length
  return staying > 0 && (known >= staying * LEAST_MEASURED_SHARE || known >= ASKED_AT_ONCE)
}

// An empty pool does not wait for the work, nor for the effect of a change of the other one.
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
    // One that was not asked yet counts as well.
    isServing: load?.isHealthy !== false && isOpen(context, belief) && suspectUntilMs <= nowMs,
    isLeaving: isLeaving(state, belief)
  }
}

// The mean of those that were measured stands for all of their pool. Until twelve seconds are
// observed all readings count alike, so that the first one does not decide.
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
