/**
 * Carries out the effects of a sidecar on its model engine.
 *
 * @module
 */
import type { DecodeAsk, EffectOf, EventOf, PrefillAsk, TrafficClass } from 'bendfall-core'
import type { AttemptRef, EngineImportOutcome, EngineOrderOutcome, EnginePort } from 'bendfall-upstream'
import type { Clock } from '../runtime/BendfallNodeClock.js'
import { backoffMs, pause } from '../runtime/BendfallNodePause.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'

/** Pause after the first cancel that the engine did not confirm. */
export const CANCEL_RETRY_MS = 50

/** Longest pause between two cancels. */
export const CANCEL_RETRY_MAX_MS = 1_000

/** Priority at the engine by traffic class; higher goes first. */
const PRIORITIES: Readonly<Record<TrafficClass, number>> = { interactive: 10, summary: 0 }

interface EngineParts {
  readonly runtime: Runtime
  readonly engine: EnginePort
  /** What runs at the engine, by attempt. */
  readonly running: Map<string, AbortController>
  readonly closed: AbortSignal
}

/** How the clearing of an engine is followed and ended. */
export interface ClearHooks {
  readonly closed?: AbortSignal
  readonly onFailedTry?: (tries: number) => void
}

const nameOf = ({ requestId, attempt }: AttemptRef): string => `${requestId}:${attempt}`

/**
 * Cancels everything that an earlier process of this sidecar left at the
 * engine; repeated until the engine confirms.
 *
 * @param engine - engine beside the sidecar
 * @param clock - source of pauses between tries
 * @param hooks - ends the tries early, and is told of each that failed
 */
export async function clearEngine (engine: EnginePort, clock: Clock, { closed, onFailedTry }: ClearHooks = {}): Promise<void> {
  const isClosed = (): boolean => closed?.aborted === true
  for (let tried = 0; !await engine.cancelAll(); tried += 1) {
    if (isClosed()) return
    onFailedTry?.(tried + 1)
    await pause(clock, backoffMs(CANCEL_RETRY_MS, CANCEL_RETRY_MAX_MS, tried), closed)
    if (isClosed()) return
  }
}

/**
 * Clears the engine while the process listens already. The reducer holds back
 * orders, and with them all work, until the engine confirms.
 *
 * @param runtime - update path of the process
 * @param engine - engine beside the sidecar
 * @param onFailedTry - told of each try that the engine did not confirm
 * @returns teardown that ends the tries
 */
export function registerEngineClear (runtime: Runtime, engine: EnginePort, onFailedTry: (tries: number) => void): Teardown {
  const closing = new AbortController()
  const tell = (tries: number, isCleared: boolean): void => runtime.dispatch({ type: 'engine_clear_tried', tries, isCleared })
  const note = (tries: number): void => {
    onFailedTry(tries)
    tell(tries, false)
  }
  tell(0, false)
  clearEngine(engine, runtime.clock, { closed: closing.signal, onFailedTry: note }).then(() => {
    if (!closing.signal.aborted) tell(0, true)
  })
  return () => closing.abort()
}

/**
 * Registers the effects of a sidecar on its model engine.
 *
 * @param runtime - update path of the process
 * @param engine - engine beside the sidecar
 * @param reportMs - pause between two readings of the engine's load
 * @returns teardown that also ends what runs at the engine
 */
export function registerEngine (runtime: Runtime, engine: EnginePort, reportMs: number): Teardown {
  const closing = new AbortController()
  const parts: EngineParts = { runtime, engine, running: new Map(), closed: closing.signal }
  reportEngine(parts, reportMs)
  return combineTeardowns([
    () => { for (const controller of parts.running.values()) controller.abort() },
    () => closing.abort(),
    runtime.registerEffect('engine_prefill', (effect) => { runPrefill(parts, effect.ask) }),
    runtime.registerEffect('engine_import', (effect) => { runImport(parts, effect.ask) }),
    runtime.registerEffect('engine_decode', (effect) => { runDecode(parts, effect.ask) }),
    runtime.registerEffect('engine_cancel', (effect) => { runCancel(parts, effect) }),
    runtime.registerEffect('engine_order', (effect) => { runOrder(parts, effect) })
  ])
}

function signalOf (parts: EngineParts, ref: AttemptRef): AbortSignal {
  const controller = parts.running.get(nameOf(ref)) ?? new AbortController()
  parts.running.set(nameOf(ref), controller)
  return controller.signal
}

