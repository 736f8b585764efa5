/**
 * Defines the result of a command: an exit code, a text for people and a value
 * for programs.
 *
 * @module
 */

/** Process exit codes, shared by all commands. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  /** The input has findings; nothing was changed. */
  findings: 2,
  /** Another operator was faster; nothing was changed. */
  conflict: 3,
  /** A service or a process could not be reached. */
  outage: 4
} as const

/** Names of the exit codes. */
export type ExitName = keyof typeof EXIT_CODES

/** Result of a command in both output formats. */
export interface CommandResult {
  readonly exit: ExitName
  /** Text output, without a trailing line feed. */
  readonly text: string
  /** Value that `--json` prints. */
  readonly json: unknown
}
