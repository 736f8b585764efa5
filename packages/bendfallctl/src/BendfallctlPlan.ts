/**
 * Makes plans from the configuration and the instance list that the platform's
 * services currently hold, for the commands `plan` and `confirm`.
 *
 * @module
 */
import type { Config, Intent, Plan } from 'bendfall-core'
import { CONFIG_KEY, decodeConfig, isConfirmable, planIntent } from 'bendfall-core'
import type { InstanceListPort, KeyValuePort } from 'bendfall-platform'
import type { Result } from 'ts-results-es'
import { Err, Ok } from 'ts-results-es'
import type { CommandResult } from './BendfallctlExit.js'
import { formatPlan } from './BendfallctlPlanText.js'

/** Services that a plan is based on. */
export interface PlanPorts {
  readonly keyValue: KeyValuePort
  readonly instances: InstanceListPort
}

/** Input of an operator. */
export interface PlanRequest {
  readonly intent: Intent
  /** Throughput of the weight store, for the estimates; 0 if unknown. */
  readonly weightStoreBytesPerSecond: number
}

/** The stored configuration. */
export interface StoredConfig {
  /** Absent before the first confirmation. */
  readonly config?: Config
  /** 0 before the first confirmation. */
  readonly revision: number
}

/** Why no plan could be made: a service is unavailable, or the stored configuration is invalid. */
export interface PlanFailure {
  readonly kind: 'unavailable' | 'unreadable'
  readonly detail: string
}

/**
 * Reads the stored configuration.
 *
 * @param keyValue - service that stores the configuration
 * @returns configuration and revision, or why they could not be read
 */
export async function readStoredConfig (keyValue: KeyValuePort): Promise<Result<StoredConfig, PlanFailure>> {
  const read = await keyValue.get(CONFIG_KEY)
  if (read.type === 'unavailable') return Err({ kind: 'unavailable', detail: `key-value service: ${read.detail}` })
  if (read.type === 'missing') return Ok({ revision: 0 })
  const config = decodeConfig(read.entry.value)
  if (config === undefined) return Err({ kind: 'unreadable', detail: `the value at ${CONFIG_KEY} is no configuration` })
  return Ok({ config, revision: read.entry.revision })
}

/**
 * Plans an intent against the current configuration and instances.
 *
 * @param ports - services to read from
 * @param request - intent and rate of the weight store
 * @returns the plan, or why none could be made
 */
export async function makePlan (ports: PlanPorts, request: PlanRequest): Promise<Result<Plan, PlanFailure>> {
  const [stored, listed] = await Promise.all([readStoredConfig(ports.keyValue), ports.instances.list()])
  if (stored.isErr()) return stored
  if (listed.type === 'unavailable') return Err({ kind: 'unavailable', detail: `instance list: ${listed.detail}` })
  return Ok(planIntent({
    current: stored.value.config,
    currentRevision: stored.value.revision,
    intent: request.intent,
    instances: listed.instances,
    weightStoreBytesPerSecond: request.weightStoreBytesPerSecond
  }))
}

/**
 * Runs the command `plan`.
 *
 * @param ports - services to read from
 * @param request - intent and rate of the weight store
 * @returns the plan; exit `findings` if it cannot be confirmed
 */
export async function runPlan (ports: PlanPorts, request: PlanRequest): Promise<CommandResult> {
  const planned = await makePlan(ports, request)
  if (planned.isErr()) return failedResult(planned.error)
  const plan = planned.value
  return { exit: isConfirmable(plan) ? 'done' : 'findings', text: formatPlan(plan), json: plan }
}

/**
 * Converts a failure to the result of a command.
 *
 * @param failure - why no plan could be made
 * @returns a result with exit `outage` if a service is unavailable, otherwise `failed`
 */
export function failedResult (failure: PlanFailure): CommandResult {
  const exit = failure.kind === 'unavailable' ? 'outage' : 'failed'
  return { exit, text: `No plan was made: ${failure.detail}`, json: { type: failure.kind, detail: failure.detail } }
}
