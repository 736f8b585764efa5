/**
 * The intent and the instances that the tests of plans start from.
 *
 * @module
 */
import type { InstanceRecord, Intent, PoolName } from '../../index.js'

const ZONES = ['beauport', 'levis', 'sainte-foy']
const GIB = 1024 ** 3

/** An intent with one model, one service and nothing to find. */
export const INTENT: Intent = {
  classes: { interactive: { firstOutputMs: 800, stepMs: 60 }, summary: { firstOutputMs: 8_000, stepMs: 120 } },
  models: { registre: { version: '3', adapters: ['notaires'], kvBytesPerToken: 131_072, weightBytes: 16 * GIB } },
  pools: {
    'registre-decode': { role: 'decode', model: 'registre', replicas: 4 },
    'registre-prefill': { role: 'prefill', model: 'registre', replicas: 2 },
    viewer: { role: 'service', replicas: 3 }
  },
  routes: [{ pathPrefix: '/tiles', pool: 'viewer', trafficClass: 'interactive', repeatableMethods: ['GET', 'HEAD'] }],
  clients: { 'franchise-12': { shareWeight: 2 } },
  links: [{ from: 'levis', to: 'beauport', bytesPerSecond: 1_250_000_000 }],
  withdrawn: []
}

/** Lists instances of a pool, spread over the zones. */
export function listPool (pool: PoolName, count: number): InstanceRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `${pool}-${index + 1}`,
    availabilityZone: ZONES[index % ZONES.length],
    address: `10.0.0.${index + 1}:7000`,
    kind: 'upstream',
    pool,
    state: 'live'
  }))
}

/** Instances that fill the pools of {@link INTENT}. */
export const INSTANCES: readonly InstanceRecord[] = [
  ...listPool('registre-decode', 4),
  ...listPool('registre-prefill', 2),
  ...listPool('viewer', 3)
]
