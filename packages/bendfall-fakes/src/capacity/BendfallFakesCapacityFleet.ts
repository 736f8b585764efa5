/**
 * Creates instance lists and configurations of any size, and reducers of entries
 * and sidecars to measure with them.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { createBendfallReducer, createInitialState } from 'bendfall-core'
import type { Config, Effect, EffectOf, EffectType, Event, InstanceRecord, LoadView, State } from 'bendfall-core'
import { ASSUMED, DERIVED, SIZE } from './BendfallFakesCapacitySize.js'

const PREFILL_ROLE = 0
const ADDRESS_BYTE = 256
const SELF_ID = 'i-ffffffffffffffff'

/** Number of elements of each kind in a configuration. */
export interface ConfigSize {
  readonly clients: number
  readonly availabilityZones: number
  readonly assignments: number
}

/** Size of the configuration at the target size. */
export const FULL_CONFIG: ConfigSize = {
  clients: SIZE.clients,
  availabilityZones: SIZE.availabilityZones,
  assignments: SIZE.replicas * ASSUMED.assignedShare
}

/** Load of a busy replica, with the fields of both roles. */
export const LOAD: LoadView = {
  freeKvBytes: 12_345_678_901,
  totalKvBytes: 123_456_789_012,
  activeRequests: 59,
  queuedPrefillTokens: 123_456,
  urgentPrefillTokens: 12_345,
  prefillTokensPerSecond: 81_234.5,
  stepMs: 29.75,
  readyInMs: 123.25,
  draining: false,
  configVersion: 54_321
}

/** The part of the load that a decode sidecar reports. */
export const DECODE_LOAD: LoadView = { ...LOAD, queuedPrefillTokens: 0, urgentPrefillTokens: 0, prefillTokensPerSecond: 0 }

/** The part of the load that a prefill sidecar reports. */
export const PREFILL_LOAD: LoadView = { ...LOAD, freeKvBytes: 0, totalKvBytes: 0, stepMs: 0, readyInMs: 0 }

/** The reducer of a process with its state, without runtime or network. */
export interface DrivenReducer {
  readonly getState: () => State
  readonly send: (event: Event) => readonly Effect[]
}

/**
 * Returns the name of a model.
 *
 * @param index - number of the model from 0
 * @returns the name
 */
export function modelName (index: number): string {
  return `model-${index}-70b-instruct`
}

/**
 * Returns the name of a pool. Pools with even numbers are prefill pools, the others
 * decode pools.
 *
 * @param index - number of the pool from 0
 * @returns the name
 */
export function poolName (index: number): string {
  const model = Math.floor(index / ASSUMED.poolsPerModel)
  return `${modelName(model)}-${roleOf(index)}`
}

/**
 * Creates records of upstreams, distributed evenly over pools and availability
 * zones.
 *
 * @param count - number of instances
 * @param pools - number of pools
 * @returns the records, as in the instance list
 */
export function createInstances (count: number, pools: number = DERIVED.pools): readonly InstanceRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: instanceName(index),
    availabilityZone: zoneName(Math.floor(index / pools) % SIZE.availabilityZones),
    address: `10.${index >> 16}.${(index >> 8) % ADDRESS_BYTE}.${index % ADDRESS_BYTE}:9443`,
    kind: 'upstream',
    pool: poolName(index % pools),
    state: 'live'
  }))
}

/**
 * Creates a configuration.
 *
 * @param version - version of the configuration
 * @param size - number of clients, availability zones and assignments
 * @returns the configuration
 */
export function createConfig (version: number, size: ConfigSize): Config {
  return {
    version,
    writeId: randomUUID(),
    classes: { interactive: { firstOutputMs: SIZE.firstOutputMs, stepMs: SIZE.stepMs }, summary: { firstOutputMs: 8_000, stepMs: 100 } },
    models: Object.fromEntries(numbers(SIZE.models).map((index) => [modelName(index), { version: '2026-11', adapters: ['tender', 'customs'], kvBytesPerToken: ASSUMED.kvBytesPerToken, weightBytes: 140e9 }])),
    pools: Object.fromEntries(numbers(DERIVED.pools).map((index) => [poolName(index), { role: roleOf(index), model: modelName(Math.floor(index / ASSUMED.poolsPerModel)), replicas: DERIVED.replicasPerPool }])),
    routes: numbers(SIZE.models).map((index) => ({ pathPrefix: `/service-${index}`, pool: poolName(index), trafficClass: 'interactive', repeatableMethods: ['GET', 'HEAD'] })),
    clients: Object.fromEntries(numbers(size.clients).map((index) => [`client-${index}`, { shareWeight: 1 + index % 5 }])),
    links: createLinks(size.availabilityZones),
    assignments: Object.fromEntries(numbers(size.assignments).map((index) => [instanceName(index), poolName(index % DERIVED.pools)])),
    withdrawn: []
  }
}

/**
 * Creates the reducer of an entry or a sidecar that has just started.
 *
 * @param role - role of the process
 * @param pool - pool of a sidecar; empty for an entry
 * @returns the reducer and its state
 */
export function createDrivenReducer (role: 'entry' | 'sidecar', pool = ''): DrivenReducer {
  const reduce = createBendfallReducer()
  let state = createInitialState({ instanceId: SELF_ID, incarnation: randomUUID(), availabilityZone: zoneName(0), role, pool }, 7)
  return {
    getState: () => state,
    send: (event) => {
      const step = reduce(state, event)
      state = step.state
      return step.effects
    }
  }
}

/**
 * Finds the first effect of a type.
 *
 * @param effects - effects of one reducer step
 * @param type - type of the effect
 * @returns the effect
 * @throws Error when there is none
 */
export function effectOf<T extends EffectType> (effects: readonly Effect[], type: T): EffectOf<T> {
  const found = effects.find((effect) => effect.type === type)
  if (found === undefined) throw new Error(`the step has no effect of type ${type}`)
  return found as EffectOf<T>
}

/**
 * Creates a flat string, not a concatenation of parts, so that each character is
 * held in memory once.
 *
 * @param length - number of characters
 * @param mark - number that distinguishes the text from others
 * @returns ASCII text
 */
export function flatText (length: number, mark: number): string {
  return Buffer.alloc(length, `${mark} `).toString('latin1')
}

/**
 * Returns a range of numbers.
 *
 * @param count - length of the range
 * @returns the numbers from 0 to `count - 1`
 */
export function numbers (count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index)
}

function createLinks (zones: number): Config['links'] {
  return numbers(zones).flatMap((to) => numbers(to).map((from) => ({ from: zoneName(from), to: zoneName(to), bytesPerSecond: 12.5e9 })))
}

function roleOf (pool: number): 'prefill' | 'decode' {
  return pool % ASSUMED.poolsPerModel === PREFILL_ROLE ? 'prefill' : 'decode'
}

function zoneName (index: number): string {
  return `region-${index % SIZE.regions}-hall-${Math.floor(index / SIZE.regions)}`
}

function instanceName (index: number): string {
  return `i-${index.toString(16).padStart(16, '0')}`
}
