/**
 * Command line for operators: plan, confirm, status, drain, timeline, explain,
 * crashes and check.
 *
 * @module
 */
export { runCheck } from './BendfallctlCheck.js'
export type { DocumentKind } from './BendfallctlCheck.js'
export { confirmPlan } from './BendfallctlConfirm.js'
export type { ConfirmOutcome, ConfirmRequest, ConflictReason } from './BendfallctlConfirm.js'
export { describeConfirm } from './BendfallctlConfirmText.js'
export { clearCrashes, listCrashes } from './BendfallctlCrashes.js'
export type { CrashSuspect } from './BendfallctlCrashes.js'
export { EXIT_CODES } from './BendfallctlExit.js'
export type { CommandResult, ExitName } from './BendfallctlExit.js'
export { explainFailures, explainRequest } from './BendfallctlExplain.js'
export type { FailureCause } from './BendfallctlExplain.js'
export { readIntent } from './BendfallctlIntentFile.js'
export { INTENT_SCHEMA } from './BendfallctlIntentSchema.js'
export { makePlan, readStoredConfig, runPlan } from './BendfallctlPlan.js'
export type { PlanFailure, PlanPorts, PlanRequest, StoredConfig } from './BendfallctlPlan.js'
export { formatPlan } from './BendfallctlPlanText.js'
export { runDrain, runTimeline } from './BendfallctlProcesses.js'
export { runStatus } from './BendfallctlStatus.js'
export type { ProcessStatus, StatusReport } from './BendfallctlStatus.js'
