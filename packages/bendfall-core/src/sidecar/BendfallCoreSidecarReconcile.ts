/**
 * Brings the engine to what the configuration in force says of this instance's
 * pool. A change that would hurt running work waits until the work has ended;
 * the version of the configuration is the fencing token of the order.
 *
 * @module
 */
import type { EngineOrder } from '../BendfallCoreEffects.js'
import type { State } from '../BendfallCoreState.js'
import { configSubject } from '../config/BendfallCoreConfigHandlers.js'
import { isClearing } from './BendfallCoreSidecarClear.js'
import { DRAIN_LIMIT_MS, isIdle } from './BendfallCoreSidecarIdle.js'
import type { ServingView } from './BendfallCoreSidecarServing.js'
import { isWithdrawn, ownPoolConfig } from './BendfallCoreSidecarServing.js'
import type { OrderPhase, OrderStatus } from './BendfallCoreSidecarState.js'
import { createSidecarState } from './BendfallCoreSidecarState.js'
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { clearTimer, countOne, emit, patchSidecar, record, setTimer } from './BendfallCoreSidecarUpdate.js'

/** Shortest and longest pause before a failed order is sent again. */
export const ORDER_RETRY_MIN_MS = 500
export const ORDER_RETRY_MAX_MS = 30_000

/** Name of the timers of orders. */
export const ORDER_TIMER = 'engine_order'

/** Where an engine stands against the configuration, for operators. */
export interface ReconcileStatus {
  readonly phase: OrderPhase
  readonly configVersion: number
  readonly sentToken: number
  /** What the configuration in force asks for, if it asks for anything. */
  readonly wanted?: EngineOrder
  /** What the engine is known to hold. */
  readonly held?: EngineOrder
  readonly failures: number
  /** Last failure since the last success; empty when there was none. */
  readonly failure: string
}

/**
 * Tells where the engine stands against the configuration.
 *
 * @param state - state of the process
 * @returns the status
 */
export function reconcileStatus (state: State): ReconcileStatus {
  const { phase, sentToken, held, failures, failure } = (state.sidecar ?? createSidecarState()).order
  const wanted = wantedOrder(state)
  return { phase, configVersion: state.config?.version ?? 0, sentToken, wanted, held, failures, failure }
}

/**
 * Compares what the engine holds with the configuration in force and takes the
 * next step: nothing, drain, or order.
 *
 * @param update - working copy
 */
export function reconcile (update: SidecarUpdate): void {
  if (isClearing(update)) return
  if (update.stopping || isWithdrawn(update)) return settle(update)
  const wanted = wantedOrder(update)
  if (wanted === undefined) return settle(update)
  const { phase, held, sent } = update.sidecar.order
  if (phase === 'ordered') return maySupersede(update, sent, wanted) ? sendOrder(update, wanted) : undefined
  if (isSameOrder(held, wanted)) return settle(update)
  if (mustDrain(held, wanted) && !isIdle(update.sidecar)) return startDrain(update, wanted)
  sendOrder(update, wanted)
}

/** Sends the order as soon as the work of the former one has ended. */
export function endOrderDrain (update: SidecarUpdate): void {
  if (update.sidecar.order.phase === 'draining' && isIdle(update.sidecar)) reconcile(update)
}

/** Time to send an order again. */
export const reconcileTimerFired: SidecarHandler<'timer_fired'> = (update, { timer }) => {
  if (timer.kind === 'reconcile') reconcile(update)
}

function wantedOrder (view: Pick<ServingView, 'self' | 'config'>): EngineOrder | undefined {
  const pool = ownPoolConfig(view)
  if (pool?.model === undefined || pool.role === 'service') return undefined
  const model = view.config?.models[pool.model]
  if (model === undefined) return undefined
  const { version, adapters, weightBytes } = model
  return { model: pool.model, modelVersion: version, adapters, role: pool.role, weightBytes }
}

function isSameOrder (a: EngineOrder | undefined, b: EngineOrder): boolean {
  if (a === undefined || !isSameWork(a, b)) return false
  return a.adapters.length === b.adapters.length && includesAll(a.adapters, b.adapters)
}

function isSameWork (a: EngineOrder, b: EngineOrder): boolean {
  return a.model === b.model && a.modelVersion === b.modelVersion && a.role === b.role
}

