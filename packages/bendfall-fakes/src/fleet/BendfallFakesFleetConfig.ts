/**
 * Configuration document shared by the soak and the response fuzzer, with one route of each kind: a stream
 * that may run once, a resumable stream, an idempotent lookup and a non-idempotent booking.
 *
 * @module
 */

/** Values in which the configurations of the soak and the fuzzer differ. */
export interface FleetConfigOptions {
  readonly host: string
  readonly timeoutMs: number
  /** Timeouts of the routes without a prompt; the values of the prompt routes when absent. */
  readonly plain?: { readonly timeoutMs: number, readonly targetLatencyMs: number }
  readonly handleTtlS: number
  readonly maxBodyBytes: number
}

const TARGET_LATENCY_MS = 900

/**
 * Creates the configuration in the format that operators write.
 *
 * @param options - host, timeouts and limits
 * @returns the document to put into the store
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
