/**
 * Many learners in one virtual time, with a key-value service and a network
 * that tests break at will.
 *
 * @module
 */
import { Map as PersistentMap } from 'immutable'
import type { Config, InstanceRecord } from 'bendfall-core'
import { CONFIG_KEY, configHandlers, configVersion, createReducer, encodeConfig, membersHandlers } from 'bendfall-core'
import type { KeyValueEntry, KeyValuePort, LeaseOutcome } from 'bendfall-platform'
import type { Clock, ConfigLearner, ConfigPeers, CountedKeyValue, InstanceMirror, Runtime } from '../../index.js'
import { combineTeardowns, countKeyValueCalls, createInstanceMirror, createRuntime, registerConfigLearner, registerConfigTree, registerInstanceReader } from '../../index.js'

const LATENCY_MS = 1
const UNAVAILABLE = { type: 'unavailable', detail: 'outage' } as const
const WATCH_MS = 20_000
const STALE_WATCH_MS = 500
const LIST_INTERVAL_MS = 1_000
/** Silence after which a connection counts as lost: a PING and the wait for its answer. */
const PING_MS = 4_000

/** A clock that moves only when told to. */
export interface VirtualClock extends Clock {
  /** Runs all timers up to `forMs` from now, and the promises they settle. */
  readonly advance: (forMs: number) => Promise<void>
}

export function createVirtualClock (): VirtualClock {
  const timers = new Set<{ readonly atMs: number, readonly callback: () => void }>()
  let nowMs = 0
  const settle = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

  function takeNext (untilMs: number): (() => void) | undefined {
    const next = [...timers].reduce<{ atMs: number, callback: () => void } | undefined>((first, one) => first === undefined || one.atMs < first.atMs ? one : first, undefined)
    if (next === undefined || next.atMs > untilMs) return undefined
    timers.delete(next)
    nowMs = Math.max(nowMs, next.atMs)
    return next.callback
  }

  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    callAt: (atMs, callback) => {
      const timer = { atMs, callback }
      timers.add(timer)
      return () => { timers.delete(timer) }
    },
    advance: async (forMs) => {
      const untilMs = nowMs + forMs
      await settle()
      for (let run = takeNext(untilMs); run !== undefined; run = takeNext(untilMs)) {
        run()
        await settle()
      }
      nowMs = untilMs
    }
  }
}

export function sampleConfig (version: number): Config {
  return { version, writeId: `w${version}`, classes: {} as Config['classes'], models: {}, pools: {}, routes: [], clients: { a: { shareWeight: version } }, links: [], assignments: {}, withdrawn: [] }
}

/** The service: one key, long polls, outage, and answers from the past. */
export interface ConfigStore extends KeyValuePort {
  readonly put: (version: number) => void
  isDown: boolean
  isStale: boolean
}

export function createConfigStore (clock: Clock): ConfigStore {
  const past: KeyValueEntry[] = []
  const waiters = new Set<() => void>()
  const seen = (): KeyValueEntry | undefined => past.at(store.isStale ? 0 : -1)
  const noLease = async (): Promise<LeaseOutcome> => UNAVAILABLE
  const store: ConfigStore = {
    isDown: false,
    isStale: false,
    put: (version) => {
      past.push({ key: CONFIG_KEY, value: encodeConfig(sampleConfig(version)), revision: version, leaseId: '' })
      for (const wake of [...waiters]) wake()
    },
    get: async () => {
      const entry = seen()
      if (store.isDown) return UNAVAILABLE
      return entry === undefined ? { type: 'missing', storeRevision: 0 } : { type: 'found', entry }
    },
    watch: (_prefix, sinceRevision, waitMs) => new Promise((resolve) => {
      const cancel = clock.callAt(clock.nowMs() + (store.isStale ? STALE_WATCH_MS : waitMs), finish)
      waiters.add(wake)
      wake()
      function wake (): void { if (!store.isStale && (store.isDown || (seen()?.revision ?? 0) > sinceRevision)) finish() }
      function finish (): void {
        cancel()
        waiters.delete(wake)
        const entry = seen()
        if (store.isDown) resolve(UNAVAILABLE)
        else if (store.isStale && entry !== undefined) resolve({ type: 'changed', entries: [entry], deletedKeys: [], storeRevision: entry.revision })
        else if (entry === undefined || entry.revision <= sinceRevision) resolve({ type: 'unchanged', storeRevision: sinceRevision })
        else resolve({ type: 'changed', entries: [entry], deletedKeys: [], storeRevision: entry.revision })
      }
    }),
    list: async () => UNAVAILABLE,
    compareAndSwap: async () => UNAVAILABLE,
    grantLease: noLease,
    renewLease: noLease,
    revokeLease: noLease,
    close: async () => {}
  }
  return store
}