function includesAll (names: readonly string[], wanted: readonly string[]): boolean {
  return wanted.every((name) => names.includes(name))
}

/**
 * An engine that does not check fencing tokens may finish the older of two
 * orders last. It gets the newer one only after the older has ended.
 */
function maySupersede ({ self }: SidecarUpdate, sent: EngineOrder | undefined, wanted: EngineOrder): boolean {
  return self.checksFencing === true && !isSameOrder(sent, wanted)
}

/** Adapters may be added beside running work; nothing else may change. */
function mustDrain (held: EngineOrder | undefined, wanted: EngineOrder): boolean {
  if (held === undefined) return false
  return !isSameWork(held, wanted) || !includesAll(wanted.adapters, held.adapters)
}

function settle (update: SidecarUpdate): void {
  const { phase } = update.sidecar.order
  if (phase === 'settled' || phase === 'ordered') return
  clearTimer(update, 'reconcile', ORDER_TIMER)
  clearTimer(update, 'drain_check', ORDER_TIMER)
  patchOrder(update, { phase: 'settled' })
}

function startDrain (update: SidecarUpdate, wanted: EngineOrder): void {
  if (update.sidecar.order.phase === 'draining') return
  patchOrder(update, { phase: 'draining' })
  clearTimer(update, 'reconcile', ORDER_TIMER)
  setTimer(update, 'drain_check', ORDER_TIMER, update.atMs + DRAIN_LIMIT_MS)
  recordOrder(update, 'order_draining', wanted)
}

function sendOrder (update: SidecarUpdate, wanted: EngineOrder): void {
  const fencingToken = update.config?.version ?? 0
  const { held, sentToken } = update.sidecar.order
  if (fencingToken < sentToken) return
  const stillHeld = mustDrain(held, wanted) ? undefined : held
  patchOrder(update, { phase: 'ordered', held: stillHeld, sent: wanted, sentToken: fencingToken })
  clearTimer(update, 'reconcile', ORDER_TIMER)
  clearTimer(update, 'drain_check', ORDER_TIMER)
  emit(update, { type: 'engine_order', fencingToken, order: wanted })
  recordOrder(update, 'order_sent', wanted)
}

/** The engine carried an order out, or did not. */
export const orderEnded: SidecarHandler<'engine_order_ended'> = (update, { fencingToken, result }) => {
  const { phase, sentToken } = update.sidecar.order
  if (fencingToken !== sentToken) return
  if (result.type === 'done' && (phase === 'ordered' || phase === 'retrying')) noteDone(update)
  if (result.type === 'failed' && phase === 'ordered') noteFailed(update, result.reason, result.retryAfterMs)
}

function noteDone (update: SidecarUpdate): void {
  const { sent } = update.sidecar.order
  clearTimer(update, 'reconcile', ORDER_TIMER)
  patchOrder(update, { phase: 'settled', held: sent, failures: 0, failure: '' })
  if (sent !== undefined) recordOrder(update, 'order_done', sent)
  reconcile(update)
}

function noteFailed (update: SidecarUpdate, reason: string, retryAfterMs: number): void {
  const { failures, sent } = update.sidecar.order
  const pauseMs = Math.max(retryAfterMs, orderBackoffMs(failures))
  patchOrder(update, { phase: 'retrying', failures: failures + 1, failure: reason })
  setTimer(update, 'reconcile', ORDER_TIMER, update.atMs + pauseMs)
  countOne(update, 'order_failed', {})
  if (sent !== undefined) recordOrder(update, 'order_failed', sent)
}

/**
 * Works out the pause after failed orders.
 *
 * @param failures - failures before the last one
 * @returns milliseconds, doubled with each failure up to the longest pause
 */
export function orderBackoffMs (failures: number): number {
  return Math.min(ORDER_RETRY_MAX_MS, ORDER_RETRY_MIN_MS * 2 ** failures)
}

function recordOrder (update: SidecarUpdate, event: string, { model, modelVersion, role }: EngineOrder): void {
  record(update, configSubject(update.config?.version ?? 0), event, { model, modelVersion, role, instanceId: update.self.instanceId })
}

function patchOrder (update: SidecarUpdate, patch: Partial<OrderStatus>): void {
  patchSidecar(update, { order: { ...update.sidecar.order, ...patch } })
}