function finish (parts: EngineParts, ref: AttemptRef): void {
  parts.running.delete(nameOf(ref))
}

async function runPrefill (parts: EngineParts, ask: PrefillAsk): Promise<void> {
  const { requestId, attempt, model, prompt, promptTokens, prefixHashes } = ask
  const priority = PRIORITIES[ask.trafficClass]
  const signal = signalOf(parts, ask)
  const outcome = await parts.engine.prefill({ requestId, attempt, model, prompt, promptTokens, prefixHashes, priority }, signal)
  if (signal.aborted) return
  finish(parts, ask)
  const result = outcome.type === 'done' ? outcome : { type: 'failed', reason: 'upstream_failed' } as const
  parts.runtime.dispatch({ type: 'engine_prefill_ended', requestId, attempt, result })
}

async function runImport (parts: EngineParts, ask: DecodeAsk): Promise<void> {
  const { requestId, attempt, handle, exportUrl, kvBytes } = ask
  const signal = signalOf(parts, ask)
  const onProgress = (transferredBytes: number): void => {
    if (!signal.aborted) parts.runtime.dispatch({ type: 'engine_import_progressed', requestId, attempt, transferredBytes })
  }
  const outcome = await parts.engine.importKv({ requestId, attempt, handle, exportUrl, kvBytes }, onProgress, signal)
  if (signal.aborted) return
  finish(parts, ask)
  parts.runtime.dispatch({ type: 'engine_import_ended', requestId, attempt, result: importResult(outcome) })
}

function importResult (outcome: EngineImportOutcome): EventOf<'engine_import_ended'>['result'] {
  if (outcome.type === 'done') return outcome
  const reason = outcome.kvLost ? 'prefill_lost' : 'upstream_failed'
  return { type: 'failed', reason, kvLost: outcome.kvLost, ...(outcome.detail !== '' && { detail: outcome.detail }) }
}

async function runDecode (parts: EngineParts, ask: DecodeAsk): Promise<void> {
  const { requestId, attempt, model, prompt, maxOutputTokens, resumeTokens } = ask
  const priority = PRIORITIES[ask.trafficClass]
  const signal = signalOf(parts, ask)
  const onTokens = (index: number, tokens: readonly string[]): void => {
    if (!signal.aborted) parts.runtime.dispatch({ type: 'engine_tokens', requestId, attempt, index, tokens })
  }
  const outcome = await parts.engine.decode({ requestId, attempt, model, prompt, maxOutputTokens, resumeTokens, priority }, onTokens, signal)
  if (signal.aborted) return
  finish(parts, ask)
  const result = outcome.type === 'finished' ? outcome : { type: 'failed', reason: 'upstream_failed' } as const
  parts.runtime.dispatch({ type: 'engine_decode_ended', requestId, attempt, result })
}

async function runCancel (parts: EngineParts, { requestId, attempt }: AttemptRef): Promise<void> {
  parts.running.get(nameOf({ requestId, attempt }))?.abort()
  finish(parts, { requestId, attempt })
  for (let tried = 0; !await parts.engine.cancel({ requestId, attempt }); tried += 1) {
    if (parts.closed.aborted) return
    await pause(parts.runtime.clock, backoffMs(CANCEL_RETRY_MS, CANCEL_RETRY_MAX_MS, tried))
  }
  if (!parts.closed.aborted) parts.runtime.dispatch({ type: 'engine_cancelled', requestId, attempt, confirmed: true })
}

async function runOrder (parts: EngineParts, { fencingToken, order }: EffectOf<'engine_order'>): Promise<void> {
  const outcome = await parts.engine.order(fencingToken, order)
  if (!parts.closed.aborted) parts.runtime.dispatch({ type: 'engine_order_ended', fencingToken, result: orderResult(outcome) })
}

function orderResult (outcome: EngineOrderOutcome): EventOf<'engine_order_ended'>['result'] {
  switch (outcome.type) {
    case 'done': return outcome
    case 'stale': return { type: 'failed', reason: 'stale', retryAfterMs: 0 }
    case 'failed': return { type: 'failed', reason: outcome.detail, retryAfterMs: outcome.retryAfterMs }
  }
}

async function reportEngine ({ runtime, engine, closed }: EngineParts, reportMs: number): Promise<void> {
  while (!closed.aborted) {
    const report = await engine.report()
    if (closed.aborted) return
    if (report !== undefined) runtime.dispatch({ type: 'engine_reported', report })
    await pause(runtime.clock, reportMs, closed)
  }
}
