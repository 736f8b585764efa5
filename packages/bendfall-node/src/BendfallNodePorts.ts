/**
 * The ports of a process to the outside, over HTTP unless a test brings its
 * own.
 *
 * @module
 */
import type { InstanceListPort, KeyValuePort } from 'bendfall-platform'
import { createHttpInstanceList, createHttpKeyValue } from 'bendfall-platform'
import type { EnginePort, ServicePort } from 'bendfall-upstream'
import { createHttpEngine, createHttpService } from 'bendfall-upstream'
import type { Settings } from './settings/index.js'

/** The ports of a process to the outside. */
export interface NodePorts {
  readonly keyValue: KeyValuePort
  readonly instanceList: InstanceListPort
  /** Set at the sidecar of a model engine. */
  readonly engine?: EnginePort
  /** Set at the sidecar of a plain service. */
  readonly service?: ServicePort
}

/**
 * Makes the ports that the settings name.
 *
 * @param settings - settings of the process
 * @returns ports over HTTP
 */
export function createHttpPorts (settings: Settings): NodePorts {
  const { platform, upstream } = settings
  const shared = {
    keyValue: createHttpKeyValue({ origin: platform.keyValueUrl }),
    instanceList: createHttpInstanceList({ origin: platform.instanceListUrl })
  }
  if (upstream === undefined) return shared
  if (upstream.kind === 'engine') return { ...shared, engine: createHttpEngine({ origin: upstream.url }) }
  return { ...shared, service: createHttpService({ origin: upstream.url }) }
}

/**
 * Closes all ports.
 *
 * @param ports - ports of the process
 */
export async function closePorts (ports: NodePorts): Promise<void> {
  const open = [ports.keyValue, ports.instanceList, ports.engine, ports.service]
  await Promise.all(open.map((port) => port?.close()))
}
