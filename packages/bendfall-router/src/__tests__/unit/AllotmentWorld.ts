import { createAllotmentLeaderState, createBucket, takeFromAllotment, takeUnits } from '../../index.js'
import type { Allotment, AllotmentBounds, AllotmentLeaderState, AllotmentRole, BucketLimit, Customer, TokenBucket } from '../../index.js'
import { VirtualTime } from './VirtualTime.js'

/** Ways to bound what a customer uses at all entries together. */
export const ALLOTMENT_WAYS = ['keeper', 'blocks', 'equal_shares'] as const
export type AllotmentWay = (typeof ALLOTMENT_WAYS)[number]

/** Where the customer's requests arrive. */
export type Spread = 'all_entries' | 'one_entry' | 'moving'

/** A customer before entries. */
export interface AllotmentPlay {
  readonly seed: number
  readonly way: AllotmentWay
  readonly entries: number
  readonly spread: Spread
  /** Times its limit. */
  readonly demand: number
  readonly seconds: number
  /** Kills the keeper each so often; the next one holds the duty after its lease. */
  readonly keeperLostEachMs?: number
}

/** What came of it. */
export interface AllotmentOutcome {
  /** Tokens beyond the bound, in the worst window. */
  readonly overTokens: number
  /** Tokens that ran, of those that one full bucket would have granted. */
  readonly dueShare: number
  readonly storeCallsPerS: number
  /** Calls between entries. */
  readonly peerCallsPerS: number
}

const LIMIT: Allotment = { unit: 'tokens', unitsPerS: 36_000, burstUnits: 36_000, undeclaredUnits: 200 }
const BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0.1, slackUnits: 140_000 }
const BOUND_TOKENS = (LIMIT.unitsPerS * BOUNDS.windowMs / 1_000 + LIMIT.burstUnits) * (1 + BOUNDS.overShare) + BOUNDS.slackUnits
const CUSTOMER: Customer = { name: 'acme', keyDigests: [], allotment: LIMIT }

/** One of five requests is a stream with most of the tokens. */
const STREAM_TOKENS = 5_273
const CALL_TOKENS = 200
const STREAM_SHARE = 0.26
const MEAN_TOKENS = STREAM_SHARE * STREAM_TOKENS + (1 - STREAM_SHARE) * CALL_TOKENS

const LEASE_MS = 5_000
const MOVES_EACH_MS = 3_000

/** A block lasts this long at the entry that took it; what is left then is lost. */
const BLOCK_TTL_MS = 1_000
const BLOCK_TOKENS = 6_000

interface Way {
  readonly take: (entry: number, tokens: number, nowMs: number) => boolean
  readonly calls: { store: number, peer: number }
}

const WAYS: Readonly<Record<AllotmentWay, (play: AllotmentPlay) => Way>> = { keeper: playKeeper, blocks: playBlocks, equal_shares: playEqualShares }

/** Plays it. */
export function playAllotment (play: AllotmentPlay): AllotmentOutcome {
  const time = new VirtualTime(play.seed)
  const way = WAYS[play.way](play)
  const reference: TokenBucket = { ...createBucket(LIMIT, 0), units: LIMIT.burstUnits, unknownUnits: 0 }
  const runs: Array<{ readonly atMs: number, readonly tokens: number }> = []
  const perSecond = play.demand * LIMIT.unitsPerS / MEAN_TOKENS
  let dueTokens = 0
  for (let atMs = 0; atMs < play.seconds * 1_000; atMs += -Math.log(1 - time.draw()) * 1_000 / perSecond) {
    const tokens = time.draw() < STREAM_SHARE ? STREAM_TOKENS : CALL_TOKENS
    if (takeUnits(reference, LIMIT, tokens, atMs).type === 'granted') dueTokens += tokens
    if (way.take(entryOf(play, time.draw(), atMs), tokens, atMs)) runs.push({ atMs, tokens })
  }
  return {
    overTokens: Math.max(0, Math.round(worstWindow(runs) - BOUND_TOKENS)),
    dueShare: Math.min(1, runs.reduce((sum, { tokens }) => sum + tokens, 0) / dueTokens),
    storeCallsPerS: way.calls.store / play.seconds,
    peerCallsPerS: way.calls.peer / play.seconds
  }
}

