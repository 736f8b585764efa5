/**
 * The bendfall service: entry and sidecar roles.
 *
 * @module
 */
export { EXIT_FAILED, runRole } from './BendfallRole.js'
export { EXIT_FINDINGS, loadSettings, PROCESS_OUTPUT } from './BendfallSettingsFile.js'
export type { CommandOutput, Role } from './BendfallSettingsFile.js'
