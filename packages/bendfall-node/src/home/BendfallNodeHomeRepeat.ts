/**
 * Repeats an asynchronous action on a clock.
 *
 * @module
 */
import type { Clock } from '../runtime/BendfallNodeClock.js'

/** An action that tells after how many milliseconds it wants to run again. */
export type RepeatedAction = () => Promise<number>

/**
 * Runs an action now and again and again, one run at a time.
 *
 * @param clock - source of time
 * @param action - must not reject
 * @returns teardown; a run under way ends, but is not followed by another
 */
export function repeatAction (clock: Clock, action: RepeatedAction): () => void {
  let isClosed = false
  let cancel = (): void => {}

  async function run (): Promise<void> {
    const waitMs = await action()
    if (!isClosed) cancel = clock.callAt(clock.nowMs() + waitMs, run)
  }

  run()
  return () => {
    isClosed = true
    cancel()
  }
}
