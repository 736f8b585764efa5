/**
 * Logs the decisions of an entry and counts the outcomes of requests in its metrics.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { DecisionInputs, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import type { Metrics } from './BendfallEdgeMetrics.js'

const OUTCOMES: ReadonlySet<string> = new Set(['answered', 'refused', 'cut', 'cancelled'])

/** Decisions about calls to overloaded plain replicas, counted by the service. */
const PLAIN_DECISIONS: ReadonlySet<string> = new Set(['plain_limit_lowered', 'plain_wait_refused', 'plain_waits'])

const BEYOND_ALLOTMENT_STATUS = 429

/** Resources that requests wait for, by the field of the log line that tells how long. */
const WAIT_RESOURCES: Readonly<Record<string, string>> = { slotWaitMs: 'slot', memoryWaitMs: 'memory', placeWaitMs: 'place', permitWaitMs: 'permit' }

/** Maximum number of customers with their own counters; all others share the label `other`. */
const MAX_COUNTED_CUSTOMERS = 1_000

/**
 * Registers the handler of the effect `log`.
 *
 * @param loop - update loop that emits the effect
 * @param logger - receives one line for each decision
 * @param metrics - receives counters and latencies
 */
export function registerDecisionLog (loop: UpdateLoop<RouterEvent, RouterEffect>, logger: Logger, metrics: Metrics): void {
  const countCustomer = createCustomerCounter(metrics)
  loop.registerEffect('log', ({ decision, inputs, requestId }: RouterEffectOf<'log'>) => {
    logger.info(decision, { request: requestId === '' ? undefined : requestId, ...inputs })
    if (decision === 'answer_started') metrics.measureMs('bendfall_first_byte_milliseconds', Number(inputs['ageMs']), { route: String(inputs['route']) })
    if (decision === 'retry_budget_spent') metrics.count('bendfall_retries_unpaid_total', { service: String(inputs['service']) })
    if (PLAIN_DECISIONS.has(decision)) metrics.count('bendfall_plain_overload_total', { decision, service: String(inputs['service']) })
    if (decision === 'origin_found') metrics.count('bendfall_stream_origins_total', { source: String(inputs['source']) })
    if (decision === 'suspects_disputed') metrics.count('bendfall_suspects_disputed_total')
    if (decision === 'replica_crashed') metrics.count('bendfall_replica_crashes_total')
    if (decision === 'sample_widened') metrics.count('bendfall_samples_widened_total', { stage: String(inputs['stage']), scope: String(inputs['scope']) })
    if (decision === 'moved_to_capacity') metrics.count('bendfall_capacity_moves_total', { stage: String(inputs['stage']) })
    if (!OUTCOMES.has(decision)) return
    const labels = { outcome: decision, route: String(inputs['route'] ?? ''), reason: String(inputs['reason'] ?? '') }
    metrics.count('bendfall_requests_total', labels)
    if (inputs['isLate'] === true) metrics.count('bendfall_late_responses_total', { route: labels.route })
    measureWaits(metrics, inputs)
    if (typeof inputs['customer'] === 'string') countCustomer(inputs['customer'], inputs['status'] === BEYOND_ALLOTMENT_STATUS ? 'beyond_allotment' : decision)
    if (typeof inputs['ageMs'] === 'number') metrics.measureMs('bendfall_request_duration_milliseconds', inputs['ageMs'], { outcome: decision })
  })
}

function measureWaits (metrics: Metrics, inputs: DecisionInputs): void {
  for (const [field, resource] of Object.entries(WAIT_RESOURCES)) {
    const waitMs = inputs[field]
    if (typeof waitMs === 'number') metrics.measureMs('bendfall_capacity_wait_milliseconds', waitMs, { resource })
  }
}

function createCustomerCounter (metrics: Metrics): (customer: string, outcome: string) => void {
  const counted = new Set<string>()
  return (customer, outcome) => {
    if (counted.size < MAX_COUNTED_CUSTOMERS) counted.add(customer)
    metrics.count('bendfall_customer_requests_total', { customer: counted.has(customer) ? customer : 'other', outcome })
  }
}

/**
 * Logs and counts new eras of the key-value service. An era begins when the service is
 * restored from an older backup.
 *
 * @param port - key-value service
 * @param logger - receives one line for each era
 * @param metrics - receives the count
 * @returns teardown that removes the listener
 */
export function registerEraLog (port: KeyValuePort, logger: Logger, metrics: Metrics): Teardown {
  return port.onEra?.((change) => {
    metrics.count('bendfall_store_eras_total')
    logger.warn('store_era', { ...change })
  }) ?? (() => {})
}
