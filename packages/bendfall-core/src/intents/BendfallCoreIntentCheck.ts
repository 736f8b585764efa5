/**
 * Checks an intent as a whole and reports all findings together.
 *
 * @module
 */
import type { InstanceRecord, PoolConfig } from '../BendfallCoreConfig.js'
import type { InstanceId, ModelName, PoolName, PoolRole } from '../BendfallCoreTypes.js'
import { isLanguageRole } from './BendfallCorePlacement.js'
import type { Intent, IntentFinding, IntentFindingKind } from './BendfallCoreIntent.js'

/** Paths that the entry answers itself. */
const RESERVED_PREFIXES: readonly string[] = ['/healthz', '/readyz', '/v1/chat/completions']

const COUNTERPART: Readonly<Record<PoolRole, PoolRole | undefined>> = { prefill: 'decode', decode: 'prefill', service: undefined }

/** What the instances are, for the findings that need them. */
export interface IntentFleet {
  readonly instances: readonly InstanceRecord[]
  /** Pool of each instance under the plan. */
  readonly pools: ReadonlyMap<InstanceId, PoolName>
}

type Check = (intent: Intent, fleet: IntentFleet | undefined) => readonly IntentFinding[]

/**
 * Finds what is wrong with an intent.
 *
 * @param intent - the intent, of the right shape
 * @param fleet - instances and their planned pools; without it the findings
 *   about instances and capacity are left out
 * @returns all findings, in the order of the sections
 */
export function checkIntent (intent: Intent, fleet?: IntentFleet): readonly IntentFinding[] {
  return CHECKS.flatMap((check) => check(intent, fleet))
}

/**
 * Makes a JSON pointer.
 *
 * @param parts - member names and indexes, outermost first
 * @returns the escaped pointer
 */
export function jsonPointer (...parts: ReadonlyArray<string | number>): string {
  return parts.map((part) => `/${String(part).replaceAll('~', '~0').replaceAll('/', '~1')}`).join('')
}

const checkPoolModels: Check = (intent) => poolsOf(intent).flatMap(([name, pool]) => {
  const pointer = jsonPointer('pools', name, 'model')
  if (!isLanguageRole(pool.role)) {
    return pool.model === undefined ? [] : [contradiction(pointer, 'no model in a service pool', pool.model)]
  }
  if (pool.model === undefined) return [contradiction(pointer, `a model for a ${pool.role} pool`, 'none')]
  return Object.hasOwn(intent.models, pool.model) ? [] : [unknown('unknown_model', pointer, 'a model of /models', pool.model)]
})

const checkPoolPairs: Check = (intent) => poolsOf(intent).flatMap(([name, pool]) => {
  const counterpart = COUNTERPART[pool.role]
  if (counterpart === undefined || pool.model === undefined) return []
  if (hasPool(intent, counterpart, pool.model)) return []
  return [contradiction(jsonPointer('pools', name), `a ${counterpart} pool of model ${pool.model} beside it`, 'none')]
})

const checkModelsServed: Check = (intent) => Object.keys(intent.models).flatMap((model) => {
  if (hasPool(intent, 'decode', model)) return []
  return [warning('contradiction', jsonPointer('models', model), 'a decode pool that serves the model', 'none')]
})

const checkRoutes: Check = (intent) => intent.routes.flatMap((route, index) => {
  const findings: IntentFinding[] = []
  const first = intent.routes.findIndex((other) => other.pathPrefix === route.pathPrefix)
  const prefixPointer = jsonPointer('routes', index, 'pathPrefix')
  if (first < index) findings.push(contradiction(prefixPointer, `a prefix other than that of ${jsonPointer('routes', first)}`, route.pathPrefix))
  if (RESERVED_PREFIXES.includes(route.pathPrefix)) findings.push(contradiction(prefixPointer, 'a prefix that the entry does not answer itself', route.pathPrefix))
  const pool = ownPool(intent, route.pool)
  const poolPointer = jsonPointer('routes', index, 'pool')
  if (pool === undefined) findings.push(unknown('unknown_pool', poolPointer, 'a pool of /pools', route.pool))
  else if (isLanguageRole(pool.role)) findings.push(contradiction(poolPointer, 'a service pool', `${route.pool}, a ${pool.role} pool`))
  return findings
})

