/**
 * Measures how the costs of a process grow with the number of replicas that it
 * knows.
 *
 * @module
 */
import { gzipSync } from 'node:zlib'
import { configParents } from 'bendfall-core'
import type { InstanceRecord } from 'bendfall-core'
import { FULL_CONFIG, LOAD, createConfig, createInstances, createDrivenReducer, numbers, poolName } from './BendfallFakesCapacityFleet.js'
import type { DrivenReducer } from './BendfallFakesCapacityFleet.js'
import { pointsAt, retainedBytes, timeUs } from './BendfallFakesCapacityMeter.js'
import type { SlopeCase } from './BendfallFakesCapacityMeter.js'
import { languageRequest } from './BendfallFakesCapacityEntry.js'

const SIZES = [1_500, 3_000, 6_000, 12_000]
const LOAD_SIZES = [500, 1_000, 2_000, 4_000]
const CLAIMS = 50
const PARENT_ITERATIONS = 10
const EVENT_ITERATIONS = 5
const DECODE_POOL = poolName(1)

type Role = 'entry' | 'sidecar'

function createLearnedReducer (role: Role, instances: readonly InstanceRecord[]): DrivenReducer {
  const driven = createDrivenReducer(role, DECODE_POOL)
  driven.send({ type: 'config_learned', atMs: 0, config: createConfig(1, FULL_CONFIG) })
  driven.send({ type: 'instances_listed', atMs: 0, instances })
  return driven
}

// Each read of the list creates new records, so the state holds its own copies.
function memberBytes (count: number): number {
  return retainedBytes(() => createLearnedReducer('sidecar', createInstances(count)))
}

function listUs (role: Role, count: number): number {
  const driven = createLearnedReducer(role, createInstances(count))
  const text = JSON.stringify(createInstances(count))
  return timeUs(() => {
    const reads = numbers(EVENT_ITERATIONS).map(() => JSON.parse(text) as readonly InstanceRecord[])
    return () => { for (const instances of reads) driven.send({ type: 'instances_listed', atMs: 1, instances }) }
  }) / EVENT_ITERATIONS
}

function changeUs (role: Role, count: number): number {
  const instances = createInstances(count)
  const driven = createLearnedReducer(role, instances)
  let iteration = 0
  return timeUs(() => () => {
    for (let event = 0; event < EVENT_ITERATIONS; event++) {
      const state = ++iteration % 2 === 0 ? 'live' : 'leaving'
      driven.send({ type: 'instances_changed', atMs: 1, changed: [{ ...instances[0], state }], removed: [] })
    }
  }) / EVENT_ITERATIONS
}

function learnUs (role: Role, count: number): number {
  const driven = createLearnedReducer(role, createInstances(count))
  let version = 1
  return timeUs(() => {
    const configs = numbers(EVENT_ITERATIONS).map(() => createConfig(++version, FULL_CONFIG))
    return () => { for (const config of configs) driven.send({ type: 'config_learned', atMs: 1, config }) }
  }) / EVENT_ITERATIONS
}

function parseListUs (count: number): number {
  const text = JSON.stringify({ type: 'listed', instances: createInstances(count) })
  return timeUs(() => () => { for (let iteration = 0; iteration < EVENT_ITERATIONS; iteration++) JSON.parse(text) }) / EVENT_ITERATIONS
}

function loadBytes (count: number): number {
  const instances = createInstances(count)
  return retainedBytes(() => {
    const driven = createLearnedReducer('entry', instances)
    for (const { instanceId } of instances) driven.send({ type: 'load_seen', atMs: 1, instanceId, load: { ...LOAD }, incarnation: 'a' })
    return driven
  }) - retainedBytes(() => createLearnedReducer('entry', instances))
}

function loadUs (count: number): number {
  const instances = createInstances(count)
  return timeUs(() => {
    const driven = createLearnedReducer('entry', instances)
    return () => {
      for (const { instanceId } of instances) driven.send({ type: 'load_seen', atMs: 1, instanceId, load: LOAD, incarnation: 'a' })
    }
  })
}

function claimUs (count: number): number {
  const instances = createInstances(count)
  return timeUs(() => {
    const driven = createLearnedReducer('entry', instances)
    return () => {
      for (let index = 0; index < CLAIMS; index++) {
        driven.send({ type: 'language_request_arrived', atMs: 2, request: languageRequest(index, { idempotencyKey: `key-${index}` }) })
      }
    }
  }) / CLAIMS
}

function parentsUs (count: number): number {
  const state = createLearnedReducer('sidecar', createInstances(count)).getState()
  return timeUs(() => () => {
    for (let iteration = 0; iteration < PARENT_ITERATIONS; iteration++) configParents(state)
  }) / PARENT_ITERATIONS
}

/** Measurements over the number of replicas that a process knows. */
export const MEMBER_SLOPES = {
  memberBytes: { name: 'member in state', unit: 'B', per: 'instance', measure: () => pointsAt(SIZES, memberBytes) },
  listBytes: { name: 'instance list, JSON', unit: 'B', per: 'instance', measure: () => pointsAt(SIZES, (count) => JSON.stringify(createInstances(count)).length) },
  listZippedBytes: { name: 'instance list, JSON, gzip', unit: 'B', per: 'instance', measure: () => pointsAt(SIZES, (count) => gzipSync(JSON.stringify(createInstances(count))).length) },
  listParseUs: { name: 'instance list, JSON.parse', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, parseListUs) },
  listEntryUs: { name: '`instances_listed` at an entry', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => listUs('entry', count)) },
  listSidecarUs: { name: '`instances_listed` at a sidecar', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => listUs('sidecar', count)) },
  changeEntryUs: { name: '`instances_changed` with one change at an entry', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => changeUs('entry', count)) },
  changeSidecarUs: { name: '`instances_changed` with one change at a sidecar', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => changeUs('sidecar', count)) },
  learnEntryUs: { name: '`config_learned` at an entry', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => learnUs('entry', count)) },
  learnSidecarUs: { name: '`config_learned` at a sidecar', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, (count) => learnUs('sidecar', count)) },
  loadBytes: { name: 'load view in state', unit: 'B', per: 'instance', measure: () => pointsAt(LOAD_SIZES, loadBytes) },
  loadUs: { name: '`load_seen` at an entry', unit: 'µs', per: 'event', measure: () => pointsAt(LOAD_SIZES, loadUs) },
  claimUs: { name: 'search for the home of a key at an entry', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, claimUs) },
  parentsUs: { name: 'search for the parent in the tree of the configuration', unit: 'µs', per: 'instance', measure: () => pointsAt(SIZES, parentsUs) }
} satisfies Readonly<Record<string, SlopeCase>>
