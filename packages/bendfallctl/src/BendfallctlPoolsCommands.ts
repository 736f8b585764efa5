/**
 * Defines the commands `pools-plan` and `pools-confirm`.
 *
 * @module
 */
import { defineCommand } from 'citty'
import { OUTPUT_ARGS, printResult } from './BendfallctlOutput.js'
import { confirmPools, planPools } from './BendfallctlPools.js'

const FILE_ARG = { file: { type: 'string', default: 'deploy/pools.json', valueHint: 'FILE', description: 'File with the intent for the pools' } } as const

/** `bendfallctl pools-plan` */
export const poolsPlanCommand = defineCommand({
  meta: { name: 'pools-plan', description: 'Show what the intent for the pools would change' },
  args: {
    ...FILE_ARG,
    prefills: { type: 'string', default: '4', valueHint: 'N', description: 'Current number of prefill replicas' },
    decodes: { type: 'string', default: '8', valueHint: 'N', description: 'Current number of decode replicas' },
    ...OUTPUT_ARGS
  },
  run: async ({ args }) => {
    printResult(await planPools(args.file, { prefills: Number(args.prefills), decodes: Number(args.decodes) }), args.json ?? false)
  }
})

/** `bendfallctl pools-confirm` */
export const poolsConfirmCommand = defineCommand({
  meta: { name: 'pools-confirm', description: 'Confirm the intent for the pools' },
  args: {
    ...FILE_ARG,
    digest: { type: 'string', required: true, valueHint: 'DIGEST', description: 'Digest printed by pools-plan' },
    ...OUTPUT_ARGS
  },
  run: async ({ args }) => {
    printResult(await confirmPools(args.file, args.digest), args.json ?? false)
  }
})
