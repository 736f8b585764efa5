/**
 * Faults of the soak, each with its end.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import type { FleetReplicaFault } from '../BendfallFakesFleetReplica.js'
import type { FleetProxy, ProxyFault } from './BendfallFakesFleetProxy.js'
import type { SoakFleet, SoakNode } from './BendfallFakesSoakFleet.js'

const FAULT_MS = [150, 600, 1_500, 3_000] as const
const REPLICA_FAULTS: readonly FleetReplicaFault[] = ['not_run', 'reset', 'garbled', 'other_request', 'unsigned', 'break_off']
const PROXY_FAULTS: readonly ProxyFault[] = ['delayed', 'one_way', 'silent']

type Inflict = (fleet: SoakFleet, draw: Draw) => Promise<string>

const FAULTS: Readonly<Record<string, Inflict>> = {
  kill: async (fleet, draw) => {
    const node = draw(fleet.nodes)
    await end(node, 'SIGKILL', draw)
    return node.name
  },
  pause: async (fleet, draw) => {
    const node = draw(fleet.nodes)
    const { process } = node
    process.signal('SIGSTOP')
    await sleep(draw(FAULT_MS))
    process.signal('SIGCONT')
    return node.name
  },
  proxy: async (fleet, draw) => {
    const proxy = draw(proxiesOf(fleet))
    const fault = draw(PROXY_FAULTS)
    proxy.harm(fault)
    await sleep(draw(FAULT_MS))
    proxy.harm(undefined)
    return `${fault} ${proxy.address}`
  },
  replica: async (fleet, draw) => {
    const { replica } = draw([...fleet.models.slice(1), ...fleet.plain])
    const fault = draw(REPLICA_FAULTS)
    for (let i = 0; i < draw([1, 2, 5]); i++) replica.failNext(fault)
    return `${fault} ${replica.address}`
  },
  reset: async (fleet, draw) => {
    const proxy = draw(proxiesOf(fleet))
    proxy.reset()
    return proxy.address
  },
  store_fails: async (fleet, draw) => {
    fleet.store.fail(draw([429, 503]))
    await sleep(draw(FAULT_MS))
    fleet.store.fail(undefined)
    return 'store'
  },
  store_forgets: async (fleet) => {
    fleet.store.compact()
    return 'store'
  },
  terminate: async (fleet, draw) => {
    const node = draw(fleet.nodes)
    await end(node, 'SIGTERM', draw)
    return node.name
  }
}

/**
 * Inflicts a drawn fault and waits until it is over.
 *
 * @param fleet - the fleet
 * @param draw - the draws
 * @returns its name and place
 */
export async function inflict (fleet: SoakFleet, draw: Draw): Promise<string> {
  const name = draw(Object.keys(FAULTS))
  return `${name} ${await FAULTS[name]?.(fleet, draw)}`
}

async function end (node: SoakNode, signal: 'SIGKILL' | 'SIGTERM', draw: Draw): Promise<void> {
  // Another series of faults has it.
  if (node.isEnding) return
  node.isEnding = true
  const restMs = draw(FAULT_MS)
  node.process.signal(signal)
  await node.process.exited
  await sleep(restMs)
  await node.restart()
  node.isEnding = false
}

function proxiesOf ({ models, plain, storeProxy }: SoakFleet): readonly FleetProxy[] {
  return [storeProxy, ...[...models, ...plain].map(({ proxy }) => proxy)]
}
