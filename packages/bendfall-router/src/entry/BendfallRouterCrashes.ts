/**
 * Detects requests that crash the replicas which run them, and refuses them before another replica
 * is lost with everything that runs there. What this entry observes it publishes to the others.
 *
 * @module
 */
import { countCrashes, countSuspicions } from '../crashes/BendfallRouterCrashCount.js'
import { clearCrashRecords, formatProcessName, recordAcceptedConnection, recordCrash, addLostProcess, recordServed, parseReplicaId } from '../crashes/BendfallRouterCrashRecords.js'
import { createCrashReport, mergeCrashReport } from '../crashes/BendfallRouterCrashReport.js'
import type { ReplicaProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** A run that has been sending its response for this long did not crash its replica by starting. */
const MIN_HEALTHY_RUN_MS = 1_000

/** Suspected crashes at which the entry no longer retries a request itself and leaves that to the caller. */
const NO_RETRY_SUSPICIONS = 2

/** Minimum number of crashes that a request must be cleared of for this to be published to the other entries. */
const MIN_PUBLISHED_CLEARED = 2

/** Maximum number of fingerprints or processes in one log line. */
const MAX_LOGGED_NAMES = 8

/**
 * Records that the connection of a request's last send was lost.
 *
 * @param context - context of the current event
 * @param request - request whose connection was lost
 */
export function recordConnectionLost (context: RouterContext, request: RequestState): void {
  const { effects, nowMs, state } = context
  const { sentTo } = request
  if (sentTo === undefined) return
  const suspect = isSuspect(context, request) ? { fingerprint: request.fingerprint, sentAtMs: request.runSentAtMs ?? nowMs } : undefined
  const needsCheck = addLostProcess(state.crashes, sentTo, suspect, nowMs)
  const replica = state.replicas.get(sentTo.replicaId)?.replica
  if (replica === undefined || replica.startedAtMs !== sentTo.startedAtMs) return recordProcessEnded(context, sentTo, 'registration')
  if (needsCheck) effects.push({ type: 'check_replica', replicaId: sentTo.replicaId, startedAtMs: sentTo.startedAtMs, address: replica.address })
}

function isSuspect ({ nowMs }: RouterContext, { answerStartedAtMs }: RequestState): boolean {
  return answerStartedAtMs === undefined || nowMs - answerStartedAtMs < MIN_HEALTHY_RUN_MS
}

/**
 * Handles the outcome of a check. A replica that lost a connection and does not answer a new one
 * counts as ended. A network failure would look different: existing connections stay open.
 *
 * @param context - context of the current event
 * @param event - outcome of the check, with the replica's process
 */
export function handleReplicaCheck (context: RouterContext, { outcome, replicaId, startedAtMs }: RouterEventOf<'replica_checked'>): void {
  const process = { replicaId, startedAtMs }
  if (outcome !== 'alive') return recordProcessEnded(context, process, outcome === 'ended' ? 'connection_refused' : 'no_connection')
  recordAcceptedConnection(context.state.crashes, process)
  context.effects.push({ type: 'log', decision: 'connections_lost', requestId: '', inputs: { replica: replicaId } })
}

/**
 * Records that a process of a replica has ended.
 *
 * @param context - context of the current event
 * @param process - process that has ended
 * @param sign - how this was detected
 */
export function recordProcessEnded (context: RouterContext, process: ReplicaProcess, sign: 'connection_refused' | 'no_connection' | 'registration'): void {
  const { effects, nowMs, state } = context
  const suspects = recordCrash(state.crashes, process, nowMs)
  if (suspects === undefined) return
  effects.push({ type: 'log', decision: 'replica_crashed', requestId: '', inputs: { replica: process.replicaId, startedAtMs: process.startedAtMs, sign, suspects: suspects.length, fingerprints: suspects.slice(0, MAX_LOGGED_NAMES).join(' ') } })
  if (suspects.length > 0) publishCrashes(context)
}

/**
 * Records that a live replica has answered a request, which clears it of earlier crashes.
 *
 * @param context - context of the current event
 * @param request - request that was served
 */
export function recordRequestServed (context: RouterContext, request: RequestState): void {
  const cleared = recordServed(context.state.crashes, request.fingerprint, context.nowMs)
  if (cleared < MIN_PUBLISHED_CLEARED) return
  logDecision(context, request, 'suspect_cleared', { fingerprint: request.fingerprint, crashes: cleared })
  publishCrashes(context)
}

/**
 * Merges the crash report of an entry.
 *
 * @param context - context of the current event
 * @param event - the report and the entry that published it
 */
export function handleCrashReport ({ nowMs, state }: RouterContext, { report, reporter }: RouterEventOf<'crash_report_learned'>): void {
  mergeCrashReport(state.crashes, report, reporter === state.instanceId, nowMs, (process) => isListed(state, process))
}

function isListed (state: RouterState, process: string): boolean {
  const replica = state.replicas.get(parseReplicaId(process))?.replica
  return replica !== undefined && formatProcessName(replica) === process
}

/**
 * Forgets all crashes at an operator's request.
 *
 * @param context - context of the current event
 */
export function clearCrashes (context: RouterContext): void {
  const { effects, state: { crashes } } = context
  if (crashes.suspects.size + crashes.cleared.size === 0) return
  effects.push({ type: 'log', decision: 'suspects_forgotten', requestId: '', inputs: { suspects: crashes.suspects.size } })
  clearCrashRecords(crashes)
  publishCrashes(context)
}

/**
 * Publishes this entry's observations again, if there are any.
 *
 * @param context - context of the current event
 */
export function republishCrashes (context: RouterContext): void {
  const { cleared, suspects } = context.state.crashes
  if (suspects.size + cleared.size > 0) publishCrashes(context)
}

function publishCrashes ({ effects, nowMs, state }: RouterContext): void {
  effects.push({ type: 'publish_crashes', report: createCrashReport(state.crashes, nowMs) })
}

/**
 * Returns whether the entry should not retry a request itself after a failure.
 *
 * @param context - context of the current event
 * @param request - request that has failed
 * @returns true when replicas have crashed under it, or may have
 */
export function isSuspectedCause ({ nowMs, state }: RouterContext, { fingerprint }: RequestState): boolean {
  return state.decisions.crashes === 'refused' && countSuspicions(state.crashes, fingerprint, nowMs) >= NO_RETRY_SUSPICIONS
}

/**
 * Refuses a request that counts as the cause of crashes.
 *
 * @param context - context of the current event
 * @param request - request that is about to take its next step
 * @returns the refusal, or the abort of a response that has started; undefined when the request may proceed
 */
export function refuseCrashCause (context: RouterContext, request: RequestState): NextStep {
  const { nowMs, state } = context
  if (state.decisions.crashes !== 'refused') return undefined
  const { isCause, lapsesInMs, processes } = countCrashes(state.crashes, request.fingerprint, nowMs)
  if (!isCause) return undefined
  logDecision(context, request, 'crash_cause', { fingerprint: request.fingerprint, crashes: processes.length, replicas: processes.slice(0, MAX_LOGGED_NAMES).join(' ') })
  if (request.isCommitted) return { type: 'cut', reason: 'crashes_replicas' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'crashes_replicas' }
  return { type: 'refuse', status: 503, reason: 'crashes_replicas', retryAfterMs: lapsesInMs }
}

/**
 * Records that a replica is no longer registered, or that another one has its address. A process
 * that has accepted connections since one was lost may have shut down normally and is ignored.
 *
 * @param context - context of the current event
 * @param process - process that is gone
 */
export function recordProcessGone (context: RouterContext, process: ReplicaProcess): void {
  if (context.state.crashes.lost.get(formatProcessName(process))?.hasAcceptedConnection === false) recordProcessEnded(context, process, 'registration')
}
