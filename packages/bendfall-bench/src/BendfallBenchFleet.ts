/**
 * Configuration and instances of a deployment.
 *
 * @module
 */
import type { Config, InstanceRecord, LinkConfig } from 'bendfall-core'
import { ENTRIES_PER_ZONE, LOCAL_LINK_BYTES_PER_SECOND, REMOTE_LINK_BYTES_PER_SECOND } from './BendfallBenchDeployment.js'
import type { Deployment } from './BendfallBenchDeployment.js'

const PORT = 7000
/** Weights of a model of the 70 billion class at 2 bytes a weight. */
const WEIGHT_BYTES = 140e9

/**
 * Names the prefill pool of a deployment.
 *
 * @param deployment - the deployment
 * @returns the name
 */
export function prefillPool (deployment: Deployment): string {
  return `${deployment.model}-prefill`
}

/**
 * Names the decode pool of a deployment.
 *
 * @param deployment - the deployment
 * @returns the name
 */
export function decodePool (deployment: Deployment): string {
  return `${deployment.model}-decode`
}

/**
 * Makes the configuration of a deployment.
 *
 * @param deployment - the deployment
 * @returns the configuration
 */
export function createConfig (deployment: Deployment): Config {
  const { model, servicePool } = deployment
  return {
    version: 1,
    writeId: 'bench',
    classes: deployment.targets,
    models: { [model]: { version: '1', adapters: [], kvBytesPerToken: deployment.engine.kvBytesPerToken, weightBytes: WEIGHT_BYTES } },
    pools: {
      [prefillPool(deployment)]: { role: 'prefill', model, replicas: deployment.prefillReplicas },
      [decodePool(deployment)]: { role: 'decode', model, replicas: deployment.decodeReplicas },
      [servicePool]: { role: 'service', replicas: deployment.serviceReplicas }
    },
    routes: [{ pathPrefix: '/', pool: servicePool, trafficClass: 'interactive', repeatableMethods: ['GET'] }],
    // Equal weights: what one client sends more than the others is its own affair.
    clients: Object.fromEntries(Object.keys(deployment.clientShares).map((client) => [client, { shareWeight: 1 }])),
    links: createLinks(deployment.availabilityZones),
    assignments: {},
    withdrawn: []
  }
}

/**
 * Makes the instances of a deployment, spread evenly over its zones.
 *
 * @param deployment - the deployment
 * @returns the instances: upstreams first, so that entries find them
 */
export function createInstances (deployment: Deployment): InstanceRecord[] {
  const groups = [
    { pool: prefillPool(deployment), name: prefillPool(deployment), kind: 'upstream', count: deployment.prefillReplicas },
    { pool: decodePool(deployment), name: decodePool(deployment), kind: 'upstream', count: deployment.decodeReplicas },
    { pool: deployment.servicePool, name: deployment.servicePool, kind: 'upstream', count: deployment.serviceReplicas },
    { pool: '', name: 'entry', kind: 'entry', count: ENTRIES_PER_ZONE * deployment.availabilityZones.length }
  ] as const
  return groups.flatMap(({ pool, name, kind, count }, group) => Array.from({ length: count }, (_, index) => ({
    instanceId: `${name}-${index + 1}`,
    availabilityZone: deployment.availabilityZones[index % deployment.availabilityZones.length],
    address: `10.0.${group}.${index + 1}:${PORT}`,
    kind,
    pool,
    state: 'live' as const
  })))
}

function createLinks (zones: readonly string[]): LinkConfig[] {
  return zones.flatMap((from, index) => zones.slice(index).map((to) => ({
    from,
    to,
    bytesPerSecond: from === to ? LOCAL_LINK_BYTES_PER_SECOND : REMOTE_LINK_BYTES_PER_SECOND
  })))
}
