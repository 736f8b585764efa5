/**
 * Faults of the soak, each with its end.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import type { FleetReplica, FleetReplicaFault } from '../BendfallFakesFleetReplica.js'
import type { FleetProxy, ProxyFault } from './BendfallFakesFleetProxy.js'
import { endWords } from './BendfallFakesSoakFleet.js'
import type { SoakFleet, SoakNode } from './BendfallFakesSoakFleet.js'

const FAULT_MS = [150, 600, 1_500, 3_000] as const
const REPLICA_FAULTS: readonly FleetReplicaFault[] = ['not_run', 'reset', 'garbled', 'other_request', 'unsigned', 'break_off']
const PROXY_FAULTS: readonly ProxyFault[] = ['delayed', 'one_way', 'silent']

/** Time for which a replica that leaves is away before it starts again: longer than the drain time, so that late sends show. */
const AWAY_MS = 4_500

const MS_PER_SECOND = 1_000

/** Time for which entries don't reach the store: longer than keys are believed. */
const CUT_MS = 4_500

/** What another writer may leave among the registrations. */
const FOREIGN_ENTRIES: ReadonlyArray<(address: string) => unknown> = [
  () => 'no registration',
  (address) => ({ service: 'app', address }),
  (address) => ({ service: 'other', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 }),
  () => ({ service: 'app', address: 'nowhere', zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
]

/** Age of the copy from which the store comes back. */
const COPY_AGE_MS = [300, 1_500, 4_000] as const

/** Owners that live write again within this time after a restore; what they don't write lapses. */
const WRITTEN_AGAIN_MS = 2_000

/** Limits that replicas name, requests a second; 0 is a rest without an end. */
const LIMITS_PER_S = [0, 0.2, 2, 5.1, 20] as const

/** How long each of them holds, and how many follow each other. */
const LIMIT_MS = [1_500, 5_000, 8_000] as const
const LIMIT_CHANGES = 2

/** Backoffs that replicas ask for, whole seconds as they tell them. */
const BACKOFF_S = [1, 2, 3] as const

type Inflict = (fleet: SoakFleet, draw: Draw) => Promise<string>

const FAULTS: Readonly<Record<string, Inflict>> = {
  back_off: async ({ models, notices, plain }, draw) => {
    const { replica, replicaId } = draw([...models, ...plain])
    // Its time counts from each refusal anew.
    if (notices.some((one) => one.replica === replica && one.untilMs === undefined)) return 'nobody'
    const seconds = draw(BACKOFF_S)
    const fromMs = performance.now()
    replica.askForBackoff(seconds)
    await sleep(FAULT_MS[0])
    replica.askForBackoff(0)
    notices.push({ replica, kind: 'backs_off', fromMs, untilMs: fromMs + seconds * MS_PER_SECOND })
    await sleep(seconds * MS_PER_SECOND)
    return `${replicaId} ${seconds} s`
  },
  cut_off: async ({ storeProxy }, draw) => {
    const fault = draw(['one_way', 'silent'] as const)
    storeProxy.harm(fault)
    await sleep(CUT_MS)
    storeProxy.harm(undefined)
    return fault
  },
  foreign: async ({ plain, store }, draw) => {
    const { proxy } = draw(plain)
    store.put('servers/foreign', draw(FOREIGN_ENTRIES)(proxy.address))
    await sleep(draw(FAULT_MS))
    store.remove('servers/foreign')
    return proxy.address
  },
  keys: async ({ configure, customers }, draw) => {
    const changed = customers?.change(draw)
    configure()
    await sleep(draw([0, ...FAULT_MS]))
    return changed ?? 'nobody'
  },
  kill: async (fleet, draw) => {
    const node = draw(fleet.nodes)
    await end(node, 'SIGKILL', draw)
    return node.name
  },
  leave: async (fleet, draw) => {
    const { away, plain } = fleet
    // One at a time: the others serve meanwhile.
    if (away.some(({ untilMs }) => untilMs === undefined)) return 'nobody'
    const one = draw(plain)
    const state = draw(['draining', 'none'] as const)
    one.register(state)
    away.push({ replica: one.replica, fromMs: performance.now(), untilMs: undefined })
    await sleep(AWAY_MS)
    endWords(fleet, one.replica)
    one.replica.restart()
    one.register('ready')
    return `${one.replicaId} ${state}`
  },
  limit: async ({ models, plain }, draw) => {
    const { replica, replicaId } = draw([...models, ...plain, ...plain])
    return await nameLimits([replica], draw, replicaId)
  },
  limit_all: async ({ plain }, draw) => await nameLimits(plain.map(({ replica }) => replica), draw, 'plain'),
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
  restart: async (fleet, draw) => {
    const one = draw([...fleet.models, ...fleet.plain])
    endWords(fleet, one.replica)
    one.replica.restart()
    one.register('ready')
    return one.replicaId
  },
  silence: async (fleet, draw) => {
    const proxy = draw(proxiesOf(fleet))
    proxy.silence()
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
  store_restored: async ({ configure, models, plain, store }, draw) => {
    const copyAgeMs = draw(COPY_AGE_MS)
    await store.restore({ copyAgeMs, awayMs: draw(FAULT_MS) })
    for (const write of [configure, ...[...models, ...plain].map(({ writeAgain }) => writeAgain)]) {
      await sleep(draw([0, WRITTEN_AGAIN_MS / 10]))
      write()
    }
    return `store, a copy of ${copyAgeMs} ms before`
  },
  say_leaving: async (fleet, draw) => {
    const { notices, plain } = fleet
    if (notices.some(({ kind, untilMs }) => kind === 'leaves' && untilMs === undefined)) return 'nobody'
    const one = draw(plain)
    const notice = { replica: one.replica, kind: 'leaves' as const, fromMs: performance.now(), untilMs: undefined as number | undefined }
    notices.push(notice)
    one.replica.sayLeaving()
    await sleep(AWAY_MS)
    endWords(fleet, one.replica)
    one.replica.restart()
    one.register('ready')
    return one.replicaId
  },
  terminate: async (fleet, draw) => {
    const node = draw(fleet.nodes)
    await end(node, 'SIGTERM', draw)
    return node.name
  }
}

// They change once, and are lifted; another series may have named one meanwhile.
async function nameLimits (replicas: readonly FleetReplica[], draw: Draw, name: string): Promise<string> {
  const told: number[] = []
  for (let i = 0; i < LIMIT_CHANGES; i++) {
    const perS = draw(LIMITS_PER_S)
    told.push(perS)
    for (const replica of replicas) replica.nameLimit(perS)
    await sleep(draw(LIMIT_MS))
  }
  for (const replica of replicas) replica.nameLimit(undefined)
  return `${name} ${told.join(', ')} a second`
}

const DRILL = 'store_restored'

/** Names of the faults by which former seeds drew. */
const LATER_FAULTS: ReadonlySet<string> = new Set([DRILL, 'back_off', 'cut_off', 'keys', 'limit', 'limit_all', 'say_leaving'])
export const ALL_FAULTS: readonly string[] = Object.keys(FAULTS).filter((name) => !LATER_FAULTS.has(name))

/** Replicas that leave, or back off, by their own answers alone, beside others that are registered or start again. */
export const NOTICE_FAULTS: readonly string[] = ['back_off', 'back_off', 'say_leaving', 'say_leaving', 'leave', 'pause', 'reset', 'restart', 'store_fails']

/** Limits that replicas name, alone and all of a service, while entries and replicas end, pause and are cut off. */
export const LIMIT_FAULTS: readonly string[] = ['cut_off', 'kill', 'limit', 'limit', 'limit_all', 'limit_all', 'limit_all', 'pause', 'reset', 'restart', 'store_fails', 'terminate']

/** Drills in which the store comes back from a copy, also twice in a row, among replicas that leave and entries that pause. */
export const DRILL_FAULTS: readonly string[] = [DRILL, DRILL, 'leave', 'leave', 'pause', 'reset', 'restart', 'silence', 'store_fails']

/** Keys that are taken away, given back and moved, while entries are cut off, turned away, stopped, paused and killed. */
export const CUSTOMER_FAULTS: readonly string[] = ['cut_off', 'cut_off', 'keys', 'keys', 'keys', 'keys', 'kill', 'pause', 'proxy', 'replica', 'reset', 'silence', 'store_fails', 'store_forgets', 'terminate']

/** Faults that excuse no entry from knowing what leaves. */
export const LEAVING_FAULTS: readonly string[] = ['foreign', 'leave', 'leave', 'reset', 'restart', 'silence']

/**
 * Inflicts a drawn fault and waits until it is over.
 *
 * @param fleet - the fleet
 * @param draw - the draws
 * @param names - faults to draw from
 * @returns its name and place
 */
export async function inflict (fleet: SoakFleet, draw: Draw, names: readonly string[]): Promise<string> {
  const name = draw(names)
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