function entryOf ({ entries, spread }: AllotmentPlay, draw: number, atMs: number): number {
  if (spread === 'all_entries') return Math.floor(draw * entries)
  return spread === 'one_entry' ? 0 : Math.floor(atMs / MOVES_EACH_MS) % entries
}

function worstWindow (runs: ReadonlyArray<{ readonly atMs: number, readonly tokens: number }>): number {
  let first = 0
  let inWindow = 0
  let worst = 0
  for (const { atMs, tokens } of runs) {
    inWindow += tokens
    for (let run = runs[first]; run !== undefined && run.atMs <= atMs - BOUNDS.windowMs; run = runs[first]) {
      inWindow -= run.tokens
      first += 1
    }
    worst = Math.max(worst, inWindow)
  }
  return worst
}

// One entry is asked by all. When it is lost its duty is free after the lease, and the reserve grants.
function playKeeper ({ entries, keeperLostEachMs = Infinity }: AllotmentPlay): Way {
  const calls = { store: 0, peer: 0 }
  let primary = createAllotmentLeaderState('primary', BOUNDS, -LEASE_MS)
  const reserve = createAllotmentLeaderState('reserve', BOUNDS, -LEASE_MS)
  let heldUntilMs = keeperLostEachMs
  const ask = (keeper: AllotmentLeaderState, _role: AllotmentRole, tokens: number, nowMs: number): string => {
    calls.peer += entries === 1 ? 0 : 1
    return takeFromAllotment(keeper, CUSTOMER, tokens, nowMs).type
  }
  return {
    calls,
    take: (_, tokens, nowMs) => {
      if (nowMs >= heldUntilMs + LEASE_MS) {
        primary = createAllotmentLeaderState('primary', BOUNDS, heldUntilMs + LEASE_MS)
        heldUntilMs += LEASE_MS + keeperLostEachMs
        calls.store += 2
      }
      const answer = nowMs < heldUntilMs ? ask(primary, 'primary', tokens, nowMs) : 'unreachable'
      if (answer === 'granted' || answer === 'refused') return answer === 'granted'
      return ask(reserve, 'reserve', tokens, nowMs) === 'granted'
    }
  }
}

// Each entry takes blocks from a bucket in the store, under a condition, when it lacks tokens.
function playBlocks ({ entries }: AllotmentPlay): Way {
  const calls = { store: 0, peer: 0 }
  const shared: TokenBucket = { ...createBucket(LIMIT, 0), units: LIMIT.burstUnits, unknownUnits: 0 }
  const blocks = Array.from({ length: entries }, () => ({ tokens: 0, untilMs: 0 }))
  return {
    calls,
    take: (entry, tokens, nowMs) => {
      const block = blocks[entry] as (typeof blocks)[number]
      if (nowMs >= block.untilMs) block.tokens = 0
      if (block.tokens < tokens) {
        calls.store += 1
        if (takeUnits(shared, LIMIT, BLOCK_TOKENS, nowMs).type === 'granted') {
          block.tokens += BLOCK_TOKENS
          block.untilMs = nowMs + BLOCK_TTL_MS
        }
      }
      if (block.tokens < tokens) return false
      block.tokens -= tokens
      return true
    }
  }
}

// Each entry has the same part of the rate and of the burst.
function playEqualShares ({ entries }: AllotmentPlay): Way {
  const limit: BucketLimit = { unitsPerS: LIMIT.unitsPerS / entries, burstUnits: LIMIT.burstUnits / entries }
  const buckets = Array.from({ length: entries }, (): TokenBucket => ({ ...createBucket(limit, 0), units: limit.burstUnits, unknownUnits: 0 }))
  return { calls: { store: 0, peer: 0 }, take: (entry, tokens, nowMs) => takeUnits(buckets[entry] as TokenBucket, limit, tokens, nowMs).type === 'granted' }
}
