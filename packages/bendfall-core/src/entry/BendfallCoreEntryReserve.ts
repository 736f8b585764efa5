/**
 * Decode first: memory is reserved before any prefill starts.
 *
 * @module
 */
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { ReserveAsk, ReserveReply } from '../BendfallCoreMessages.js'
import type { State } from '../BendfallCoreState.js'
import { suspectMember } from '../members/BendfallCoreMembersHandlers.js'
import { isMemberLive } from '../members/BendfallCoreMemberSelectors.js'
import { chooseDecode } from './BendfallCoreEntryDecodeChoice.js'
import type { Choice } from './BendfallCoreEntryDecodeChoice.js'
import { refuseLanguage, wholeSecondsMs } from './BendfallCoreEntryEnd.js'
import type { Refusal } from './BendfallCoreEntryEnd.js'
import { plannedMs } from './BendfallCoreEntryEstimate.js'
import { setRenewal } from './BendfallCoreEntryLeases.js'
import { DEFAULT_RETRY_AFTER_MS, MAX_RESERVE_ASKS, SUSPECT_MS } from './BendfallCoreEntryPolicy.js'
import { sendDecode } from './BendfallCoreEntryDecode.js'
import { startPrefill } from './BendfallCoreEntryPrefill.js'
import { kvBytesPerToken, promptTokens } from './BendfallCoreEntryPrefillChoice.js'
import type { PrefillPlan } from './BendfallCoreEntryPrefillChoice.js'
import { planKvCache, resultLifeMs, withoutResult } from './BendfallCoreEntryResult.js'
import { markScarce } from './BendfallCoreEntryShares.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { andThen, findLanguage, putLanguage, recordOf, step } from './BendfallCoreEntryUpdate.js'

/**
 * Asks the next decode candidate for memory.
 *
 * @param state - state of an entry
 * @param language - the request, in the phase `reserving`
 * @param atMs - monotonic time
 * @param admitted - the plan by which the request was just admitted, if any
 * @returns the step; the request ends when no candidate is left
 */
export function askDecode (state: State, language: LanguageState, atMs: number, admitted?: PrefillPlan): Step {
  if (language.result !== undefined && resultLifeMs(language, atMs) === 0) return askDecode(state, withoutResult(language), atMs)
  const plan = admitted ?? planKvCache(state, language, atMs)
  const choice = chooseStalled(state, language, atMs) ?? chooseDecode(state, language, plan, atMs)
  if (choice.instanceId === undefined && language.result !== undefined) return askDecode(choice.state, makeAnew(language), atMs)
  if (choice.instanceId === undefined) return refuseLanguage(choice.state, language, noDecode(language), atMs)
  const asking: LanguageState = { ...language, phase: 'reserving', askedDecodeIds: [...language.askedDecodeIds, choice.instanceId] }
  const ask = reserveAsk(choice.state, asking, plan, atMs)
  const asked = step(putLanguage(choice.state, asking), { type: 'send_reserve', instanceId: choice.instanceId, ask })
  return andThen(asked, (next) => setRenewal(next, atMs))
}

// Where its transfer stalled, its own memory is about to be free again.
function chooseStalled (state: State, { result, askedDecodeIds }: LanguageState, atMs: number): Choice | undefined {
  const instanceId = result?.stalledAtId
  if (instanceId === undefined || askedDecodeIds.length > 0 || !isMemberLive(state, instanceId, atMs)) return undefined
  return { instanceId, state }
}

function noDecode (language: LanguageState): Refusal {
  const reason = language.askedDecodeIds.length > 0 ? 'capacity' : 'no_upstream'
  return { reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, detail: 'no live decode replica is left to ask' }
}

function reserveAsk (state: State, language: LanguageState, plan: PrefillPlan | undefined, atMs: number): ReserveAsk {
  const { request, result } = language
  return {
    requestId: request.requestId,
    attempt: language.attempt,
    entryId: state.self.instanceId,
    entryIncarnation: state.self.incarnation,
    clientId: request.clientId,
    model: request.model,
    trafficClass: request.trafficClass,
    kvBytes: reservedKvBytes(state, language),
    maxOutputTokens: remainingTokens(language),
    neededInMs: plan?.totalMs ?? 0,
    maxReadyInMs: result === undefined ? plannedMs(language, atMs) : resultLifeMs(language, atMs)
  }
}

