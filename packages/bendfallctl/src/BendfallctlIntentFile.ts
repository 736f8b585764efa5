/**
 * Reads intent files and reports findings about input files.
 *
 * @module
 */
import type { Intent } from 'bendfall-core'
import type { Finding } from 'bendfall-node/settings'
import { formatFindings, readDocument } from 'bendfall-node/settings'
import type { Result } from 'ts-results-es'
import type { CommandResult } from './BendfallctlExit.js'
import { INTENT_SCHEMA } from './BendfallctlIntentSchema.js'

/**
 * Reads an intent and validates it against {@link INTENT_SCHEMA}.
 *
 * @param path - path of a JSON file
 * @returns the intent, or all findings about the file
 */
export async function readIntent (path: string): Promise<Result<Intent, Finding[]>> {
  return await readDocument<Intent>(INTENT_SCHEMA, path)
}

/**
 * Converts findings about the input to the result of a command.
 *
 * @param findings - at least one finding
 * @returns a result with exit `findings`
 */
export function findingsResult (findings: readonly Finding[]): CommandResult {
  return { exit: 'findings', text: formatFindings(findings), json: { findings } }
}
