/**
 * Carries out the effects `set_timer` and `clear_timer`.
 *
 * @module
 */
import type { TimerKey } from 'bendfall-core'
import type { Runtime } from './BendfallNodeRuntime.js'
import type { Teardown } from './BendfallNodeTeardown.js'
import { combineTeardowns } from './BendfallNodeTeardown.js'

const nameOf = (timer: TimerKey): string => `${timer.kind}:${timer.id}`

/**
 * Registers the timers of a process. Setting a timer again moves it.
 *
 * @param runtime - update path; gets `timer_fired`
 * @returns teardown that cancels all timers
 */
export function registerTimers (runtime: Runtime): Teardown {
  const cancelByName = new Map<string, Teardown>()

  function clear (timer: TimerKey): void {
    cancelByName.get(nameOf(timer))?.()
    cancelByName.delete(nameOf(timer))
  }

  function set (timer: TimerKey, atMs: number): void {
    clear(timer)
    cancelByName.set(nameOf(timer), runtime.clock.callAt(atMs, () => {
      cancelByName.delete(nameOf(timer))
      runtime.dispatch({ type: 'timer_fired', timer })
    }))
  }

  return combineTeardowns([
    () => { for (const cancel of cancelByName.values()) cancel() },
    runtime.registerEffect('set_timer', (effect) => set(effect.timer, effect.atMs)),
    runtime.registerEffect('clear_timer', (effect) => clear(effect.timer))
  ])
}
