/**
 * The rules by which a home lets a key run. They divide the keys between the
 * holders of a slot by issue time: a holder runs no key issued later than its
 * lease, and its successor runs none issued before its own epoch. A holder that
 * wakes up late and still runs a call therefore never shares it with another.
 *
 * The clocks of the callers do not matter for this; those of two instances may
 * differ by `clockSkewMs`.
 *
 * @module
 */
import type { HomeSlot } from '../BendfallCoreEvents.js'
import type { RefusalReason } from '../BendfallCoreTypes.js'
import type { State } from '../BendfallCoreState.js'
import { isDraining as isSidecarDraining } from '../sidecar/BendfallCoreSidecarServing.js'
import { homeSlot } from './BendfallCoreHomeSlots.js'
import type { HomeKeyId, HomeState } from './BendfallCoreHomeState.js'

/** Asks for what a rule has to know of a key. */
export interface KeyFacts {
  readonly pool: string
  readonly idempotencyKey: string
  readonly keyIssuedAtMs: number
  readonly repeatable: boolean
}

/** Why a key may not run here and now. */
export interface KeyRefusal {
  readonly outcome: 'not_run' | 'unknown'
  readonly reason: RefusalReason
  readonly retryAfterMs: number
}

/** `Retry-After` while the table is full or the process drains. */
const REFUSED_RETRY_AFTER_MS = 1_000

type Rule = (state: State, home: HomeState, slot: HomeSlot, facts: KeyFacts, atMs: number) => KeyRefusal | undefined

const refuseOldKey: Rule = (state, home, slot, facts, atMs) => {
  if (facts.repeatable) return undefined
  const isOld = facts.keyIssuedAtMs === 0
    ? isEpochYoung(home, slot, atMs)
    : isIssuedBeforeEpoch(home, slot, facts) || isPastRetention(home, facts, atMs)
  return isOld ? { outcome: 'unknown', reason: 'key_too_old', retryAfterMs: 0 } : undefined
}

function isEpochYoung (home: HomeState, slot: HomeSlot, atMs: number): boolean {
  return wallAt(home, atMs) < slot.sinceWallMs + keptMs(home)
}

// Once for the clock that let the former holder run keys, once for this one.
function isIssuedBeforeEpoch (home: HomeState, slot: HomeSlot, facts: KeyFacts): boolean {
  return facts.keyIssuedAtMs <= slot.sinceWallMs + 2 * home.limits.clockSkewMs
}

function isPastRetention (home: HomeState, facts: KeyFacts, atMs: number): boolean {
  return facts.keyIssuedAtMs < wallAt(home, atMs) - home.limits.keyRetentionMs
}

const refuseDraining: Rule = (state) => {
  return isHomeDraining(state) ? { outcome: 'not_run', reason: 'draining', retryAfterMs: REFUSED_RETRY_AFTER_MS } : undefined
}

const refuseFullTable: Rule = (state, home) => {
  const isFull = home.keys.size >= home.limits.maxKeys || home.keptBytes >= home.limits.maxKeptBytes
  return isFull ? { outcome: 'not_run', reason: 'capacity', retryAfterMs: REFUSED_RETRY_AFTER_MS } : undefined
}

const refuseFutureKey: Rule = (state, home, slot, facts, atMs) => {
  const aheadMs = facts.keyIssuedAtMs - wallAt(home, atMs) - home.limits.clockSkewMs
  if (facts.repeatable || aheadMs <= 0) return undefined
  return { outcome: 'not_run', reason: 'bad_request', retryAfterMs: Math.ceil(aheadMs) }
}

const RULES: readonly Rule[] = [refuseOldKey, refuseDraining, refuseFullTable, refuseFutureKey]

/**
 * Finds out whether a key that the home has not seen may run.
 *
 * @param state - state of the process
 * @param home - the home
 * @param slot - the slot held
 * @param facts - what the ask tells of the key
 * @param atMs - monotonic time
 * @returns the refusal, or nothing when it may run
 */
export function refuseNewKey (state: State, home: HomeState, slot: HomeSlot, facts: KeyFacts, atMs: number): KeyRefusal | undefined {
  for (const rule of RULES) {
    const refusal = rule(state, home, slot, facts, atMs)
    if (refusal !== undefined) return refusal
  }
  return undefined
}

/**
 * Finds the slot of a key, if this process holds it now.
 *
 * @param home - the home
 * @param pool - pool of the call
 * @param key - idempotency key
 * @param atMs - monotonic time
 * @returns the slot; nothing when it is not held or the lease lapsed
 */
export function heldSlot (home: HomeState, pool: string, key: string, atMs: number): HomeSlot | undefined {
  if (home.pool !== pool || atMs >= home.validUntilMs) return undefined
  return home.slots.get(homeSlot(pool, key))
}

/**
 * Tells how long an ended key is kept. A repeat may reach the home long after
 * it reached its entry, which goes on asking. And a key that was forgotten is
 * always too old, whatever the clocks say.
 *
 * @param home - the home
 * @returns the time in milliseconds
 */
export function keptMs (home: HomeState): number {
  const { keyRetentionMs, longestCallMs, clockSkewMs } = home.limits
  return keyRetentionMs + longestCallMs + 2 * clockSkewMs
}

/**
 * Names a key within the table.
 *
 * @param pool - pool of the call
 * @param key - idempotency key
 * @returns the name
 */
export function homeKeyId (pool: string, key: string): HomeKeyId {
  return `${pool}/${key}`
}

/**
 * Tells whether this process takes no new keys, and gives its slots away.
 *
 * @param state - state of the process
 * @returns true while its sidecar drains
 */
export function isHomeDraining (state: State): boolean {
  const { sidecar } = state
  return sidecar === undefined ? state.stopping : isSidecarDraining({ ...state, sidecar })
}

function wallAt (home: HomeState, atMs: number): number {
  return atMs + home.wallOffsetMs
}
