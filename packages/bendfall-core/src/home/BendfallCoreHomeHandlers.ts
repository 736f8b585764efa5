/**
 * Handlers of the home of idempotency keys.
 *
 * @module
 */
import { Map } from 'immutable'
import type { EventHandler, HandlerTable } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import { askCall, endCall } from './BendfallCoreHomeCalls.js'
import { askClaim, keyIdOfClaimTimer, lapseClaim, settleClaim } from './BendfallCoreHomeClaims.js'
import { ENDED_KEYS_TIMER, forgetKeys } from './BendfallCoreHomeKeys.js'

const changeLease: EventHandler<'home_lease_changed'> = (state, event) => {
  if (state.home === undefined) return stay(state)
  const home = {
    ...state.home,
    pool: event.pool,
    slots: Map(event.slots.map((slot) => [slot.slot, slot])),
    holders: Map(event.holders.map((holder) => [holder.slot, holder])),
    validUntilMs: event.validUntilMs,
    wallOffsetMs: event.wallMs - event.atMs
  }
  return stay({ ...state, home })
}

const fireTimer: EventHandler<'timer_fired'> = (state, { timer, atMs }) => {
  const { home } = state
  if (home === undefined || timer.kind !== 'key_expiry') return stay(state)
  if (timer.id === ENDED_KEYS_TIMER) {
    const change = forgetKeys(home, atMs)
    return { state: { ...state, home: change.home }, effects: change.effects }
  }
  const keyId = keyIdOfClaimTimer(timer.id)
  return keyId === undefined ? stay(state) : lapseClaim(state, home, keyId, atMs)
}

/** Handlers of the home of idempotency keys. */
export const homeHandlers: HandlerTable = {
  call_asked: askCall,
  home_lease_changed: changeLease,
  key_claim_asked: askClaim,
  key_settled: settleClaim,
  service_replied: endCall,
  timer_fired: fireTimer
}
