/**
 * The load of the upstream, which rides on the answers to asks.
 *
 * @module
 */
import type { LoadView } from '../BendfallCoreMessages.js'
import type { State } from '../BendfallCoreState.js'
import { forecastReadyMs } from './BendfallCoreSidecarForecast.js'
import { freeBytes } from './BendfallCoreSidecarMemory.js'
import { sumQueued } from './BendfallCoreSidecarQueue.js'
import type { ServingView } from './BendfallCoreSidecarServing.js'
import { isDraining, ownPoolConfig } from './BendfallCoreSidecarServing.js'
import type { SidecarState } from './BendfallCoreSidecarState.js'
import { createSidecarState } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchSidecar } from './BendfallCoreSidecarUpdate.js'

/** For how long the estimated wait serves; an estimate costs most of a reply. */
export const TYPICAL_WAIT_KEPT_MS = 20

/** Stands for a wait that has no end in sight. */
export const NEVER_READY_MS = 3_600_000

/**
 * Tells the load of this sidecar's upstream.
 *
 * @param state - state of the process; one without the sidecar role has no load
 * @param nowMs - monotonic time
 * @returns the load
 */
export function loadView (state: State, nowMs: number): LoadView {
  const view = { ...state, sidecar: state.sidecar ?? createSidecarState() }
  return describeLoad(view, typicalReadyMs(view.sidecar, nowMs))
}

/**
 * Tells the load as the working copy has it.
 *
 * @param update - working copy; keeps the estimated wait for the next reply
 * @returns the load
 */
export function viewLoad (update: SidecarUpdate): LoadView {
  const { sidecar, atMs } = update
  if (atMs - sidecar.typicalWait.atMs >= TYPICAL_WAIT_KEPT_MS) {
    patchSidecar(update, { typicalWait: { readyInMs: typicalReadyMs(sidecar, atMs), atMs } })
  }
  return describeLoad(update, update.sidecar.typicalWait.readyInMs)
}

function describeLoad (view: ServingView, readyInMs: number): LoadView {
  const { sidecar } = view
  const role = ownPoolConfig(view)?.role
  return {
    ...(role === 'prefill' ? NO_DECODE_LOAD : describeDecode(sidecar, readyInMs)),
    ...(role === 'decode' ? NO_PREFILL_LOAD : describePrefill(sidecar)),
    activeRequests: countRequests(sidecar),
    draining: isDraining(view),
    configVersion: view.config?.version ?? 0
  }
}

type DecodeLoad = Pick<LoadView, 'freeKvBytes' | 'totalKvBytes' | 'stepMs' | 'readyInMs'>
type PrefillLoad = Pick<LoadView, 'queuedPrefillTokens' | 'urgentPrefillTokens' | 'prefillTokensPerSecond'>

const NO_DECODE_LOAD: DecodeLoad = { freeKvBytes: 0, totalKvBytes: 0, stepMs: 0, readyInMs: 0 }
const NO_PREFILL_LOAD: PrefillLoad = { queuedPrefillTokens: 0, urgentPrefillTokens: 0, prefillTokensPerSecond: 0 }

function describeDecode (sidecar: SidecarState, readyInMs: number): DecodeLoad {
  const { memory } = sidecar
  return {
    freeKvBytes: Math.max(0, freeBytes(memory) - queuedBytes(sidecar)),
    totalKvBytes: memory.totalKvBytes,
    stepMs: memory.stepMs,
    readyInMs
  }
}

function describePrefill ({ prefill }: SidecarState): PrefillLoad {
  return {
    queuedPrefillTokens: prefill.queuedTokens.interactive + prefill.queuedTokens.summary,
    urgentPrefillTokens: prefill.queuedTokens.interactive,
    prefillTokensPerSecond: prefill.tokensPerSecond
  }
}

/** A summary of typical size at the end of the queue. */
function typicalReadyMs (sidecar: SidecarState, nowMs: number): number {
  const place = { trafficClass: 'summary', kvBytes: sidecar.memory.typicalKvBytes, bytesAhead: queuedBytes(sidecar) } as const
  return Math.min(NEVER_READY_MS, forecastReadyMs(sidecar, place, nowMs))
}

function queuedBytes ({ queue }: SidecarState): number {
  return sumQueued(queue.interactive) + sumQueued(queue.summary)
}

function countRequests (sidecar: SidecarState): number {
  const { reservations, releasing, prefill, calls } = sidecar
  const held = reservations.size + releasing.size
  const prefills = prefill.running.size + prefill.waiting.length
  return held + prefills + countCalls(calls)
}

function countCalls (calls: SidecarState['calls']): number {
  return calls.running.size + calls.waiting.interactive.length + calls.waiting.summary.length
}
