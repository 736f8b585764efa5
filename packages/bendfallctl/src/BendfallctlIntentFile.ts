/**
 * Reads intents from files.
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
 * Reads an intent.
 *
 * @param path - path of the JSON file
 * @returns the intent, of the right shape, or all findings
 */
export async function readIntent (path: string): Promise<Result<Intent, Finding[]>> {
  return await readDocument<Intent>(INTENT_SCHEMA, path)
}

/**
 * Turns findings about input into the result of a command.
 *
 * @param findings - the findings
 * @returns the result
 */
export function findingsResult (findings: readonly Finding[]): CommandResult {
  return { exit: 'findings', text: formatFindings(findings), json: { findings } }
}