function reservedKvBytes (state: State, language: LanguageState): number {
  return (promptTokens(language) + remainingTokens(language)) * kvBytesPerToken(state, language.request)
}

function remainingTokens (language: LanguageState): number {
  return Math.max(0, language.request.maxOutputTokens - language.sentTokens.size)
}

/**
 * Handles the answer to a reservation.
 *
 * @param state - state of an entry
 * @param event - the answer
 * @returns the step
 */
export const answerReserve: EventHandler<'reserve_replied'> = (state, event) => {
  const language = findLanguage(state, event.requestId)
  if (!isAwaited(language, event)) return releaseStray(state, event)
  return replyHandlers[event.reply.type](state, language, event)
}

function isAwaited (language: LanguageState | undefined, event: EventOf<'reserve_replied'>): language is LanguageState {
  if (language === undefined || language.attempt !== event.attempt) return false
  return language.phase === 'reserving' && language.askedDecodeIds.at(-1) === event.instanceId
}

// A grant that nobody waits for any more must not hold memory until its lease lapses.
function releaseStray (state: State, event: EventOf<'reserve_replied'>): Step {
  if (event.reply.type !== 'granted') return stay(state)
  return step(state, { type: 'send_cancel', instanceId: event.instanceId, requestId: event.requestId, attempt: event.attempt })
}

type ReplyHandler = (state: State, language: LanguageState, event: EventOf<'reserve_replied'>) => Step

const replyHandlers: Readonly<Record<ReserveReply['type'], ReplyHandler>> = {
  granted: takeGrant,
  refused: askNextOrRefuse,
  unreachable: askNextAfterSilence
}

function takeGrant (state: State, language: LanguageState, event: EventOf<'reserve_replied'>): Step {
  const { reply, atMs, instanceId } = event
  if (reply.type !== 'granted') return stay(state)
  const reservation = {
    decodeId: instanceId,
    fencingToken: reply.fencingToken,
    kvBytes: reservedKvBytes(state, language),
    grantedAtMs: atMs,
    readyAtMs: atMs + reply.readyInMs
  }
  const granted: LanguageState = { ...language, reservation }
  const recorded = step(
    putLanguage(state, granted),
    recordOf(event.requestId, 'reserve_granted', { decode: instanceId, readyInMs: Math.round(reply.readyInMs), attempt: event.attempt })
  )
  const { result } = granted
  if (result === undefined || resultLifeMs(granted, atMs) === 0) return andThen(recorded, (next) => startPrefill(next, granted, atMs))
  return andThen(recorded, (next) => sendDecode(next, granted, result, atMs))
}

function askNextOrRefuse (state: State, language: LanguageState, event: EventOf<'reserve_replied'>): Step {
  const { reply, atMs } = event
  if (reply.type !== 'refused') return stay(state)
  const scarce = reply.reason === 'capacity' ? markScarce(state, atMs) : state
  if (language.askedDecodeIds.length >= MAX_RESERVE_ASKS) {
    if (language.result !== undefined) return askDecode(scarce, makeAnew(language), atMs)
    const refusal: Refusal = { reason: reply.reason, retryAfterMs: wholeSecondsMs(reply.retryAfterMs), detail: 'the decode replicas asked have no memory in time' }
    return refuseLanguage(scarce, language, refusal, atMs)
  }
  return askDecode(scarce, language, atMs)
}

// No replica can fetch the result in time: all are asked for a new prefill.
function makeAnew (language: LanguageState): LanguageState {
  return { ...withoutResult(language), askedDecodeIds: [] }
}

function askNextAfterSilence (state: State, language: LanguageState, event: EventOf<'reserve_replied'>): Step {
  const suspected = suspectMember(state, event.instanceId, event.atMs + SUSPECT_MS)
  const asked = askDecode(suspected, language, event.atMs)
  const cancel = { type: 'send_cancel', instanceId: event.instanceId, requestId: event.requestId, attempt: event.attempt } as const
  return { state: asked.state, effects: [cancel, ...asked.effects] }
}
