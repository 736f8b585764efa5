/**
 * Defines the commands `crashes` and `crashes-clear`, which list and clear the
 * requests suspected of crashing replicas.
 *
 * @module
 */
import type { KeyValuePort } from 'bendfall-platform'
import { createPlatformKeyValue } from 'bendfall-platform-adapter'
import { defineCommand } from 'citty'
import { clearCrashes, listCrashes } from './BendfallctlCrashes.js'
import type { CommandResult } from './BendfallctlExit.js'
import { OUTPUT_ARGS, printResult } from './BendfallctlOutput.js'

const STORE_ARG = { store: { type: 'string', required: true, valueHint: 'IP:PORT', description: 'Address of the key-value service that the entries use' } } as const

/** `bendfallctl crashes` */
export const crashesCommand = defineCommand({
  meta: { name: 'crashes', description: 'List the requests suspected of crashing replicas' },
  args: { ...STORE_ARG, ...OUTPUT_ARGS },
  run: async ({ args }) => {
    printResult(await withStore(args.store, listCrashes), args.json ?? false)
  }
})

/** `bendfallctl crashes-clear` */
export const crashesClearCommand = defineCommand({
  meta: { name: 'crashes-clear', description: 'Clear the list on all entries, so that the requests are served again' },
  args: {
    ...STORE_ARG,
    digest: { type: 'string', required: true, valueHint: 'DIGEST', description: 'Digest printed by crashes' },
    ...OUTPUT_ARGS
  },
  run: async ({ args }) => {
    printResult(await withStore(args.store, (port) => clearCrashes(port, args.digest, new Date())), args.json ?? false)
  }
})

async function withStore (address: string, act: (port: KeyValuePort) => Promise<CommandResult>): Promise<CommandResult> {
  const port = createPlatformKeyValue(address)
  try {
    return await act(port)
  } finally {
    await port.close()
  }
}
