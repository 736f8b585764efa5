/**
 * Handlers of the entry role for language requests.
 *
 * @module
 */
import type { TimerKind } from '../BendfallCoreEvents.js'
import type { EventHandler, HandlerTable, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import { arriveLanguage } from './BendfallCoreEntryArrival.js'
import { missDeadline } from './BendfallCoreEntryDeadline.js'
import { endDecode, takeTokens } from './BendfallCoreEntryDecode.js'
import { cancelLanguage } from './BendfallCoreEntryEnd.js'
import { answerClaim } from './BendfallCoreEntryKeyClaim.js'
import { loseLeases, renewLeases, resyncLeases } from './BendfallCoreEntryLeases.js'
import { answerPrefill, clearPending } from './BendfallCoreEntryPrefill.js'
import { answerReserve } from './BendfallCoreEntryReserve.js'
import { pinResult } from './BendfallCoreEntryResult.js'
import { endRetryPause } from './BendfallCoreEntryRetry.js'

type TimerHandler = (state: State, id: string, atMs: number) => Step

const timerHandlers: Readonly<Partial<Record<TimerKind, TimerHandler>>> = {
  first_output_deadline: missDeadline,
  lease_renewal: (state, _id, atMs) => renewLeases(state, atMs),
  retry: endRetryPause
}

const fireTimer: EventHandler<'timer_fired'> = (state, event) => {
  const handler = timerHandlers[event.timer.kind]
  if (handler === undefined || state.entry === undefined) return stay(state)
  return handler(state, event.timer.id, event.atMs)
}

const loseCaller: EventHandler<'caller_left'> = (state, event) => cancelLanguage(state, event.requestId, event.reason, event.atMs)

const seeLoad: EventHandler<'load_seen'> = (state, event) => {
  if (state.entry === undefined) return stay(state)
  return stay(clearPending(state, event.instanceId))
}

/** Handlers of the entry role for language requests. */
export const entryHandlers: HandlerTable = {
  caller_left: loseCaller,
  decode_ended: endDecode,
  key_claim_replied: answerClaim,
  language_request_arrived: arriveLanguage,
  leases_refused: loseLeases,
  load_seen: seeLoad,
  prefill_replied: answerPrefill,
  reserve_replied: answerReserve,
  sidecar_disconnected: resyncLeases,
  timer_fired: fireTimer,
  tokens_arrived: takeTokens,
  transfer_progressed: pinResult
}
