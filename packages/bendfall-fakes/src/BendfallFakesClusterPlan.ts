/**
 * Defines the fleet that the process tests and the soak run, and its intent.
 *
 * @module
 */
import type { Intent } from 'bendfall-core'
import type { FleetPlan, UpstreamPlan } from './BendfallFakesDemoSetup.js'
import type { EngineOptions } from './BendfallFakesEngine.js'
import type { ServiceOptions } from './BendfallFakesService.js'

/** The model that the cluster serves. */
export const CLUSTER_MODEL = 'lot-summary'

/** Client id with which the calls are made. */
export const CLUSTER_CLIENT = 'cadastre'

/** Path prefix of the non-idempotent calls. */
export const BOOKING_PATH = '/freight/bookings'

const ZONES = ['levis', 'beauport'] as const
const PREFILL_TOKENS_PER_SECOND = 50_000
const STEP_MS = 10

/** Number of processes of each kind, and the options of the stand-ins. */
export interface ClusterSize {
  readonly prefill?: number
  readonly decode?: number
  readonly services?: number
  readonly entries?: number
  readonly engine?: EngineOptions
  readonly service?: ServiceOptions
}

/**
 * Creates the plan of a fleet in two availability zones.
 *
 * @param size - number of processes of each kind; the default is two entries and nothing else
 * @returns the plan to start the fleet with
 */
export function planCluster (size: ClusterSize): FleetPlan {
  const engine: EngineOptions = { prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND, stepMs: STEP_MS, totalKvBytes: 4e9, ...size.engine }
  return {
    upstreams: [
      ...planPool('prefill', size.prefill, 'engine', engine),
      ...planPool('decode', size.decode, 'engine', engine),
      ...planPool('freight', size.services, 'service', { ...size.service })
    ],
    entries: createInstancePlans('entry', size.entries ?? ZONES.length)
  }
}

function planPool (pool: string, count: number | undefined, kind: UpstreamPlan['kind'], options: UpstreamPlan['options']): UpstreamPlan[] {
  return createInstancePlans(pool, count ?? 0).map((instance) => ({ ...instance, pool, kind, options }))
}

function createInstancePlans (name: string, count: number): Array<{ instanceId: string, availabilityZone: string }> {
  return Array.from({ length: count }, (_, index) =>
    ({ instanceId: `${name}-${index + 1}`, availabilityZone: ZONES[index % ZONES.length] }))
}

/**
 * Creates the intent of a fleet.
 *
 * @param size - number of processes of each kind, as for `planCluster`
 * @returns an intent with wide latency targets, so that a busy machine does not count as a fault
 */
export function planClusterIntent (size: ClusterSize): Intent {
  const targets = { firstOutputMs: 20_000, stepMs: 1_000 }
  const hasEngines = (size.decode ?? 0) > 0
  return {
    classes: { interactive: targets, summary: targets },
    models: hasEngines ? { [CLUSTER_MODEL]: { version: '1', adapters: [], kvBytesPerToken: 100_000, weightBytes: 1 } } : {},
    pools: {
      ...hasEngines && {
        prefill: { role: 'prefill', model: CLUSTER_MODEL, replicas: size.prefill ?? 0 },
        decode: { role: 'decode', model: CLUSTER_MODEL, replicas: size.decode ?? 0 }
      },
      ...(size.services ?? 0) > 0 && { freight: { role: 'service', replicas: size.services ?? 0 } }
    },
    routes: (size.services ?? 0) > 0 ? [{ pathPrefix: '/freight', pool: 'freight', trafficClass: 'interactive', repeatableMethods: ['GET'] }] : [],
    clients: { [CLUSTER_CLIENT]: { shareWeight: 1 } },
    links: [],
    withdrawn: []
  }
}
