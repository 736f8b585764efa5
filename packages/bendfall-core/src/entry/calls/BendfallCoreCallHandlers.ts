/**
 * Handlers of the calls of plain services at an entry.
 *
 * @module
 */
import type { Effect } from '../../BendfallCoreEffects.js'
import type { ServiceRequest } from '../../BendfallCoreEvents.js'
import type { EventHandler, HandlerTable, Step } from '../../BendfallCoreReducer.js'
import { stay } from '../../BendfallCoreReducer.js'
import type { State } from '../../BendfallCoreState.js'
import { LONGEST_CALL_MS } from '../../home/BendfallCoreHomeState.js'
import { measureEnds } from './BendfallCoreCallMetrics.js'
import { takeReply } from './BendfallCoreCallReplies.js'
import { MAX_RETRY_TOKENS } from './BendfallCoreCallState.js'
import type { CallRecord, CallsState } from './BendfallCoreCallState.js'
import { CALL_RETRY_AFTER_MS, callsOf, deadlineTimer, notRun, putCalls, refuseCall, requestOfTimer, tryCall } from './BendfallCoreCallTries.js'
import type { CallRefusal } from './BendfallCoreCallTries.js'

/** Part of a retry that each new call earns. */
const RETRY_EARNED_PER_CALL = 0.1

const startCall: EventHandler<'service_request_arrived'> = (state, { request, atMs }) => {
  if (state.entry === undefined) return stay(state)
  const record = createRecord(request, atMs)
  const refusal = refuseArrival(state, request)
  if (refusal !== undefined) return refuseCall(state, record, refusal)
  const step = tryCall(putCalls(state, earnRetry(callsOf(state))), record, atMs)
  return withDeadline(step, record)
}

function createRecord (request: ServiceRequest, atMs: number): CallRecord {
  return {
    request,
    arrivedAtMs: atMs,
    deadlineAtMs: atMs + Math.min(request.answerMs, LONGEST_CALL_MS),
    attempt: 0,
    targetId: '',
    triedIds: [],
    moves: 0,
    waits: 0,
    mayHaveRun: false
  }
}

function refuseArrival (state: State, request: ServiceRequest): CallRefusal | undefined {
  if (state.stopping) return notRun('draining', 'the entry stops')
  if (state.config === undefined) return notRun('config_missing', 'no configuration was learned yet')
  if (state.config.pools[request.pool] === undefined) return notRun('route_unknown', `no pool ${request.pool}`)
  return undefined
}

function earnRetry (calls: CallsState): CallsState {
  return { ...calls, retryTokens: Math.min(MAX_RETRY_TOKENS, calls.retryTokens + RETRY_EARNED_PER_CALL) }
}

function withDeadline (step: Step, record: CallRecord): Step {
  const { requestId } = record.request
  if (!callsOf(step.state).pending.has(requestId)) return step
  const effect: Effect = { type: 'set_timer', timer: deadlineTimer(requestId), atMs: record.deadlineAtMs }
  return { state: step.state, effects: [effect, ...step.effects] }
}

type TimerHandler = (state: State, record: CallRecord, atMs: number) => Step

const giveUp: TimerHandler = (state, record) => {
  const isOut = record.targetId !== ''
  const refusal: CallRefusal = {
    outcome: isOut ? 'unknown' : 'not_run',
    reason: 'deadline',
    retryAfterMs: CALL_RETRY_AFTER_MS,
    detail: 'no answer in time'
  }
  return cancelTry(refuseCall(state, record, refusal), record)
}

const TIMER_HANDLERS: Readonly<Record<string, TimerHandler>> = {
  answer_deadline: giveUp,
  retry: tryCall
}

const fireTimer: EventHandler<'timer_fired'> = (state, { timer, atMs }) => {
  const handler = TIMER_HANDLERS[timer.kind]
  const requestId = requestOfTimer(timer)
  if (handler === undefined || requestId === undefined) return stay(state)
  const record = callsOf(state).pending.get(requestId)
  if (record === undefined) return stay(state)
  return handler(state, record, atMs)
}

const leaveCall: EventHandler<'caller_left'> = (state, event) => {
  const record = callsOf(state).pending.get(event.requestId)
  if (record === undefined) return stay(state)
  const step = refuseCall(state, record, {
    outcome: 'cancelled',
    ...(event.reason === 'slow_reader' && { reason: event.reason }),
    retryAfterMs: 0,
    detail: 'the caller left'
  })
  return cancelTry(step, record)
}

// What may not run twice is not cut off halfway either.
function cancelTry (step: Step, record: CallRecord): Step {
  if (record.targetId === '' || !record.request.repeatable) return step
  const { requestId } = record.request
  const effect: Effect = { type: 'send_cancel', instanceId: record.targetId, requestId, attempt: record.attempt }
  return { state: step.state, effects: [...step.effects, effect] }
}

function forgetCandidates (state: State): Step {
  const calls = callsOf(state)
  return stay(calls.candidates.isEmpty() ? state : putCalls(state, { ...calls, candidates: calls.candidates.clear() }))
}

/** Handlers of the calls of plain services; must come after the members. */
export const entryCallHandlers: HandlerTable = {
  call_replied: measureEnds(takeReply),
  caller_left: measureEnds(leaveCall),
  config_learned: forgetCandidates,
  instances_changed: forgetCandidates,
  instances_listed: forgetCandidates,
  service_request_arrived: measureEnds(startCall),
  timer_fired: measureEnds(fireTimer)
}
