/**
 * The sidecar role: reservation ledger, prefill queue, plain calls, drain.
 *
 * @module
 */
export { CALL_CONCURRENCY, CALL_QUEUE_LIMIT, startServiceCall } from './BendfallCoreSidecarCalls.js'
export type { CallRefusal, CallStart } from './BendfallCoreSidecarCalls.js'
export { CANCEL_RETRY_MS } from './BendfallCoreSidecarCancel.js'
export { CLEAR_FAILURE } from './BendfallCoreSidecarClear.js'
export { DECODE_WAIT_MS, PROGRESS_DEADLINE_MS, PROGRESS_LOOK_MS } from './BendfallCoreSidecarDecode.js'
export { sidecarHandlers } from './BendfallCoreSidecarHandlers.js'
export { DRAIN_LIMIT_MS } from './BendfallCoreSidecarIdle.js'
export { checkSidecarInvariants } from './BendfallCoreSidecarInvariants.js'
export { RECONNECT_MS } from './BendfallCoreSidecarEntries.js'
export { LEASE_MS, holdsRequest } from './BendfallCoreSidecarLeases.js'
export { loadView } from './BendfallCoreSidecarLoad.js'
export { OVERTAKE_FACTOR } from './BendfallCoreSidecarQueue.js'
export { reconcileStatus } from './BendfallCoreSidecarReconcile.js'
export type { ReconcileStatus } from './BendfallCoreSidecarReconcile.js'
export { ownPool } from './BendfallCoreSidecarServing.js'
export { createSidecarState } from './BendfallCoreSidecarState.js'
export type { SidecarState } from './BendfallCoreSidecarState.js'
