/**
 * Prints results to standard output and log messages to standard error.
 *
 * @module
 */
import { createConsola } from 'consola'
import type { CommandResult } from './BendfallctlExit.js'
import { EXIT_CODES } from './BendfallctlExit.js'

const MS_PER_SECOND = 1_000

/** Logger of the command line. It writes to standard error, since standard output is reserved for results. */
export const log = createConsola({ stdout: process.stderr, stderr: process.stderr })

/**
 * Logs the time since process start at the end of a step; shown with `CONSOLA_LEVEL=4`.
 *
 * @param step - description of the step that ended
 */
export function logStep (step: string): void {
  log.debug(`${step} after ${Math.round(process.uptime() * MS_PER_SECOND)} ms`)
}

/** Output arguments that every command accepts. */
export const OUTPUT_ARGS = {
  json: { type: 'boolean', description: 'Print JSON instead of text' }
} as const

/**
 * Prints a result and sets the exit code of the process.
 *
 * @param result - result of the command
 * @param asJson - true to print the JSON value instead of the text
 */
export function printResult (result: CommandResult, asJson: boolean): void {
  const text = asJson ? JSON.stringify(result.json, null, 2) : result.text
  process.stdout.write(`${text}\n`)
  process.exitCode = EXIT_CODES[result.exit]
}
