/**
 * Runs one role of the service until it has stopped, and reports a failure to start.
 *
 * @module
 */
import { createNode } from 'bendfall-node'
import { loadSettings } from './BendfallSettingsFile.js'
import type { CommandOutput, Role } from './BendfallSettingsFile.js'

/** Exit code of a process that failed to start, run or stop. */
export const EXIT_FAILED = 1

/**
 * Runs a process until it stops. SIGTERM and SIGINT shut it down gracefully.
 *
 * @param role - role that the settings must have
 * @param path - path of the settings file
 * @param output - receives findings and errors
 * @returns promise that resolves once the process has stopped or failed to start
 */
export async function runRole (role: Role, path: string, output: CommandOutput): Promise<void> {
  const settings = await loadSettings(path, role, output)
  if (settings === undefined) return
  try {
    const node = await createNode(settings)
    await node.done
  } catch (error) {
    output.writeError(`bendfall: ${(error as Error).message}\n`)
    output.setExitCode(EXIT_FAILED)
  }
}
