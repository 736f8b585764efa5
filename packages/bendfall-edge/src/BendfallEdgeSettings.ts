/**
 * Settings of a process of the router: what it is told at its start.
 *
 * @module
 */
import { checkDocument, readDocument } from 'bendfall-node'
import type { Finding, LogLevel } from 'bendfall-node'
import { DECISIONS_SCHEMA, DEFAULT_ALLOTMENT_BOUNDS, DEFAULT_BUDGET_LIMITS, DEFAULT_CRASH_LIMITS, DEFAULT_CREDENTIAL_LIMITS, DEFAULT_DECISIONS, POOL_DOCUMENT_SCHEMA } from 'bendfall-router'
import type { AllotmentBounds, BudgetLimits, CrashLimits, CredentialLimits, PoolDocument, RouterDecisions } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Settings of a process. */
export interface EdgeSettings {
  readonly instanceId: string
  readonly availabilityZone: string
  /** IP number of the instance. */
  readonly ip: string
  /** `ip:port` for callers; entries only. */
  readonly callersListen?: string
  /** `ip:port` at which the platform asks for readiness; entries only. */
  readonly readyListen?: string
  /** `ip:port` of the model replica on this instance; sidecars only. */
  readonly replicaAddress?: string
  /** First and last port for processes of the router. */
  readonly peerPorts: readonly [number, number]
  /** `ip:port` of the platform's key-value service. */
  readonly keyValueAddress: string
  /** Seconds from the signal to stop until the process is killed. */
  readonly stopGraceS: number
  /** Milliseconds from the word that a replica leaves until it must get no new work; absent: {@link DRAIN_MS}. */
  readonly drainMs?: number
  /** Milliseconds from an accepted configuration until it must be in force; absent: {@link CONFIG_APPLY_MS}. */
  readonly configApplyMs?: number
  /** File with the confirmed intent for the pools; without it they stay as they are. */
  readonly poolsFile?: string
  /** Mechanisms that are switched off or changed; those that are absent are as users run them. */
  readonly decisions?: Partial<RouterDecisions>
  /** What retries may cost all entries together; absent: {@link DEFAULT_BUDGET_LIMITS} for each. */
  readonly retryBudget?: RetryBudgetSettings
  /** When a request counts as the cause of crashes; absent: {@link DEFAULT_CRASH_LIMITS}. */
  readonly crashes?: Partial<CrashLimits>
  /** How long customers' keys are believed; absent: {@link DEFAULT_CREDENTIAL_LIMITS}. */
  readonly credentials?: CredentialSettings
  /** What customers may use beyond their allotments; absent: nothing. */
  readonly allotments?: AllotmentBounds
  readonly log?: { readonly level: LogLevel }
}

/** Sends beyond the first of each request, over all entries. */
export interface RetryBudgetSettings {
  /** Extra sends for each request. */
  readonly ratio: number
  readonly windowMs: number
  /** Extra sends of a window that need no requests, shared by all entries. */
  readonly slack?: number
  /** Entries that share the slack; absent: their number is not known, and none uses it. */
  readonly entries?: number
}

/** Removal of customers' keys. */
export interface CredentialSettings {
  /** Time after which a key that was taken away must open nothing, at any entry. */
  readonly revokedWithinMs: number
  /** Whether entries that can't learn of removals refuse requests with keys; absent: they do. */
  readonly isStrict?: boolean
}

/** The users' smaller deployments ask for these, their larger ones for more. */
export const DRAIN_MS = 2_000
export const CONFIG_APPLY_MS = 2_000

/** Shorter bounds would ask the key-value service several times a second. */
const SHORTEST_BOUND = { type: 'number', minimum: 500 } as const

const ADDRESS = { type: 'string', format: 'ip-port' } as const
const PORT = { type: 'integer', minimum: 1, maximum: 65_535 } as const

