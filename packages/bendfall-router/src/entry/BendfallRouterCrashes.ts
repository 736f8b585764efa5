/**
 * Finds requests that crash the replicas which run them, and refuses them before another
 * replica is lost with all that runs there. What this entry sees it tells the others.
 *
 * @module
 */
import { countCrashes, countSuspicions } from '../crashes/BendfallRouterCrashCount.js'
import { forgetCrashes, nameProcess, noteAnswering, noteEnded, noteLost, noteServed, readReplicaId } from '../crashes/BendfallRouterCrashRecords.js'
import { makeReport, takeReport } from '../crashes/BendfallRouterCrashReport.js'
import type { ReplicaProcess } from '../crashes/BendfallRouterCrashRecords.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** A run that has answered for this long did not end its replica by beginning. */
const ANSWERED_MS = 1_000

/** Suspicions at which a request is not sent again by the entry itself: its caller decides. */
const UNTRIED_SUSPICIONS = 2

/** Crashes from which the others are told that a request was served after them. */
const LEAST_TOLD_CLEARED = 2

/** Fingerprints named in one line. */
const MOST_LOGGED = 8

/**
 * Notes that the connection of a request's last send was lost.
 *
 * @param context - of the event
 * @param request - the request
 */
export function noteConnectionLost (context: RouterContext, request: RequestState): void {
  const { effects, nowMs, state } = context
  const { sentTo } = request
  if (sentTo === undefined) return
  const suspect = isSuspect(context, request) ? { fingerprint: request.fingerprint, sentAtMs: request.runSentAtMs ?? nowMs } : undefined
  const isFirst = noteLost(state.crashes, sentTo, suspect, nowMs)
  const replica = state.replicas.get(sentTo.replicaId)?.replica
  if (replica === undefined || replica.startedAtMs !== sentTo.startedAtMs) return noteProcessEnded(context, sentTo, 'registration')
  if (isFirst) effects.push({ type: 'check_replica', replicaId: sentTo.replicaId, startedAtMs: sentTo.startedAtMs, address: replica.address })
}

function isSuspect ({ nowMs }: RouterContext, { answersSinceMs }: RequestState): boolean {
  return answersSinceMs === undefined || nowMs - answersSinceMs < ANSWERED_MS
}

/**
 * Takes the answer to a check. A replica that does not answer a new connection, after one
 * was lost, counts as ended: the loss of a network shows in connections that stay open.
 *
 * @param context - of the event
 * @param event - the answer
 */
export function takeReplicaCheck (context: RouterContext, { outcome, replicaId, startedAtMs }: RouterEventOf<'replica_checked'>): void {
  const process = { replicaId, startedAtMs }
  if (outcome !== 'alive') return noteProcessEnded(context, process, outcome === 'ended' ? 'connection_refused' : 'no_connection')
  noteAnswering(context.state.crashes, process)
  context.effects.push({ type: 'log', decision: 'connections_lost', requestId: '', inputs: { replica: replicaId } })
}

/**
 * Notes that a process of a replica has ended.
 *
 * @param context - of the event
 * @param process - of the replica
 * @param sign - what told it
 */
export function noteProcessEnded (context: RouterContext, process: ReplicaProcess, sign: 'connection_refused' | 'no_connection' | 'registration'): void {
  const { effects, nowMs, state } = context
  const suspects = noteEnded(state.crashes, process, nowMs)
  if (suspects === undefined) return
  effects.push({ type: 'log', decision: 'replica_crashed', requestId: '', inputs: { replica: process.replicaId, startedAtMs: process.startedAtMs, sign, suspects: suspects.length, fingerprints: suspects.slice(0, MOST_LOGGED).join(' ') } })
  if (suspects.length > 0) publish(context)
}

/**
 * Notes that a request was answered by a replica that lives.
 *
 * @param context - of the event
 * @param request - the request
 */
export function noteRequestServed (context: RouterContext, request: RequestState): void {
  const cleared = noteServed(context.state.crashes, request.fingerprint, context.nowMs)
  if (cleared < LEAST_TOLD_CLEARED) return
  logDecision(context, request, 'suspect_cleared', { fingerprint: request.fingerprint, crashes: cleared })
  publish(context)
}

/**
 * Takes what an entry has seen.
 *
 * @param context - of the event
 * @param event - the report
 */
export function takeCrashReport ({ nowMs, state }: RouterContext, { report, reporter }: RouterEventOf<'crash_report_learned'>): void {
  takeReport(state.crashes, report, reporter === state.instanceId, nowMs, (process) => isListed(state, process))
}

function isListed (state: RouterState, process: string): boolean {
  const replica = state.replicas.get(readReplicaId(process))?.replica
  return replica !== undefined && nameProcess(replica) === process
}

/**
 * Forgets all crashes, as an operator asks for.
 *
 * @param context - of the event
 */
export function clearCrashes (context: RouterContext): void {
  const { effects, state: { crashes } } = context
  if (crashes.suspects.size + crashes.cleared.size === 0) return
  effects.push({ type: 'log', decision: 'suspects_forgotten', requestId: '', inputs: { suspects: crashes.suspects.size } })
  forgetCrashes(crashes)
  publish(context)
}

/**
 * Tells the others again what this entry has seen, if it has seen any.
 *
 * @param context - of the event
 */
export function tellCrashes (context: RouterContext): void {
  const { cleared, suspects } = context.state.crashes
  if (suspects.size + cleared.size > 0) publish(context)
}

function publish ({ effects, nowMs, state }: RouterContext): void {
  effects.push({ type: 'publish_crashes', report: makeReport(state.crashes, nowMs) })
}

/**
 * Tells whether the entry itself should not send a request again after a failure.
 *
 * @param context - of the event
 * @param request - the request
 * @returns true when replicas have ended under it, or may have
 */
export function isLikelyCause ({ nowMs, state }: RouterContext, { fingerprint }: RequestState): boolean {
  return state.decisions.crashes === 'refused' && countSuspicions(state.crashes, fingerprint, nowMs) >= UNTRIED_SUSPICIONS
}

/**
 * Refuses a request that crashes replicas.
 *
 * @param context - of the event
 * @param request - the request
 * @returns its end; undefined when it may go on
 */
export function refuseCause (context: RouterContext, request: RequestState): NextStep {
  const { nowMs, state } = context
  if (state.decisions.crashes !== 'refused') return undefined
  const { isCause, lapsesInMs, processes } = countCrashes(state.crashes, request.fingerprint, nowMs)
  if (!isCause) return undefined
  logDecision(context, request, 'crash_cause', { fingerprint: request.fingerprint, crashes: processes.length, replicas: processes.slice(0, MOST_LOGGED).join(' ') })
  if (request.isCommitted) return { type: 'cut', reason: 'crashes_replicas' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'crashes_replicas' }
  return { type: 'refuse', status: 503, reason: 'crashes_replicas', retryAfterMs: lapsesInMs }
}

/**
 * Notes that a replica is registered no longer, or that another one has its address. One
 * that took connections since may have left in order.
 *
 * @param context - of the event
 * @param process - that is gone
 */
export function noteProcessGone (context: RouterContext, process: ReplicaProcess): void {
  if (context.state.crashes.lost.get(nameProcess(process))?.isAnswering === false) noteProcessEnded(context, process, 'registration')
}
