/**
 * What follows each kind of reply to a call.
 *
 * @module
 */
import type { Effect } from '../../BendfallCoreEffects.js'
import type { CallReply } from '../../BendfallCoreMessages.js'
import type { EventHandler, Step } from '../../BendfallCoreReducer.js'
import { stay } from '../../BendfallCoreReducer.js'
import type { State } from '../../BendfallCoreState.js'
import type { RefusalReason } from '../../BendfallCoreTypes.js'
import { suspectMember } from '../../members/BendfallCoreMembersHandlers.js'
import type { CallRecord } from './BendfallCoreCallState.js'
import { forgetHolder, goesToHome, learnHolder } from './BendfallCoreCallTargets.js'
import { callsOf, forgetCall, markTried, notRun, putCalls, refuseCall, retryReplica, searchAgain, sendCall } from './BendfallCoreCallTries.js'
import type { CallRefusal } from './BendfallCoreCallTries.js'

/** Replies `moved` that a call follows without a wait. */
export const MAX_MOVES = 4

/** How long an instance that did not answer a call is left out. */
const SUSPECT_MS = 2_000

/** Refusals that another replica may not share. */
const RETRY_ELSEWHERE: ReadonlySet<RefusalReason> = new Set(['capacity', 'config_missing', 'draining', 'upstream_failed', 'upstream_unreachable'])

type ReplyType = CallReply['type']
type ReplyOf<T extends ReplyType> = Extract<CallReply, { type: T }>
type ReplyHandler<T extends ReplyType> = (state: State, record: CallRecord, reply: ReplyOf<T>, atMs: number) => Step

const takeAnswer: ReplyHandler<'answered'> = (state, record, reply) => {
  const { requestId, trafficClass } = record.request
  const { status, contentType, body, replayed } = reply
  const step = forgetCall(state, record)
  const ends: Effect[] = [
    { type: 'emit_answer', requestId, status, contentType, body, replayed },
    { type: 'end_request', trafficClass, end: { requestId, outcome: 'answered', retryAfterMs: 0, detail: '' } }
  ]
  return { state: step.state, effects: [...step.effects, ...ends] }
}

const takeRefusal: ReplyHandler<'refused'> = (state, record, reply, atMs) => {
  const refusal: CallRefusal = {
    outcome: reply.outcome,
    reason: reply.reason,
    retryAfterMs: reply.retryAfterMs,
    detail: `refused by ${record.targetId}`
  }
  if (goesToHome(record.request)) return takeHomeRefusal(state, record, refusal, atMs)
  const marked = reply.outcome === 'unknown' ? { ...record, mayHaveRun: true } : record
  const mayRetry = RETRY_ELSEWHERE.has(reply.reason) && (reply.outcome === 'not_run' || record.request.repeatable)
  return mayRetry ? retryReplica(state, marked, refusal, atMs) : refuseCall(state, marked, refusal)
}

// A home that drains hands the key over; any other refusal is the home's word.
function takeHomeRefusal (state: State, record: CallRecord, refusal: CallRefusal, atMs: number): Step {
  const isLeaving = refusal.outcome === 'not_run' && refusal.reason === 'draining'
  if (!isLeaving) return refuseCall(state, record, refusal)
  return searchElsewhere(state, record, atMs)
}

const takeMoved: ReplyHandler<'moved'> = (state, record, reply, atMs) => {
  const isDeadEnd = reply.holderId === '' || record.moves >= MAX_MOVES
  if (isDeadEnd) return searchElsewhere(state, record, atMs)
  const hint = { holderId: reply.holderId, epoch: reply.epoch }
  const learned = putCalls(state, learnHolder(callsOf(state), record.request, hint))
  return sendCall(learned, { ...record, moves: record.moves + 1 }, reply.holderId, atMs)
}

function searchElsewhere (state: State, record: CallRecord, atMs: number): Step {
  const forgotten = putCalls(state, forgetHolder(callsOf(state), record.request))
  return searchAgain(forgotten, markTried(record), atMs)
}

const takeUnreachable: ReplyHandler<'unreachable'> = (state, record, reply, atMs) => {
  const suspected = suspectMember(state, record.targetId, atMs + SUSPECT_MS)
  const marked = { ...record, mayHaveRun: record.mayHaveRun || reply.reached }
  if (goesToHome(record.request)) return searchElsewhere(suspected, marked, atMs)
  const refusal = notRun('upstream_unreachable', `no answer of ${record.targetId}`)
  const mayRetry = !reply.reached || record.request.repeatable
  return mayRetry ? retryReplica(suspected, marked, refusal, atMs) : refuseCall(suspected, marked, refusal)
}

const REPLY_HANDLERS: { readonly [T in ReplyType]: ReplyHandler<T> } = {
  answered: takeAnswer,
  moved: takeMoved,
  refused: takeRefusal,
  unreachable: takeUnreachable
}

/** Handles the reply to the try of a call that is out; drops any other. */
export const takeReply: EventHandler<'call_replied'> = (state, event) => {
  const record = callsOf(state).pending.get(event.requestId)
  const isCurrent = record?.attempt === event.attempt && record.targetId === event.instanceId
  if (record === undefined || !isCurrent) return stay(state)
  const handler = REPLY_HANDLERS[event.reply.type] as ReplyHandler<ReplyType>
  return handler(state, record, event.reply, event.atMs)
}
