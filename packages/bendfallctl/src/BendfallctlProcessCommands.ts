/**
 * Defines the commands `check`, `drain`, `status` and `timeline`.
 *
 * @module
 */
import { defineCommand } from 'citty'
import { runCheck } from './BendfallctlCheck.js'
import type { CommandResult } from './BendfallctlExit.js'
import { findingsResult } from './BendfallctlIntentFile.js'
import { OUTPUT_ARGS, printResult } from './BendfallctlOutput.js'
import { runDrain, runTimeline } from './BendfallctlProcesses.js'
import { runStatus } from './BendfallctlStatus.js'
import type { Target, TargetArgs } from './BendfallctlTarget.js'
import { openTarget, TARGET_ARGS } from './BendfallctlTarget.js'

const PROCESS_ARGS = { ...TARGET_ARGS, ...OUTPUT_ARGS } as const

/** `bendfallctl status` */
export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show configuration version, state and load of each process' },
  args: PROCESS_ARGS,
  run: async ({ args }) => {
    printResult(await withTarget(args, (target) => runStatus(target.instances, target.keyValue)), args.json ?? false)
  }
})

/** `bendfallctl drain INSTANCE` */
export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Stop one process after it has finished its work' },
  args: { instance: { type: 'positional', required: true, description: 'Instance to drain' }, ...PROCESS_ARGS },
  run: async ({ args }) => {
    printResult(await withTarget(args, (target) => runDrain(target.instances, args.instance)), args.json ?? false)
  }
})

/** `bendfallctl timeline` */
export const timelineCommand = defineCommand({
  meta: { name: 'timeline', description: 'Show the events of all processes in causal order' },
  args: { subject: { type: 'string', valueHint: 'ID', description: 'Request, or config/VERSION' }, ...PROCESS_ARGS },
  run: async ({ args }) => {
    printResult(await withTarget(args, (target) => runTimeline(target.instances, args.subject ?? '')), args.json ?? false)
  }
})

/** `bendfallctl check FILE` */
export const checkCommand = defineCommand({
  meta: { name: 'check', description: 'Check settings or an intent, offline' },
  args: { file: { type: 'positional', required: true, description: 'File to check' }, ...OUTPUT_ARGS },
  run: async ({ args }) => {
    printResult(await runCheck(args.file), args.json ?? false)
  }
})

async function withTarget (args: TargetArgs, run: (target: Target) => Promise<CommandResult>): Promise<CommandResult> {
  const target = await openTarget(args)
  if (target.isErr()) return findingsResult(target.error)
  try {
    return await run(target.value)
  } finally {
    await target.value.close()
  }
}
