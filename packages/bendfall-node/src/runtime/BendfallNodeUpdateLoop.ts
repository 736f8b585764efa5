/**
 * The update path of a process: events go through the reducer one at a time,
 * the effects go to the handlers registered for their type.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'
import type { Teardown } from './BendfallNodeTeardown.js'

/** An event before the update path stamps its time. */
export type WithoutTime<E> = E extends unknown ? Omit<E, 'atMs'> : never

/** Something with a type. */
export interface Typed {
  readonly type: string
}

/** The update path. */
export interface UpdateLoop<Event extends Typed, Effect extends Typed> {
  readonly clock: Clock
  /** Reduces an event now, or right after the one being reduced. */
  readonly dispatch: (event: WithoutTime<Event>) => void
  /**
   * Registers a handler of an effect type, called after those registered before. It must not throw.
   *
   * @returns teardown
   */
  readonly registerEffect: <T extends Effect['type']>(type: T, handler: (effect: Extract<Effect, { readonly type: T }>) => void) => Teardown
}

/**
 * Makes an update path.
 *
 * @param reduce - takes an event, changes its state and returns the effects
 * @param clock - source of event times
 * @returns the path
 */
export function createUpdateLoop<Event extends Typed & { readonly atMs: number }, Effect extends Typed> (reduce: (event: Event) => readonly Effect[], clock: Clock): UpdateLoop<Event, Effect> {
  const handlers = new Map<string, Array<(effect: Effect) => void>>()
  const queue: Event[] = []
  let isReducing = false

  function drain (): void {
    isReducing = true
    try {
      for (let event = queue.shift(); event !== undefined; event = queue.shift()) {
        for (const effect of reduce(event)) handlers.get(effect.type)?.forEach((handle) => handle(effect))
      }
    } finally {
      isReducing = false
    }
  }

  return {
    clock,
    dispatch: (input) => {
      queue.push({ ...input, atMs: clock.nowMs() } as unknown as Event)
      if (!isReducing) drain()
    },
    registerEffect: (type, handler) => {
      const added = handler as (effect: Effect) => void
      handlers.set(type, [...handlers.get(type) ?? [], added])
      return () => { handlers.set(type, (handlers.get(type) ?? []).filter((one) => one !== added)) }
    }
  }
}
