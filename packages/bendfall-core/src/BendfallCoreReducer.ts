/**
 * The one reducer: a table of handlers, one list for each event type.
 *
 * @module
 */
import type { Effect } from './BendfallCoreEffects.js'
import type { Event, EventOf, EventType } from './BendfallCoreEvents.js'
import type { State } from './BendfallCoreState.js'

/** Result of handling an event. */
export interface Step {
  readonly state: State
  readonly effects: readonly Effect[]
}

/** Handles one type of event. Pure: same input, same output. */
export type EventHandler<T extends EventType> = (state: State, event: EventOf<T>) => Step

/** Handlers by event type; a feature fills in those it cares for. */
export type HandlerTable = { readonly [T in EventType]?: EventHandler<T> }

/** Reduces one event. */
export type Reducer = (state: State, event: Event) => Step

const NO_EFFECTS: readonly Effect[] = []

/**
 * Makes a step without effects.
 *
 * @param state - the state after the step
 * @returns the step
 */
export function stay (state: State): Step {
  return { state, effects: NO_EFFECTS }
}

/**
 * Builds a reducer from the tables of several features. Handlers of one event
 * run in the order of the tables; each sees the state the former one left.
 *
 * @param tables - handler tables of the features
 * @returns the reducer; an event without handler changes nothing
 */
export function createReducer (tables: readonly HandlerTable[]): Reducer {
  const byType = collectHandlers(tables)
  return (state, event) => {
    const handlers = byType.get(event.type)
    if (handlers === undefined) return stay(state)
    return runHandlers(handlers, state, event)
  }
}

type AnyHandler = (state: State, event: Event) => Step

function collectHandlers (tables: readonly HandlerTable[]): ReadonlyMap<EventType, readonly AnyHandler[]> {
  const byType = new Map<EventType, AnyHandler[]>()
  for (const table of tables) {
    for (const [type, handler] of Object.entries(table)) {
      const handlers = byType.get(type as EventType) ?? []
      handlers.push(handler as AnyHandler)
      byType.set(type as EventType, handlers)
    }
  }
  return byType
}

function runHandlers (handlers: readonly AnyHandler[], state: State, event: Event): Step {
  if (handlers.length === 1) return handlers[0](state, event)
  let current = state
  const effects: Effect[] = []
  for (const handler of handlers) {
    const step = handler(current, event)
    current = step.state
    effects.push(...step.effects)
  }
  return { state: current, effects }
}
