/**
 * Defines the command `explain`, which shows from log files why requests failed.
 *
 * @module
 */
import { defineCommand } from 'citty'
import { explainFailures, explainRequest } from './BendfallctlExplain.js'
import { OUTPUT_ARGS, printResult } from './BendfallctlOutput.js'

/** `bendfallctl explain` */
export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Show from logs why a request failed: explain ID FILE..., or explain --failures FILE...' },
  args: {
    failures: { type: 'boolean', description: 'List all failed requests by cause' },
    ...OUTPUT_ARGS
  },
  run: async ({ args }) => {
    const [first, ...files] = args._
    if (first === undefined || (args.failures !== true && files.length === 0)) {
      printResult({ exit: 'findings', text: 'explain needs a request id and log files, or --failures and log files', json: {} }, args.json ?? false)
      return
    }
    const result = args.failures === true ? await explainFailures([first, ...files]) : await explainRequest(first, files)
    printResult(result, args.json ?? false)
  }
})