const EDGE_SETTINGS_SCHEMA = {
  type: 'object',
  required: ['instanceId', 'availabilityZone', 'ip', 'peerPorts', 'keyValueAddress', 'stopGraceS'],
  properties: {
    instanceId: { type: 'string', minLength: 1 },
    availabilityZone: { type: 'string', minLength: 1 },
    ip: { type: 'string', format: 'ip' },
    callersListen: ADDRESS,
    readyListen: ADDRESS,
    replicaAddress: ADDRESS,
    peerPorts: { type: 'array', items: PORT, minItems: 2, maxItems: 2 },
    keyValueAddress: ADDRESS,
    stopGraceS: { type: 'number', exclusiveMinimum: 0 },
    drainMs: SHORTEST_BOUND,
    configApplyMs: SHORTEST_BOUND,
    poolsFile: { type: 'string', minLength: 1 },
    decisions: DECISIONS_SCHEMA,
    retryBudget: {
      type: 'object',
      required: ['ratio', 'windowMs'],
      additionalProperties: false,
      properties: {
        ratio: { type: 'number', minimum: 0, maximum: 1 },
        windowMs: { type: 'number', minimum: 1_000 },
        slack: { type: 'number', minimum: 0 },
        entries: { type: 'integer', minimum: 1 }
      }
    },
    crashes: {
      type: 'object',
      additionalProperties: false,
      properties: {
        replicas: { type: 'integer', minimum: 2 },
        // The key-value service grants leases of up to ten minutes.
        rememberedMs: { type: 'integer', minimum: 10_000, maximum: 600_000 }
      }
    },
    credentials: {
      type: 'object',
      required: ['revokedWithinMs'],
      additionalProperties: false,
      // A shorter time would be over between two answers of the key-value service.
      properties: { revokedWithinMs: { type: 'number', minimum: 2_000 }, isStrict: { type: 'boolean' } }
    },
    allotments: {
      type: 'object',
      required: ['windowMs', 'overShare', 'slackUnits'],
      additionalProperties: false,
      properties: { windowMs: { type: 'number', minimum: 1_000 }, overShare: { type: 'number', minimum: 0 }, slackUnits: { type: 'number', minimum: 0 } }
    },
    log: { type: 'object', properties: { level: { type: 'string', enum: ['error', 'warn', 'info', 'debug'] } } }
  }
}

/**
 * Switches of all mechanisms.
 *
 * @param settings - of the process
 * @returns the settings' switches over the defaults
 */
export function decisionsOf ({ decisions }: EdgeSettings): RouterDecisions {
  return { ...DEFAULT_DECISIONS, ...decisions }
}

/**
 * Limits of this entry's retries.
 *
 * @param settings - of the process
 * @returns its share, so that all entries together stay within what the settings allow
 */
export function budgetLimitsOf ({ retryBudget }: EdgeSettings): BudgetLimits {
  if (retryBudget === undefined) return DEFAULT_BUDGET_LIMITS
  const { entries, ratio, slack = 0, windowMs } = retryBudget
  return { ratio, windowMs, reserve: entries === undefined ? 0 : slack / entries }
}

/**
 * When a request counts as the cause of crashes.
 *
 * @param settings - of the process
 * @returns the settings' limits over the defaults
 */
export function crashLimitsOf ({ crashes }: EdgeSettings): CrashLimits {
  return { ...DEFAULT_CRASH_LIMITS, ...crashes }
}

/**
 * How long this entry believes what it knows of keys.
 *
 * @param settings - of the process
 * @returns the settings' limits over the defaults
 */
export function credentialLimitsOf ({ configApplyMs = CONFIG_APPLY_MS, credentials }: EdgeSettings): CredentialLimits {
  return { ...DEFAULT_CREDENTIAL_LIMITS, ...credentials, appliedWithinMs: configApplyMs }
}

/**
 * What customers may use beyond their allotments.
 *
 * @param settings - of the process
 * @returns the settings' bounds, or those that allow nothing
 */
export function allotmentBoundsOf ({ allotments = DEFAULT_ALLOTMENT_BOUNDS }: EdgeSettings): AllotmentBounds {
  return allotments
}

/**
 * Checks settings.
 *
 * @param value - parsed document
 * @param file - its name in findings
 * @returns the settings, or all findings with their places
 */
export function checkEdgeSettings (value: unknown, file: string): Result<EdgeSettings, Finding[]> {
  return checkDocument<EdgeSettings>(EDGE_SETTINGS_SCHEMA, value, file)
}

/**
 * Reads and checks a settings file.
 *
 * @param path - path of the file
 * @returns the settings, or all findings with their places
 */
export async function readEdgeSettings (path: string): Promise<Result<EdgeSettings, Finding[]>> {
  return await readDocument<EdgeSettings>(EDGE_SETTINGS_SCHEMA, path)
}

/**
 * Reads and checks the file with the intent for the pools.
 *
 * @param path - path of the file
 * @returns intent and confirmation, or all findings with their places
 */
export async function readPoolDocument (path: string): Promise<Result<PoolDocument, Finding[]>> {
  return await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
}
