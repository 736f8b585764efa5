/**
 * Loads the settings file of a command, and prints all findings at once so that they can be
 * fixed together.
 *
 * @module
 */
import { formatFindings, readSettings } from 'bendfall-node'
import type { Settings } from 'bendfall-node'

/** Exit code of a process whose settings have findings. */
export const EXIT_FINDINGS = 2

/** Role of a process. */
export type Role = Settings['role']

/** Error output and exit code of a command. */
export interface CommandOutput {
  readonly writeError: (text: string) => void
  readonly setExitCode: (code: number) => void
}

/** Output of the process itself. */
export const PROCESS_OUTPUT: CommandOutput = {
  writeError: (text) => { process.stderr.write(text) },
  setExitCode: (code) => { process.exitCode = code }
}

/**
 * Loads a settings file. Findings are written to the error output, all at once, and set
 * the exit code.
 *
 * @param path - path of the file
 * @param role - role that the settings must have, if any
 * @param output - receives findings
 * @returns the settings, or undefined when there are findings
 */
export async function loadSettings (path: string, role: Role | undefined, output: CommandOutput): Promise<Settings | undefined> {
  const result = await readSettings(path)
  if (result.isErr()) return fail(formatFindings(result.error), output)
  const settings = result.value
  if (role === undefined || settings.role === role) return settings
  const finding = { file: path, pointer: '/role', expected: JSON.stringify(role), found: JSON.stringify(settings.role) }
  return fail(formatFindings([finding]), output)
}

function fail (text: string, output: CommandOutput): undefined {
  output.writeError(`${text}\n`)
  output.setExitCode(EXIT_FINDINGS)
}
