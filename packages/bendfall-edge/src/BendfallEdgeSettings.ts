/**
 * Startup settings of a router process: their type, JSON schema, defaults and validation.
 *
 * @module
 */
import { checkDocument, readDocument } from 'bendfall-node'
import type { Finding, LogLevel } from 'bendfall-node'
import { DECISIONS_SCHEMA, DEFAULT_ALLOTMENT_BOUNDS, DEFAULT_BUDGET_LIMITS, DEFAULT_CRASH_LIMITS, DEFAULT_CREDENTIAL_LIMITS, DEFAULT_DECISIONS, POOL_DOCUMENT_SCHEMA } from 'bendfall-router'
import type { AllotmentBounds, BudgetLimits, CrashLimits, CredentialLimits, PoolDocument, RouterDecisions } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Startup settings of a router process. */
export interface EdgeSettings {
  readonly instanceId: string
  readonly availabilityZone: string
  /** IP address of the instance. */
  readonly ip: string
  /** `ip:port` for callers; entries only. */
  readonly callersListen?: string
  /** `ip:port` for the platform's readiness probes; entries only. */
  readonly readyListen?: string
  /** `ip:port` of the model replica on this instance; sidecars only. */
  readonly replicaAddress?: string
  /** First and last port for connections between router processes. */
  readonly peerPorts: readonly [number, number]
  /** `ip:port` of the platform's key-value service. */
  readonly keyValueAddress: string
  /** Seconds from the stop signal until the process is killed. */
  readonly stopGraceS: number
  /** Milliseconds after a replica announces its shutdown until it must get no new work; default: {@link DRAIN_MS}. */
  readonly drainMs?: number
  /** Milliseconds from the acceptance of a configuration until it must be applied; default: {@link CONFIG_APPLY_MS}. */
  readonly configApplyMs?: number
  /** File with the pool intent and its confirmation; if absent, the pools stay unchanged. */
  readonly poolsFile?: string
  /** Overrides that disable or change individual mechanisms; missing ones keep their production defaults. */
  readonly decisions?: Partial<RouterDecisions>
  /** Retry budget shared by all entries; default: {@link DEFAULT_BUDGET_LIMITS} for each entry. */
  readonly retryBudget?: RetryBudgetSettings
  /** Thresholds for treating a request as the cause of crashes; default: {@link DEFAULT_CRASH_LIMITS}. */
  readonly crashes?: Partial<CrashLimits>
  /** How long customers' keys are trusted without an update; default: {@link DEFAULT_CREDENTIAL_LIMITS}. */
  readonly credentials?: CredentialSettings
  /** Usage that customers are granted beyond their allotments; default: none. */
  readonly allotments?: AllotmentBounds
  /** Memory of the process in megabytes; if absent, the buffers of an entry are not bounded. */
  readonly memoryMb?: number
  /** Share of each core that the process may use; default: 1. */
  readonly processorShare?: number
  /** Cores of the instance; default: 1. */
  readonly processorCores?: number
  readonly log?: { readonly level: LogLevel }
}

/** Limits on the extra sends (sends after the first of each request) of all entries together. */
export interface RetryBudgetSettings {
  /** Extra sends allowed per request. */
  readonly ratio: number
  readonly windowMs: number
  /** Extra sends allowed per window regardless of the number of requests, shared by all entries. */
  readonly slack?: number
  /** Number of entries that share the slack; if absent, it is unknown and no entry uses the slack. */
  readonly entries?: number
}

/** Settings for the revocation of customers' keys. */
export interface CredentialSettings {
  /** Milliseconds after which every entry must reject a revoked key. */
  readonly revokedWithinMs: number
  /** Whether entries that can't receive revocations reject requests with keys; default: true. */
  readonly isStrict?: boolean
}

/** Defaults as required by smaller deployments; larger ones set higher values. */
export const DRAIN_MS = 2_000
export const CONFIG_APPLY_MS = 2_000

/** Shorter bounds would poll the key-value service several times per second. */
const BOUND_MS_SCHEMA = { type: 'number', minimum: 500 } as const

const ADDRESS = { type: 'string', format: 'ip-port' } as const
const PORT = { type: 'integer', minimum: 1, maximum: 65_535 } as const

