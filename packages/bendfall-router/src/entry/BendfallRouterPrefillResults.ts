/**
 * Detects prefill replicas whose results are lost before they can be used: the result expires too soon, or the transfer
 * takes too long. Each decode replica then refuses the run as if it lacked memory, so that a request would try one after
 * the other with the same result. While results are lost, decode replicas process prompts themselves.
 *
 * @module
 */
import type { RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Consecutive refusals by different decode replicas after which results count as lost; a single one may be for memory that a report does not show yet. */
const REFUSALS_TO_SUSPECT = 2

/** First period for which the results of a replica are not used; doubles with each further refusal. */
const INITIAL_LOST_MS = 1_000

/** Maximum of that period, so that a replica is used again soon after its results last. */
const MAX_LOST_MS = 4_000

/**
 * Records that a decode replica refused a run from a prefill result although its ledger had confirmed the memory.
 *
 * @param context - context of the current event
 * @param request - refused request, with the result of its last send
 */
export function recordRefusedResult (context: RouterContext, request: RequestState): void {
  const { nowMs, state } = context
  const prefillView = state.replicas.get(request.sentHandle?.replicaId ?? '')
  const decodeView = state.replicas.get(request.runReplicaId ?? '')
  // Without a ledger the replica may lack memory.
  if (state.decisions.lostResults === 'ignored' || prefillView === undefined || decodeView === undefined || decodeView.ledgerDownUntilMs > nowMs) return
  // A decode replica that refuses all runs says nothing about the results.
  if (prefillView.refusedResults < REFUSALS_TO_SUSPECT && prefillView.resultRefusedBy === decodeView.replica.replicaId) return
  prefillView.resultRefusedBy = decodeView.replica.replicaId
  prefillView.refusedResults += 1
  const doublings = prefillView.refusedResults - REFUSALS_TO_SUSPECT
  if (doublings < 0) return
  prefillView.resultsLostUntilMs = nowMs + Math.min(MAX_LOST_MS, INITIAL_LOST_MS * 2 ** Math.min(doublings, 10))
  logDecision(context, request, 'prefill_results_lost', { replica: prefillView.replica.replicaId, refused: prefillView.refusedResults })
}

/**
 * Records that a run from a prefill result has started.
 *
 * @param context - context of the current event
 * @param request - request whose response has started
 */
export function recordUsedResult ({ state }: RouterContext, { sentHandle }: RequestState): void {
  const view = state.replicas.get(sentHandle?.replicaId ?? '')
  if (view === undefined) return
  view.refusedResults = 0
  view.resultRefusedBy = undefined
  view.resultsLostUntilMs = -Infinity
}

/**
 * Checks whether the prefill results of a replica can be used.
 *
 * @param view - view of the prefill replica
 * @param nowMs - current time
 * @returns false while they count as lost
 */
export function keepsResults ({ resultsLostUntilMs }: ReplicaView, nowMs: number): boolean {
  return resultsLostUntilMs <= nowMs
}