export interface FleetProcess {
  readonly record: InstanceRecord
  readonly runtime: Runtime
  readonly learner: ConfigLearner
  readonly instances: InstanceMirror
  readonly close: () => void
  readonly versions: number[]
  /** FetchConfig calls answered. */
  served: number
  /** Readings of the platform's list. */
  listed: number
  /** Whole lists handed over to others. */
  wholeLists: number
}

export interface Fleet {
  readonly clock: VirtualClock
  readonly store: ConfigStore
  readonly keyValue: CountedKeyValue
  readonly processes: Map<string, FleetProcess>
  readonly unreachable: Set<string>
  readonly start: (record: InstanceRecord, seeds?: readonly string[]) => FleetProcess
  readonly restart: (instanceId: string, seeds?: readonly string[]) => FleetProcess
  /** Shows all processes the list of all. */
  readonly list: () => void
  readonly versions: () => number[]
  readonly close: () => void
}

/** The platform's instance list as a process sees it; nothing while it is down. */
export type ListView = (instanceId: string) => readonly InstanceRecord[] | undefined

/** Makes an empty fleet; `random` drives the jitter; with `view` processes read the list themselves. */
export function createFleet (random: () => number = () => 0.5, view?: ListView): Fleet {
  const clock = createVirtualClock()
  const store = createConfigStore(clock)
  const keyValue = countKeyValueCalls(store, clock)
  const processes = new Map<string, FleetProcess>()
  const unreachable = new Set<string>()

  const after = (waitMs: number): Promise<undefined> => new Promise((resolve) => { clock.callAt(clock.nowMs() + waitMs, () => resolve(undefined)) })

  async function untilLost (process: FleetProcess, left: AbortSignal): Promise<undefined> {
    while (!left.aborted) {
      await after(PING_MS)
      if (unreachable.has(process.record.instanceId) || processes.get(process.record.instanceId) !== process) return undefined
    }
  }

  const fetchConfig: ConfigPeers['fetchConfig'] = async (address, ask) => {
    await after(LATENCY_MS)
    const process = processes.get(address)
    if (process === undefined || unreachable.has(address)) return undefined
    process.served += 1
    const left = new AbortController()
    const answer = await (ask.waitMs === 0 ? process.learner.serve(ask) : Promise.race([process.learner.serve(ask, left.signal), untilLost(process, left.signal)]))
    left.abort()
    if (unreachable.has(address)) return undefined
    if (answer?.list !== undefined && answer.list.listJson !== '') process.wholeLists += 1
    return answer
  }

  function start (record: InstanceRecord, seeds: readonly string[] = []): FleetProcess {
    const { instanceId, availabilityZone, pool } = record
    const self = { instanceId, incarnation: `${instanceId}@${clock.nowMs()}`, availabilityZone, role: record.kind === 'entry' ? 'entry' : 'sidecar', pool } as const
    const runtime = createRuntime(createReducer([configHandlers, membersHandlers]), { self, seed: 1, members: PersistentMap(), stopping: false }, clock)
    const versions: number[] = []
    runtime.registerListener((_event, { state }) => versions.push(configVersion(state)))
    const [instances, tree] = [createInstanceMirror(runtime), registerConfigTree(runtime)]
    const list = {
      list: async () => {
        process.listed += 1
        const shown = view?.(instanceId)
        return shown === undefined ? UNAVAILABLE : { type: 'listed', instances: shown } as const
      },
      close: async () => {}
    }
    const reader = registerInstanceReader(runtime, { list, mirror: instances, isWatcher: tree.isWatcher, intervalMs: LIST_INTERVAL_MS, random })
    const learner = registerConfigLearner(runtime, { keyValue, peers: { fetchConfig }, tree, instances, onListParent: reader.noteParent, seeds, watchMs: WATCH_MS, random })
    const close = combineTeardowns([tree.close, instances.close, reader.close, learner.close])
    const process: FleetProcess = { record, runtime, learner, instances, close, versions, served: 0, listed: 0, wholeLists: 0 }
    processes.set(instanceId, process)
    learner.start()
    if (view !== undefined) reader.start()
    return process
  }

  return {
    clock,
    store,
    keyValue,
    processes,
    unreachable,
    start,
    restart: (instanceId, seeds) => {
      const { record, close } = processes.get(instanceId) as FleetProcess
      close()
      return start(record, seeds)
    },
    list: () => {
      const instances = [...processes.values()].map((process) => process.record)
      for (const process of processes.values()) process.runtime.dispatch({ type: 'instances_listed', instances })
    },
    versions: () => [...processes.values()].map((process) => configVersion(process.runtime.getState())),
    close: () => { for (const process of processes.values()) process.close() }
  }
}

/** A record whose address is its id, as the fleet's network has it. */
export function fleetRecord (instanceId: string, availabilityZone: string, kind: InstanceRecord['kind'] = 'upstream'): InstanceRecord {
  return { instanceId, availabilityZone, address: instanceId, kind, pool: kind === 'entry' ? '' : 'pool', state: 'live' }
}
