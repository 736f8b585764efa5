/**
 * Defines the commands `plan` and `confirm`.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as pause } from 'node:timers/promises'
import { defineCommand } from 'citty'
import { confirmPlan } from './BendfallctlConfirm.js'
import { describeConfirm } from './BendfallctlConfirmText.js'
import type { CommandResult } from './BendfallctlExit.js'
import { findingsResult, readIntent } from './BendfallctlIntentFile.js'
import { logStep, OUTPUT_ARGS, printResult } from './BendfallctlOutput.js'
import type { PlanPorts, PlanRequest } from './BendfallctlPlan.js'
import { runPlan } from './BendfallctlPlan.js'
import type { TargetArgs } from './BendfallctlTarget.js'
import { openFullTarget, TARGET_ARGS } from './BendfallctlTarget.js'

const WEIGHT_STORE_RATE_ARG = 'weight-store-bytes-per-second'

const PLAN_ARGS = {
  intent: { type: 'string', required: true, valueHint: 'FILE', description: 'Intent to plan' },
  [WEIGHT_STORE_RATE_ARG]: { type: 'string', valueHint: 'N', description: 'Throughput of the weight store, for the estimates' },
  ...TARGET_ARGS,
  ...OUTPUT_ARGS
} as const

interface PlanArgs extends TargetArgs {
  readonly intent: string
  readonly [WEIGHT_STORE_RATE_ARG]?: string
}

type PlanRunner = (ports: PlanPorts, request: PlanRequest) => Promise<CommandResult>

/** `bendfallctl plan` */
export const planCommand = defineCommand({
  meta: { name: 'plan', description: 'Show what an intent would change' },
  args: PLAN_ARGS,
  run: async ({ args }) => {
    printResult(await withIntent(args, runPlan), args.json ?? false)
  }
})

/** `bendfallctl confirm` */
export const confirmCommand = defineCommand({
  meta: { name: 'confirm', description: 'Put a plan into force' },
  args: {
    digest: { type: 'string', required: true, valueHint: 'DIGEST', description: 'Digest printed by plan' },
    ...PLAN_ARGS
  },
  run: async ({ args }) => {
    const confirm: PlanRunner = async (ports, request) => {
      const wait = async (waitMs: number): Promise<void> => { await pause(waitMs) }
      return describeConfirm(await confirmPlan(ports, { ...request, digest: args.digest, writeId: randomUUID(), pause: wait }))
    }
    printResult(await withIntent(args, confirm), args.json ?? false)
  }
})

async function withIntent (args: PlanArgs, run: PlanRunner): Promise<CommandResult> {
  logStep('started')
  const intent = await readIntent(args.intent)
  const target = await openFullTarget(args)
  logStep('intent read')
  if (intent.isErr() || target.isErr()) {
    if (target.isOk()) await target.value.close()
    return findingsResult([...(intent.isErr() ? intent.error : []), ...(target.isErr() ? target.error : [])])
  }
  try {
    return await run(target.value, { intent: intent.value, weightStoreBytesPerSecond: parseRate(args[WEIGHT_STORE_RATE_ARG]) })
  } finally {
    logStep('services answered')
    await target.value.close()
    logStep('connections closed')
  }
}

function parseRate (text: string | undefined): number {
  const rate = Number(text)
  return Number.isFinite(rate) && rate > 0 ? rate : 0
}
