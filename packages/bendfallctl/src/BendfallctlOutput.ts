/**
 * Writes results to standard output and the log to standard error.
 *
 * @module
 */
import { createConsola } from 'consola'
import type { CommandResult } from './BendfallctlExit.js'
import { EXIT_CODES } from './BendfallctlExit.js'

const MS_PER_SECOND = 1_000

/** Log of the command line; keeps standard output for results. */
export const log = createConsola({ stdout: process.stderr, stderr: process.stderr })

/**
 * Logs how long a command has run when a step of it ends; shown with `CONSOLA_LEVEL=4`.
 *
 * @param step - what has ended
 */
export function noteStep (step: string): void {
  log.debug(`${step} after ${Math.round(process.uptime() * MS_PER_SECOND)} ms`)
}

/** Arguments of every command. */
export const OUTPUT_ARGS = {
  json: { type: 'boolean', description: 'Print JSON instead of text' }
} as const

/**
 * Prints a result and sets the exit code of the process.
 *
 * @param result - the result
 * @param asJson - whether to print the form for programs
 */
export function printResult (result: CommandResult, asJson: boolean): void {
  const text = asJson ? JSON.stringify(result.json, null, 2) : result.text
  process.stdout.write(`${text}\n`)
  process.exitCode = EXIT_CODES[result.exit]
}
