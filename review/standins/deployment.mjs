/**
 * Parts of the small deployment `jadranka-quotes` that the scripts share: its plain service and the routes to it.
 */

/** Host of the routes. */
export const HOST = 'quotes.example'

/** Longest time that the operator wants a plain call kept waiting. */
export const ROUTE_TIMEOUT_MS = 1_200

/** Time budget of a plain call. */
export const TIME_BUDGET_MS = 2_500

/** Slots and queue of a plain replica, and the time that a call takes there. */
export const PLAIN_REPLICA = { slots: 6, queue: 24, workMs: 43 }

/** Kinds of plain calls, with their share of the traffic. */
export const KINDS = {
  'booking-confirm': { path: '/booking/confirm', method: 'POST', share: 0.71 },
  'rate-lookup': { path: '/rate/lookup', method: 'GET', share: 0.29 }
}

const PLAIN_ROUTE = { host: HOST, 'timeout-ms': ROUTE_TIMEOUT_MS, 'target-latency-ms': 193, priority: 2, service: 'freight-app' }

/** Configuration as the operator writes it. */
export const CONFIG = {
  version: 1,
  routes: [
    { ...PLAIN_ROUTE, name: 'booking', 'path-prefix': '/booking/', kind: 'non_idempotent', 'max-attempts': 1 },
    { ...PLAIN_ROUTE, name: 'rate', 'path-prefix': '/rate/', kind: 'idempotent', 'max-attempts': 2 }
  ],
  services: [{ name: 'freight-app', 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

/** Interval at which a replica writes its registration. */
export const HEARTBEAT_MS = 1_200

/**
 * Registration of a plain replica.
 *
 * @param replica - replica with its address
 * @param fields - fields that differ from those of a replica that has just started
 */
export const registrationOf = ({ address }, fields = {}) => ({ service: 'freight-app', address, zone: 'split-hall-a', version: 'v1', slots: PLAIN_REPLICA.slots, state: 'ready', 'cold-remaining-ms': 0, seq: 1, ...fields })

/** Path of the streams, and their time budget. */
export const STREAM_PATH = '/tender/summary'
export const STREAM_TIMEOUT_MS = 14_000

/** Configuration with the service of the models beside the plain one. */
export const MODEL_CONFIG = {
  ...CONFIG,
  routes: [...CONFIG.routes, { name: 'tender', host: HOST, 'path-prefix': '/tender/', kind: 'streaming', 'timeout-ms': STREAM_TIMEOUT_MS, 'target-latency-ms': 900, 'target-gap-ms': 300, priority: 1, service: 'quote-llm', 'max-attempts': 1, sticky: true, resumable: false }],
  services: [...CONFIG.services, { name: 'quote-llm', 'health-path': '/health', 'max-connections': 370, protocol: 'h1', tls: false, engine: { slots: 64, 'kv-tokens': 37_745, 'kv-token-bytes': 35_136, 'link-mbps': 1_100_000, 'handle-ttl-s': 0.5, 'switch-s': 6, 'pin-ms': 4_000, 'hold-ms': 2_000, models: [{ name: 'm' }] } }]
}

/** Registration of a model replica. */
export const modelRegistrationOf = (replica, seq) => ({ service: 'quote-llm', address: replica.address(), zone: 'split-hall-a', version: 'v1', slots: 64, state: 'ready', 'cold-remaining-ms': 0, stage: replica.stage(), models: [{ name: 'm', version: 1, adapters: [] }], born: replica.born(), seq })
