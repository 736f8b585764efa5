/**
 * The update path of a process: events go through the reducer one at a time,
 * the effects go to the one handler registered for their type.
 *
 * @module
 */
import type { Effect, EffectOf, EffectType, Event, Reducer, State, Step } from 'bendfall-core'
import type { Clock } from './BendfallNodeClock.js'
import { createUpdateLoop } from './BendfallNodeUpdateLoop.js'
import type { WithoutTime } from './BendfallNodeUpdateLoop.js'

/** An event before the runtime stamps its time. */
export type EventInput = WithoutTime<Event>

/** Carries out one type of effect. Must not throw. */
export type EffectHandler<T extends EffectType> = (effect: EffectOf<T>) => void

/** Sees every event with the step it led to. */
export type StepListener = (event: Event, step: Step) => void

/** The update path of a process. */
export interface Runtime {
  readonly clock: Clock
  /** Reduces an event now, or right after the one being reduced. */
  readonly dispatch: (event: EventInput) => void
  readonly getState: () => State
  /**
   * Registers the only handler of an effect type.
   *
   * @returns teardown
   */
  readonly registerEffect: <T extends EffectType>(type: T, handler: EffectHandler<T>) => () => void
  /**
   * Registers a listener that sees every step before its effects run.
   *
   * @returns teardown
   */
  readonly registerListener: (listener: StepListener) => () => void
}

/**
 * Makes the update path of a process.
 *
 * @param reducer - the decision logic
 * @param initial - state at start
 * @param clock - source of event times
 * @returns the runtime
 */
export function createRuntime (reducer: Reducer, initial: State, clock: Clock): Runtime {
  const handled = new Set<EffectType>()
  const listeners = new Set<StepListener>()
  let state = initial

  function applyEvent (event: Event): readonly Effect[] {
    const step = reducer(state, event)
    state = step.state
    for (const listener of listeners) listener(event, step)
    return step.effects
  }

  const loop = createUpdateLoop<Event, Effect>(applyEvent, clock)
  return {
    clock,
    getState: () => state,
    dispatch: loop.dispatch,
    registerEffect: (type, handler) => {
      if (handled.has(type)) throw new Error(`effect ${type} has a handler already`)
      handled.add(type)
      const teardown = loop.registerEffect(type, handler)
      return () => {
        handled.delete(type)
        teardown()
      }
    },
    registerListener: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
