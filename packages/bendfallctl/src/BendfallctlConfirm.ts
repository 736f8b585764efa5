/**
 * Confirms a plan with a single compare-and-swap against the revision that the
 * plan is based on. Of several concurrent operators exactly one succeeds, and a
 * plan is never applied partially.
 *
 * @module
 */
import type { Config, Plan } from 'bendfall-core'
import { CONFIG_KEY, encodeConfig, isConfirmable } from 'bendfall-core'
import type { KeyValuePort, WriteOutcome } from 'bendfall-platform'
import type { PlanFailure, PlanPorts, PlanRequest } from './BendfallctlPlan.js'
import { makePlan, readStoredConfig } from './BendfallctlPlan.js'

/** Delays before each attempt to read the configuration back after a lost response. */
const READ_BACK_DELAYS_MS: readonly number[] = [0, 100, 250, 500, 1_000, 2_000, 2_000, 2_000]

/** Parameters of a confirmation, in addition to those of the plan. */
export interface ConfirmRequest extends PlanRequest {
  /** Digest of the plan that the operator reviewed. */
  readonly digest: string
  /** Identifies this write; unique for each confirmation. */
  readonly writeId: string
  /** Waits for a number of milliseconds; tests replace it to run in virtual time. */
  readonly pause: (waitMs: number) => Promise<void>
}

/** Why the plan with the given digest is no longer the current plan. */
export type ConflictReason = 'plan_changed' | 'written_by_other'

/** Outcome of a confirmation. */
export type ConfirmOutcome =
  | { readonly type: 'confirmed', readonly version: number, readonly revision: number, readonly writeId: string }
  /** The intent is already in force. */
  | { readonly type: 'in_force', readonly version: number }
  | { readonly type: 'blocked', readonly plan: Plan }
  /** Nothing was changed; `plan` is the new plan, if one could be made. */
  | { readonly type: 'conflict', readonly reason: ConflictReason, readonly plan?: Plan }
  /** The write was sent as `sentVersion`, but a higher version is stored, which does not show whether the write took effect. */
  | { readonly type: 'superseded', readonly version: number, readonly sentVersion: number, readonly writeId: string }
  /** The write was sent, but the configuration could not be read back to see whether it took effect. */
  | { readonly type: 'unresolved', readonly writeId: string, readonly detail: string }
  | { readonly type: 'failed', readonly failure: PlanFailure }

type WritePlanOutcome = Exclude<ConfirmOutcome, { type: 'blocked' | 'in_force' }>

/**
 * Plans the intent again and writes the result if its digest is the expected one.
 *
 * @param ports - key-value service and instance list to plan from and write to
 * @param request - intent, expected digest and write id
 * @returns whether the plan was written, and if not or if unknown, why
 */
export async function confirmPlan (ports: PlanPorts, request: ConfirmRequest): Promise<ConfirmOutcome> {
  const planned = await makePlan(ports, request)
  if (planned.isErr()) return { type: 'failed', failure: planned.error }
  const plan = planned.value
  if (!plan.isChange) return { type: 'in_force', version: plan.baseVersion }
  if (plan.digest !== request.digest) return { type: 'conflict', reason: 'plan_changed', plan }
  if (!isConfirmable(plan)) return { type: 'blocked', plan }
  const written = await writePlan(ports.keyValue, plan, request)
  return written.type === 'conflict' ? await withFreshPlan(ports, request) : written
}

async function withFreshPlan (ports: PlanPorts, request: PlanRequest): Promise<ConfirmOutcome> {
  const conflict = { type: 'conflict', reason: 'written_by_other' } as const
  const fresh = await makePlan(ports, request)
  return fresh.isOk() ? { ...conflict, plan: fresh.value } : conflict
}

async function writePlan (keyValue: KeyValuePort, plan: Plan, request: ConfirmRequest): Promise<WritePlanOutcome> {
  const config = { ...plan.next, writeId: request.writeId }
  const write = (): Promise<WriteOutcome> => keyValue.compareAndSwap({
    key: CONFIG_KEY,
    expectedRevision: plan.baseRevision,
    value: encodeConfig(config),
    leaseId: ''
  })
  const outcome = await write()
  if (outcome.type === 'applied') return confirmed(config, outcome.revision)
  if (outcome.type === 'conflict') return { type: 'conflict', reason: 'written_by_other' }
  if (outcome.type === 'unavailable') return { type: 'failed', failure: { kind: 'unavailable', detail: outcome.detail } }
  return await resolveLostAnswer(keyValue, plan, config, request, write)
}

/**
 * Finds out whether a write without a response took effect, or may still take
 * effect. Each round first reads the configuration back. The same write is sent
 * again only while the old revision is stored: both writes expect that revision,
 * so at most one takes effect.
 */
async function resolveLostAnswer (keyValue: KeyValuePort, plan: Plan, config: Config, request: ConfirmRequest, write: () => Promise<WriteOutcome>): Promise<WritePlanOutcome> {
  let detail = 'no answer'
  for (const waitMs of READ_BACK_DELAYS_MS) {
    await request.pause(waitMs)
    const stored = await readStoredConfig(keyValue)
    if (stored.isErr()) {
      detail = stored.error.detail
      continue
    }
    const { config: found, revision } = stored.value
    if (revision !== plan.baseRevision) return classifyReadBack(config, found, revision)
    const outcome = await write()
    if (outcome.type === 'applied') return confirmed(config, outcome.revision)
    if (outcome.type !== 'conflict') detail = outcome.detail
  }
  return { type: 'unresolved', writeId: config.writeId, detail }
}

function classifyReadBack (sent: Config, found: Config | undefined, revision: number): WritePlanOutcome {
  if (found?.writeId === sent.writeId) return confirmed(sent, revision)
  const isNewer = found !== undefined && found.version > sent.version
  if (isNewer) return { type: 'superseded', version: found.version, sentVersion: sent.version, writeId: sent.writeId }
  return { type: 'conflict', reason: 'written_by_other' }
}

function confirmed (config: Config, revision: number): WritePlanOutcome {
  return { type: 'confirmed', version: config.version, revision, writeId: config.writeId }
}
