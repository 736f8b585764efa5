/**
 * Polls for a condition that another process brings about.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_INTERVAL_MS = 20
const DEFAULT_TIMEOUT_MS = 15_000

/**
 * Polls until a probe returns a value.
 *
 * @param condition - name of the condition, for the error message
 * @param probe - checks the condition; undefined, false or an error means that it does not hold yet
 * @param timeoutMs - longest wait
 * @returns the value that the probe returned, and the time waited
 * @throws Error when the condition does not hold in time, with the error of the last probe
 */
export async function eventually<T> (condition: string, probe: () => Promise<T | false | undefined>, timeoutMs = DEFAULT_TIMEOUT_MS): Promise<{ readonly value: T, readonly waitedMs: number }> {
  const startedAtMs = performance.now()
  for (;;) {
    const result = await probe().catch((error: unknown) => error instanceof Error ? error : new Error(String(error)))
    const waitedMs = performance.now() - startedAtMs
    if (result !== undefined && result !== false && !(result instanceof Error)) return { value: result, waitedMs }
    if (waitedMs > timeoutMs) throw new Error(`${condition}: timed out after ${timeoutMs} ms${result instanceof Error ? ` (${result.message})` : ''}`)
    await sleep(POLL_INTERVAL_MS)
  }
}
