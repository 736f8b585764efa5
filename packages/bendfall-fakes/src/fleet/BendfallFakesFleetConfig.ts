/**
 * Configuration that the soak and the fuzzer of answers run under: a stream that
 * may run once, one that may be resumed, a lookup and a booking.
 *
 * @module
 */

/** What differs between them. */
export interface FleetConfigOptions {
  readonly host: string
  readonly timeoutMs: number
  /** Of calls without a prompt; those of prompts when absent. */
  readonly plain?: { readonly timeoutMs: number, readonly targetLatencyMs: number }
  readonly handleTtlS: number
  readonly maxBodyBytes: number
}

const TARGET_LATENCY_MS = 900

/**
 * Makes the configuration as operators write it.
 *
 * @param options - what differs
 * @returns a document for the store
 */
export function createFleetConfig ({ handleTtlS, host, maxBodyBytes, plain, timeoutMs }: FleetConfigOptions): object {
  const route = { host, 'timeout-ms': timeoutMs, 'target-latency-ms': TARGET_LATENCY_MS, priority: 1 }
  const plainRoute = { ...route, ...(plain !== undefined && { 'timeout-ms': plain.timeoutMs, 'target-latency-ms': plain.targetLatencyMs }), priority: 2, service: 'app' }
  const promptRoute = { ...route, kind: 'streaming', service: 'llm', sticky: true, 'target-gap-ms': 300 }
  return {
    version: 1,
    routes: [
      { ...promptRoute, name: 'summary', 'path-prefix': '/summary/', 'max-attempts': 1, resumable: false },
      { ...promptRoute, name: 'brief', 'path-prefix': '/brief/', 'max-attempts': 2, resumable: true },
      { ...plainRoute, name: 'rate', 'path-prefix': '/rate/', kind: 'idempotent', 'max-attempts': 2 },
      { ...plainRoute, name: 'booking', 'path-prefix': '/booking/', kind: 'non_idempotent', 'max-attempts': 1 }
    ],
    services: [{ name: 'llm', 'max-connections': 370, engine: { slots: 64, 'kv-tokens': 20_000, 'handle-ttl-s': handleTtlS, 'switch-s': 1 } }, { name: 'app', 'max-connections': 110 }],
    limits: { 'max-header-bytes': 4_096, 'max-body-bytes': maxBodyBytes, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
  }
}
