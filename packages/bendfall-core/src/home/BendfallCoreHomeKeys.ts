/**
 * The key table of a home: putting, ending and forgetting keys.
 *
 * @module
 */
import type { SharedEffect } from '../BendfallCoreEffects.js'
import type { HomeKeyId, HomeState, KeyRecord } from './BendfallCoreHomeState.js'
import { keptMs } from './BendfallCoreHomeRules.js'

/** A change of the home with its effects. */
export interface HomeChange {
  readonly home: HomeState
  readonly effects: readonly SharedEffect[]
}

/** Id of the `key_expiry` timer that forgets ended keys. */
export const ENDED_KEYS_TIMER = 'ended'

type EndedKey = Extract<KeyRecord, { type: 'call_ended' | 'claim_ended' }>

/**
 * Puts a key that runs, in place of what was known of it.
 *
 * @param home - the home
 * @param keyId - the key
 * @param record - what is known of it from now on
 * @returns the home
 */
export function putKey (home: HomeState, keyId: HomeKeyId, record: KeyRecord): HomeState {
  return { ...home, keys: home.keys.set(keyId, record) }
}

/**
 * Frees a key: it may run again.
 *
 * @param home - the home
 * @param keyId - the key
 * @returns the home
 */
export function freeKey (home: HomeState, keyId: HomeKeyId): HomeState {
  return { ...home, keys: home.keys.delete(keyId) }
}

/**
 * Records the end of a key and plans when it is forgotten.
 *
 * @param home - the home
 * @param keyId - the key
 * @param record - how it ended
 * @param atMs - monotonic time
 * @returns the home and the timer to set
 */
export function endKey (home: HomeState, keyId: HomeKeyId, record: EndedKey, atMs: number): HomeChange {
  const expiresAtMs = atMs + keptMs(home)
  const ended = {
    ...putKey(home, keyId, record),
    expiries: home.expiries.push({ keyId, expiresAtMs }),
    keptBytes: home.keptBytes + keptBytesOf(record)
  }
  return { home: ended, effects: home.expiries.isEmpty() ? [expiryTimer(expiresAtMs)] : [] }
}

/**
 * Forgets the ended keys whose time has come.
 *
 * @param home - the home
 * @param atMs - monotonic time
 * @returns the home and the timer for the next key
 */
export function forgetKeys (home: HomeState, atMs: number): HomeChange {
  const kept = home.expiries.skipWhile((expiry) => expiry.expiresAtMs <= atMs)
  const forgotten = home.expiries.take(home.expiries.size - kept.size)
  let keptBytes = home.keptBytes
  const keys = home.keys.withMutations((draft) => {
    for (const { keyId } of forgotten) {
      keptBytes -= keptBytesOf(draft.get(keyId))
      draft.delete(keyId)
    }
  })
  const next = kept.first()
  const effects = next === undefined ? [] : [expiryTimer(next.expiresAtMs)]
  return { home: { ...home, keys, keptBytes, expiries: kept }, effects }
}

function expiryTimer (atMs: number): SharedEffect {
  return { type: 'set_timer', timer: { kind: 'key_expiry', id: ENDED_KEYS_TIMER }, atMs }
}

function keptBytesOf (record: KeyRecord | undefined): number {
  if (record?.type === 'claim_ended') return record.body.byteLength
  if (record?.type === 'call_ended' && record.end.type === 'answered') return record.end.body.byteLength
  return 0
}
