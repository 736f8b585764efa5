/**
 * Detects requests that crash the replicas which run them, by the traits that they have in common, and
 * refuses them before another replica is lost with everything that runs there. What this entry observes
 * it publishes to the others.
 *
 * @module
 */
import { findCause } from '../crashes/BendfallRouterCrashCauses.js'
import { countSuspicions } from '../crashes/BendfallRouterCrashCount.js'
import { clearCrashRecords, formatProcessName, recordAcceptedConnection, recordCrash, addLostProcess, recordServed, parseReplicaId, takeProvenTraits } from '../crashes/BendfallRouterCrashRecords.js'
import type { ReplicaProcess } from '../crashes/BendfallRouterCrashRecords.js'
import { createCrashReport, listDisputable, mergeCrashReport } from '../crashes/BendfallRouterCrashReport.js'
import { traitsOf } from '../crashes/BendfallRouterCrashTraits.js'
import type { Replica } from '../BendfallRouterTypes.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { draw, logDecision } from './BendfallRouterContext.js'
import type { RouterEventOf } from './BendfallRouterEvents.js'
import type { Phase, RequestState } from './BendfallRouterRequest.js'
import type { RouterState } from './BendfallRouterState.js'

/** A run that has been sending its response for this long did not crash its replica by starting. */
const MIN_HEALTHY_RUN_MS = 1_000

/** Suspected crashes at which the entry no longer retries a request itself and leaves that to the caller. */
const NO_RETRY_SUSPICIONS = 2

/** Minimum number of crashes that a trait must be cleared of for this to be published to the other entries. */
const MIN_PUBLISHED_CLEARED = 2

/** Maximum delay of a report that suspected traits were served. With one more tick and the write it arrives within a second. */
const MAX_DISPUTE_DELAY_MS = 500

/**
 * Few entries draw a short delay, so that others hear of their report and need not write: in a trial 8 of 84 and 16 of 840 entries
 * write where a report arrives within 110 ms, and 87 of 840 within 200 ms.
 */
const DISPUTE_DELAY_EXPONENT = 1 / 8

/** Lowest status that is no proof of a complete run: with a prompt, any other than success; without, a failure of the replica. */
const MIN_UNPROVEN_PROMPT_STATUS = 300
const MIN_FAILED_STATUS = 500

/** Whether a request in this phase is at a replica, or has ended; all others wait. */
const IS_AT_REPLICA: Readonly<Record<Phase, boolean>> = {
  origin: false,
  allotment: false,
  permit: false,
  place: false,
  plain: true,
  loads: false,
  queue: false,
  reserve: false,
  hold: false,
  prefill: true,
  confirm: false,
  run: true,
  ended: true
}

/** Maximum number of traits or processes in one log line. */
const MAX_LOGGED_NAMES = 8

/**
 * Records that the connection of a request's last send was lost.
 *
 * @param context - context of the current event
 * @param request - request whose connection was lost
 */
export function recordConnectionLost (context: RouterContext, request: RequestState): void {
  recordConnectionEnd(context, request, isSuspect(context, request), false)
}

function recordConnectionEnd (context: RouterContext, request: RequestState, isSuspected: boolean, isAnswered: boolean): void {
  const { effects, nowMs, state } = context
  const { sentTo } = request
  if (sentTo === undefined) return
  const replica = findRegistration(state, sentTo)
  // A replica that leaves after it has answered has not crashed.
  if (isAnswered && (replica === undefined || replica.isDraining)) return
  const suspect = isSuspected ? { traits: traitsOf(request), sentAtMs: request.runSentAtMs ?? nowMs, isAnswered } : undefined
  const needsCheck = addLostProcess(state.crashes, sentTo, suspect, nowMs)
  if (replica === undefined) return recordProcessEnded(context, sentTo, 'registration')
  if (needsCheck) effects.push({ type: 'check_replica', replicaId: sentTo.replicaId, startedAtMs: sentTo.startedAtMs, address: replica.address })
}

function findRegistration ({ replicas }: RouterState, { replicaId, startedAtMs }: ReplicaProcess): Replica | undefined {
  const replica = replicas.get(replicaId)?.replica
  return replica?.startedAtMs === startedAtMs ? replica : undefined
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
  recordAcceptedConnection(context.state.crashes, process, context.nowMs)
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
  effects.push({ type: 'log', decision: 'replica_crashed', requestId: '', inputs: { replica: process.replicaId, startedAtMs: process.startedAtMs, sign, suspects: suspects.length, traits: suspects.slice(0, MAX_LOGGED_NAMES).join(' ') } })
  if (suspects.length > 0) publishCrashes(context)
}

/**
 * Records the complete response to a request, which clears its traits of earlier crashes. Where only the end of
 * the connection told that the response is complete, a check of the replica must show first that it has not crashed.
 *
 * @param context - context of the current event
 * @param request - request that was answered
 * @param answer - the response
 */
export function recordAnswer (context: RouterContext, request: RequestState, answer: RouterEventOf<'answer_complete'>): void {
  if (!isProof(request, answer)) return
  if (answer.isCloseDelimited === true) return recordConnectionEnd(context, request, true, true)
  recordTraitsServed(context, traitsOf(request))
}

