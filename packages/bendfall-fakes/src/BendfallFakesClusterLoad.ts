/**
 * Runs a steady closed-loop load on a cluster and collects the verdict on each
 * call.
 *
 * @module
 */
import type { CallVerdict } from './BendfallFakesClusterCalls.js'

/** A running load. */
export interface ClusterLoad {
  /** Verdicts on the calls completed so far. */
  readonly verdicts: readonly CallVerdict[]
  /** Stops starting calls; resolves once the calls in flight have completed. */
  readonly stop: () => Promise<readonly CallVerdict[]>
}

/** Makes one call; `index` counts the calls of a load from 0. */
export type LoadCall = (index: number) => Promise<CallVerdict>

/**
 * Starts concurrent callers that each make one call after the other.
 *
 * @param callers - number of concurrent calls
 * @param call - makes one call and returns its verdict
 * @param stopSignal - ends the load when the cluster stops
 * @returns the running load
 */
export function startLoad (callers: number, call: LoadCall, stopSignal: AbortSignal): ClusterLoad {
  const verdicts: CallVerdict[] = []
  let started = 0
  const stopped = new AbortController()
  const endSignal = AbortSignal.any([stopSignal, stopped.signal])

  async function runCaller (): Promise<void> {
    while (!endSignal.aborted) {
      const index = started
      started += 1
      verdicts.push(await call(index))
    }
  }

  const running = Promise.all(Array.from({ length: callers }, runCaller))
  return {
    verdicts,
    stop: async () => {
      stopped.abort()
      await running
      return verdicts
    }
  }
}
