/**
 * The working copy that handlers of the sidecar role change while they reduce
 * one event. Seen from outside a handler stays pure: all that it replaces are
 * the fields of this object, made afresh for the event.
 *
 * @module
 */
import type { Config } from '../BendfallCoreConfig.js'
import type { Effect } from '../BendfallCoreEffects.js'
import type { EventOf, EventType, TimerKind } from '../BendfallCoreEvents.js'
import type { EventHandler } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { Self, State } from '../BendfallCoreState.js'
import type { DecodeMemory, SidecarState } from './BendfallCoreSidecarState.js'

/** Working copy of the sidecar slice during one event. */
export interface SidecarUpdate {
  readonly atMs: number
  readonly self: Self
  readonly config: Config | undefined
  stopping: boolean
  sidecar: SidecarState
  readonly effects: Effect[]
}

/** Handles one type of event on the working copy. */
export type SidecarHandler<T extends EventType> = (update: SidecarUpdate, event: EventOf<T>) => void

/** Fields of a line of the time line. */
export type RecordFields = Readonly<Record<string, string | number | boolean>>

/**
 * Opens the working copy of a state.
 *
 * @param state - state of the process
 * @param sidecar - its sidecar slice
 * @param atMs - monotonic time
 * @returns the working copy
 */
export function openUpdate (state: State, sidecar: SidecarState, atMs: number): SidecarUpdate {
  return { atMs, self: state.self, config: state.config, stopping: state.stopping, sidecar, effects: [] }
}

/**
 * Turns handlers of the working copy into one handler of the reducer.
 *
 * @param handlers - run in this order for each event
 * @returns the handler; a process without the sidecar role ignores the event
 */
export function sidecarHandler<T extends EventType> (...handlers: ReadonlyArray<SidecarHandler<T>>): EventHandler<T> {
  return (state, event) => {
    if (state.sidecar === undefined) return stay(state)
    const update = openUpdate(state, state.sidecar, event.atMs)
    for (const handle of handlers) handle(update, event)
    return closeUpdate(state, update)
  }
}

/**
 * Puts the working copy back into the state.
 *
 * @param state - state that the copy was opened from
 * @param update - the working copy
 * @returns the step
 */
export function closeUpdate (state: State, update: SidecarUpdate): { readonly state: State, readonly effects: readonly Effect[] } {
  const { sidecar, stopping, effects } = update
  const isSame = sidecar === state.sidecar && stopping === state.stopping
  return { state: isSame ? state : { ...state, sidecar, stopping }, effects }
}

/** Replaces fields of the slice. */
export function patchSidecar (update: SidecarUpdate, patch: Partial<SidecarState>): void {
  update.sidecar = { ...update.sidecar, ...patch }
}

/** Replaces fields of the memory account. */
export function patchMemory (update: SidecarUpdate, patch: Partial<DecodeMemory>): void {
  patchSidecar(update, { memory: { ...update.sidecar.memory, ...patch } })
}

/** Asks for an effect. */
export function emit (update: SidecarUpdate, effect: Effect): void {
  update.effects.push(effect)
}

/** Writes a line of the time line. */
export function record (update: SidecarUpdate, subject: string, event: string, fields: RecordFields): void {
  emit(update, { type: 'record', subject, event, fields })
}

/** Adds one to a counter. */
export function countOne (update: SidecarUpdate, metric: string, tags: Readonly<Record<string, string>>): void {
  emit(update, { type: 'count', metric, value: 1, tags })
}

/** Sets or moves a timer. */
export function setTimer (update: SidecarUpdate, kind: TimerKind, id: string, atMs: number): void {
  emit(update, { type: 'set_timer', timer: { kind, id }, atMs })
}

/** Clears a timer; without effect when it is not set. */
export function clearTimer (update: SidecarUpdate, kind: TimerKind, id: string): void {
  emit(update, { type: 'clear_timer', timer: { kind, id } })
}

/**
 * Moves a mean towards a sample.
 *
 * @param mean - mean so far; 0 when there is none
 * @param sample - new value
 * @param weight - weight of the sample, 0 to 1
 * @returns the sample when there was no mean, else the weighted mean
 */
export function moveMean (mean: number, sample: number, weight: number): number {
  return mean === 0 ? sample : mean + (sample - mean) * weight
}