// A resumed stream may end without an event, so that nothing was computed.
function isProof ({ prompt, route }: RequestState, { outputEvents, status }: RouterEventOf<'answer_complete'>): boolean {
  if (prompt === undefined) return status < MIN_FAILED_STATUS
  return status < MIN_UNPROVEN_PROMPT_STATUS && (route.kind !== 'streaming' || outputEvents > 0)
}

function recordTraitsServed (context: RouterContext, traits: readonly string[]): void {
  const cleared = recordServed(context.state.crashes, traits, context.nowMs)
  const published = [...cleared].filter(([, crashes]) => crashes >= MIN_PUBLISHED_CLEARED)
  if (published.length === 0) return
  for (const [trait, crashes] of published) context.effects.push({ type: 'log', decision: 'suspect_cleared', requestId: '', inputs: { trait, crashes } })
  publishCrashes(context)
}

/**
 * Counts the requests as served whose replicas have survived their close-delimited responses for long enough.
 *
 * @param context - context of the current event
 */
export function recordProvenAnswers (context: RouterContext): void {
  const proven = takeProvenTraits(context.state.crashes, context.nowMs)
  if (proven.length > 0) recordTraitsServed(context, proven)
}

/**
 * Merges the crash report of an entry.
 *
 * @param context - context of the current event
 * @param event - the report and the entry that published it
 */
export function handleCrashReport ({ nowMs, state }: RouterContext, { report, reporter }: RouterEventOf<'crash_report_learned'>): void {
  const { crashes } = state
  mergeCrashReport(crashes, report, reporter === state.instanceId, nowMs, (process) => isListed(state, process))
  if (state.decisions.suspectReports !== 'answered') return
  const unserved = new Set(report.suspects.filter(({ isServed }) => isServed !== true).map(({ fingerprint }) => fingerprint))
  for (const trait of listDisputable(crashes)) {
    if (!unserved.has(trait) || crashes.disputed.has(trait) || crashes.servedElsewhere.has(trait)) continue
    crashes.disputed.set(trait, nowMs + MAX_DISPUTE_DELAY_MS * draw(state) ** DISPUTE_DELAY_EXPONENT)
  }
}

/**
 * Reports the traits that other entries suspect and this one has served, unless another entry has reported them
 * meanwhile. An entry that has never served them would otherwise refuse all requests with them until the crashes lapse,
 * and sending one to find out may end another replica.
 *
 * @param context - context of the current event
 */
export function disputeSuspects (context: RouterContext): void {
  const { effects, nowMs, state: { crashes } } = context
  const due = [...crashes.disputed].filter(([, atMs]) => atMs <= nowMs).map(([trait]) => trait)
  if (due.length === 0) return
  for (const trait of due) crashes.disputed.delete(trait)
  effects.push({ type: 'log', decision: 'suspects_disputed', requestId: '', inputs: { traits: due.slice(0, MAX_LOGGED_NAMES).join(' '), count: due.length } })
  publishCrashes(context)
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
export function isSuspectedCause ({ nowMs, state }: RouterContext, request: RequestState): boolean {
  return state.decisions.crashes === 'refused' && countSuspicions(state.crashes, traitsOf(request), nowMs) >= NO_RETRY_SUSPICIONS
}

/**
 * Refuses a request that has the cause of crashes among its traits.
 *
 * @param context - context of the current event
 * @param request - request that is about to take its next step
 * @returns the refusal, or the abort of a response that has started; undefined when the request may proceed
 */
export function refuseCrashCause (context: RouterContext, request: RequestState): NextStep {
  const { nowMs, state } = context
  if (state.decisions.crashes !== 'refused') return undefined
  const cause = findCause(state.crashes, traitsOf(request), nowMs)
  if (cause === undefined) return undefined
  const { lapsesInMs, processes, traits } = cause
  logDecision(context, request, 'crash_cause', { traits: traits.slice(0, MAX_LOGGED_NAMES).join(' '), crashes: processes.length, replicas: processes.slice(0, MAX_LOGGED_NAMES).join(' ') })
  if (request.isCommitted) return { type: 'cut', reason: 'crashes_replicas' }
  if (request.runs > 0) return { type: 'refuse', status: 502, reason: 'crashes_replicas' }
  return { type: 'refuse', status: 503, reason: 'crashes_replicas', retryAfterMs: lapsesInMs }
}

/**
 * Finds the requests that wait for something other than a replica's response and are now known to cause crashes.
 *
 * @param context - context of the current event, which brought new crashes
 * @returns the requests, each with its refusal
 */
export function refuseWaitingCauses (context: RouterContext): Array<{ readonly request: RequestState, readonly next: NextStep }> {
  const waiting = [...context.state.requests.values()].filter(({ phase }) => !IS_AT_REPLICA[phase])
  return waiting.flatMap((request) => {
    const next = refuseCrashCause(context, request)
    return next === undefined ? [] : [{ request, next }]
  })
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