const checkLinks: Check = (intent) => intent.links.flatMap((link, index) => {
  const first = intent.links.findIndex((other) => linkName(other) === linkName(link))
  if (first === index) return []
  return [contradiction(jsonPointer('links', index), `two zones other than those of ${jsonPointer('links', first)}`, `${link.from} and ${link.to}`)]
})

const checkWithdrawn: Check = (intent, fleet) => intent.withdrawn.flatMap((instanceId, index) => {
  const pointer = jsonPointer('withdrawn', index)
  const findings: IntentFinding[] = []
  const pool = intent.assignments?.[instanceId]
  if (pool !== undefined) findings.push(contradiction(pointer, `an instance that ${jsonPointer('assignments')} does not tie to a pool`, `${instanceId}, tied to ${pool}`))
  if (intent.withdrawn.indexOf(instanceId) < index) findings.push(contradiction(pointer, 'each instance once', instanceId))
  if (isUnlisted(fleet, instanceId)) findings.push(warning('unknown_instance', pointer, 'an instance of the list', instanceId))
  return findings
})

const checkAssignments: Check = (intent, fleet) => Object.entries(intent.assignments ?? {}).flatMap(([instanceId, poolName]) => {
  const pointer = jsonPointer('assignments', instanceId)
  const findings: IntentFinding[] = []
  const pool = ownPool(intent, poolName)
  if (pool === undefined) findings.push(unknown('unknown_pool', pointer, 'a pool of /pools', poolName))
  if (isUnlisted(fleet, instanceId)) findings.push(unknown('unknown_instance', pointer, 'an instance of the list', instanceId))
  const label = ownPool(intent, fleet?.instances.find((record) => record.instanceId === instanceId)?.pool ?? '')
  if (pool !== undefined && label !== undefined && isLanguageRole(pool.role) !== isLanguageRole(label.role)) {
    findings.push(contradiction(pointer, `a pool that an instance beside a ${label.role} upstream can serve`, poolName))
  }
  return findings
})

const checkCapacity: Check = (intent, fleet) => {
  if (fleet === undefined) return []
  return poolsOf(intent).flatMap(([name, pool]) => {
    const live = countLive(intent, fleet, name)
    if (live >= pool.replicas) return []
    return [warning('capacity_missing', jsonPointer('pools', name, 'replicas'), `${pool.replicas} live instances`, String(live))]
  })
}

const CHECKS: readonly Check[] = [checkPoolModels, checkPoolPairs, checkModelsServed, checkRoutes, checkLinks, checkWithdrawn, checkAssignments, checkCapacity]

function countLive (intent: Intent, fleet: IntentFleet, pool: PoolName): number {
  const live = fleet.instances.filter((record) => record.state === 'live' && !intent.withdrawn.includes(record.instanceId))
  return live.filter((record) => fleet.pools.get(record.instanceId) === pool).length
}

function isUnlisted (fleet: IntentFleet | undefined, instanceId: InstanceId): boolean {
  return fleet !== undefined && !fleet.instances.some((record) => record.instanceId === instanceId)
}

function poolsOf (intent: Intent): ReadonlyArray<[PoolName, PoolConfig]> {
  return Object.entries(intent.pools)
}

function ownPool (intent: Intent, name: PoolName): PoolConfig | undefined {
  return Object.hasOwn(intent.pools, name) ? intent.pools[name] : undefined
}

function hasPool (intent: Intent, role: PoolRole, model: ModelName): boolean {
  return Object.values(intent.pools).some((pool) => pool.role === role && pool.model === model)
}

function linkName (link: { readonly from: string, readonly to: string }): string {
  return JSON.stringify([link.from, link.to].sort())
}

function contradiction (pointer: string, expected: string, found: string): IntentFinding {
  return { kind: 'contradiction', severity: 'blocks', pointer, expected, found }
}

function unknown (kind: IntentFindingKind, pointer: string, expected: string, found: string): IntentFinding {
  return { kind, severity: 'blocks', pointer, expected, found }
}

function warning (kind: IntentFindingKind, pointer: string, expected: string, found: string): IntentFinding {
  return { kind, severity: 'warns', pointer, expected, found }
}