/** Schema of the settings file. */
export const EDGE_SETTINGS_SCHEMA = {
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
    drainMs: BOUND_MS_SCHEMA,
    configApplyMs: BOUND_MS_SCHEMA,
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
        // The key-value service grants leases of at most ten minutes.
        rememberedMs: { type: 'integer', minimum: 10_000, maximum: 600_000 }
      }
    },
    credentials: {
      type: 'object',
      required: ['revokedWithinMs'],
      additionalProperties: false,
      // A shorter time would expire between two responses of the key-value service.
      properties: { revokedWithinMs: { type: 'number', minimum: 2_000 }, isStrict: { type: 'boolean' } }
    },
    allotments: {
      type: 'object',
      required: ['windowMs', 'overShare', 'slackUnits'],
      additionalProperties: false,
      properties: { windowMs: { type: 'number', minimum: 1_000 }, overShare: { type: 'number', minimum: 0 }, slackUnits: { type: 'number', minimum: 0 } }
    },
    // A bare process needs about 50 MB.
    memoryMb: { type: 'number', minimum: 64 },
    processorShare: { type: 'number', exclusiveMinimum: 0 },
    processorCores: { type: 'number', exclusiveMinimum: 0 },
    log: { type: 'object', properties: { level: { type: 'string', enum: ['error', 'warn', 'info', 'debug'] } } }
  }
}

/**
 * Returns the switches of all mechanisms.
 *
 * @param settings - settings of the process
 * @returns the defaults, overridden by the settings
 */
export function decisionsOf ({ decisions }: EdgeSettings): RouterDecisions {
  return { ...DEFAULT_DECISIONS, ...decisions }
}

/**
 * Returns the retry budget of this entry.
 *
 * @param settings - settings of the process
 * @returns this entry's share, so that all entries together stay within the configured budget
 */
export function budgetLimitsOf ({ retryBudget }: EdgeSettings): BudgetLimits {
  if (retryBudget === undefined) return DEFAULT_BUDGET_LIMITS
  const { entries, ratio, slack = 0, windowMs } = retryBudget
  return { ratio, windowMs, reserve: entries === undefined ? 0 : slack / entries }
}

/**
 * Returns the thresholds for treating a request as the cause of crashes.
 *
 * @param settings - settings of the process
 * @returns the defaults, overridden by the settings
 */
export function crashLimitsOf ({ crashes }: EdgeSettings): CrashLimits {
  return { ...DEFAULT_CRASH_LIMITS, ...crashes }
}

/**
 * Returns how long this entry trusts its data about customers' keys without an update.
 *
 * @param settings - settings of the process
 * @returns the defaults, overridden by the settings
 */
export function credentialLimitsOf ({ configApplyMs = CONFIG_APPLY_MS, credentials }: EdgeSettings): CredentialLimits {
  return { ...DEFAULT_CREDENTIAL_LIMITS, ...credentials, appliedWithinMs: configApplyMs }
}

/**
 * Returns the usage that customers are granted beyond their allotments.
 *
 * @param settings - settings of the process
 * @returns the configured bounds, or bounds that grant nothing extra
 */
export function allotmentBoundsOf ({ allotments = DEFAULT_ALLOTMENT_BOUNDS }: EdgeSettings): AllotmentBounds {
  return allotments
}

/**
 * Returns the memory of the process, if the buffers of an entry are to be bounded by it.
 *
 * @param settings - settings of the process
 * @returns megabytes; undefined if nothing is bounded
 */
export function memoryMbOf (settings: EdgeSettings): number | undefined {
  return decisionsOf(settings).memory === 'bounded' ? settings.memoryMb : undefined
}

/**
 * Returns the processor time that this process may use.
 *
 * @param settings - settings of the process
 * @returns number of cores; may be a fraction
 */
export function processorShareOf ({ processorCores = 1, processorShare = 1 }: EdgeSettings): number {
  return processorShare * processorCores
}

/**
 * Validates settings.
 *
 * @param value - parsed document
 * @param file - file name to show in findings
 * @returns the settings, or all findings with their locations
 */
export function checkEdgeSettings (value: unknown, file: string): Result<EdgeSettings, Finding[]> {
  return checkDocument<EdgeSettings>(EDGE_SETTINGS_SCHEMA, value, file)
}

/**
 * Reads and validates a settings file.
 *
 * @param path - path of the file
 * @returns the settings, or all findings with their locations
 */
export async function readEdgeSettings (path: string): Promise<Result<EdgeSettings, Finding[]>> {
  return await readDocument<EdgeSettings>(EDGE_SETTINGS_SCHEMA, path)
}

/**
 * Reads and validates the file with the pool intent.
 *
 * @param path - path of the file
 * @returns the intent and its confirmation, or all findings with their locations
 */
export async function readPoolDocument (path: string): Promise<Result<PoolDocument, Finding[]>> {
  return await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
}
