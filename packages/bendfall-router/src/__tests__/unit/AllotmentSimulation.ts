import { createAllotmentLeaderState, createBucket, createInterimTerm, fenceSettleMs, INTERIM_SHARE, INTERIM_SHARES, INTERIM_TERM_MS, interimLeaseMs, nextInterimPart, overuseUnitsOf, RESERVE_SHARE, takeFromAllotment, takeFromInterim, takeUnits } from '../../index.js'
import type { Allotment, AllotmentBounds, AllotmentLeaderState, AllotmentRole, BucketLimit, Customer, InterimTerm, TokenBucket } from '../../index.js'
import { VirtualTime } from './VirtualTime.js'

/** Strategies that limit a customer's total usage over all entries. */
export const ALLOTMENT_STRATEGIES = ['keeper', 'blocks', 'equal_shares'] as const
export type AllotmentStrategy = (typeof ALLOTMENT_STRATEGIES)[number]

/** How the customer's requests are distributed over the entries. */
export type Distribution = 'all_entries' | 'one_entry' | 'moving'

/** Load of one customer, and the entries that receive it. */
export interface AllotmentScenario {
  readonly seed: number
  readonly strategy: AllotmentStrategy
  readonly entries: number
  readonly distribution: Distribution
  /** Demand as a multiple of the customer's limit. */
  readonly demand: number
  readonly seconds: number
  /** Interval at which the leader is killed; the next leader takes over once its lease has expired. */
  readonly leaderLossIntervalMs?: number
}

/** Measured results of a simulation. */
export interface AllotmentOutcome {
  /** Tokens admitted above the bound, in the worst window. */
  readonly overTokens: number
  /** Admitted tokens as a share of those that a single bucket, full at the start, would have granted. */
  readonly admittedShare: number
  readonly storeCallsPerS: number
  /** Calls between entries. */
  readonly peerCallsPerS: number
}

const LIMIT: Allotment = { unit: 'tokens', unitsPerS: 36_000, burstUnits: 36_000, undeclaredUnits: 200 }
const BOUNDS: AllotmentBounds = { windowMs: 8_000, overShare: 0.1, slackUnits: 140_000 }
const BOUND_TOKENS = LIMIT.unitsPerS * BOUNDS.windowMs / 1_000 * (1 + BOUNDS.overShare) + LIMIT.burstUnits + BOUNDS.slackUnits
const CUSTOMER: Customer = { name: 'acme', keyDigests: [], allotment: LIMIT }

/** About one in four requests is a stream; streams use most of the tokens. */
const STREAM_TOKENS = 5_273
const CALL_TOKENS = 200
const STREAM_SHARE = 0.26
const MEAN_TOKENS = STREAM_SHARE * STREAM_TOKENS + (1 - STREAM_SHARE) * CALL_TOKENS

const LEASE_MS = 5_000
const ENTRY_CHANGE_INTERVAL_MS = 3_000

/** Lifetime of a block at the entry that took it; its remaining tokens are then lost. */
const BLOCK_TTL_MS = 1_000
const BLOCK_TOKENS = 6_000

interface Strategy {
  readonly take: (entry: number, tokens: number, nowMs: number) => boolean
  readonly calls: { store: number, peer: number }
}

const STRATEGY_FACTORIES: Readonly<Record<AllotmentStrategy, (scenario: AllotmentScenario) => Strategy>> = { keeper: createLeaderStrategy, blocks: createBlockStrategy, equal_shares: createEqualShareStrategy }

/** Runs a scenario in virtual time. */
export function simulateAllotment (scenario: AllotmentScenario): AllotmentOutcome {
  const time = new VirtualTime(scenario.seed)
  const strategy = STRATEGY_FACTORIES[scenario.strategy](scenario)
  const reference: TokenBucket = { ...createBucket(LIMIT, 0), units: LIMIT.burstUnits, unknownUnits: 0 }
  const runs: Array<{ readonly atMs: number, readonly tokens: number }> = []
  const perSecond = scenario.demand * LIMIT.unitsPerS / MEAN_TOKENS
  let referenceTokens = 0
  for (let atMs = 0; atMs < scenario.seconds * 1_000; atMs += -Math.log(1 - time.draw()) * 1_000 / perSecond) {
    const tokens = time.draw() < STREAM_SHARE ? STREAM_TOKENS : CALL_TOKENS
    if (takeUnits(reference, LIMIT, tokens, atMs).type === 'granted') referenceTokens += tokens
    if (strategy.take(entryOf(scenario, time.draw(), atMs), tokens, atMs)) runs.push({ atMs, tokens })
  }
  return {
    overTokens: Math.max(0, Math.round(worstWindow(runs) - BOUND_TOKENS)),
    admittedShare: Math.min(1, runs.reduce((sum, { tokens }) => sum + tokens, 0) / referenceTokens),
    storeCallsPerS: strategy.calls.store / scenario.seconds,
    peerCallsPerS: strategy.calls.peer / scenario.seconds
  }
}

function entryOf ({ entries, distribution }: AllotmentScenario, draw: number, atMs: number): number {
  if (distribution === 'all_entries') return Math.floor(draw * entries)
  return distribution === 'one_entry' ? 0 : Math.floor(atMs / ENTRY_CHANGE_INTERVAL_MS) % entries
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

// All entries request tokens from the leader. While a lost leader's lease has not expired, the reserve and the interim role grant tokens.
function createLeaderStrategy ({ entries, leaderLossIntervalMs = Infinity }: AllotmentScenario): Strategy {
  const calls = { store: 0, peer: 0 }
  let primary = createAllotmentLeaderState('primary', BOUNDS, -LEASE_MS)
  const reserve = createAllotmentLeaderState('reserve', BOUNDS, -LEASE_MS)
  const interim = createInterimRole('parts', BOUNDS, -Infinity)
  let leaderLostAtMs = leaderLossIntervalMs
  const requestTokens = (leader: AllotmentLeaderState, _role: AllotmentRole, tokens: number, nowMs: number): string => {
    calls.peer += entries === 1 ? 0 : 1
    return takeFromAllotment(leader, CUSTOMER, tokens, nowMs).type
  }
  return {
    calls,
    take: (_, tokens, nowMs) => {
      if (nowMs >= leaderLostAtMs + LEASE_MS) {
        primary = createAllotmentLeaderState('primary', BOUNDS, leaderLostAtMs + LEASE_MS)
        leaderLostAtMs += LEASE_MS + leaderLossIntervalMs
        calls.store += 2
      }
      const outcome = nowMs < leaderLostAtMs ? requestTokens(primary, 'primary', tokens, nowMs) : 'unreachable'
      if (outcome === 'granted' || outcome === 'refused') return outcome === 'granted'
      return requestTokens(reserve, 'reserve', tokens, nowMs) === 'granted' || interim.take(tokens, nowMs, 0, true)
    }
  }
}

/** A claimed part of the interim units, and the number of the loss in which its holder ends. */
interface ClaimedPart {
  readonly term: InterimTerm
  readonly claimedAtMs: number
  readonly revision: number
  readonly endsInLoss: number
}

interface InterimRole {
  /** Takes tokens; `loss` is the number of losses of all entries so far. */
  readonly take: (tokens: number, nowMs: number, loss: number, isOnlyPrimaryLost: boolean) => boolean
}

// The holder of the latest part claims the next one when it has spent its own and only the primary is gone, which is no loss of all entries.
function createInterimRole (way: RestartWay, bounds: AllotmentBounds, laterPartsFromMs: number): InterimRole {
  const shares = DIVISIONS[way].parts
  const parts: Array<ClaimedPart | undefined> = shares.map(() => undefined)
  let revision = 0
  return {
    take: (tokens, nowMs, loss, isOnlyPrimaryLost) => {
      for (const [index, part] of parts.entries()) if (part !== undefined && nowMs >= part.claimedAtMs + interimLeaseMs(bounds)) parts[index] = undefined
      const held = parts.flatMap((part) => part !== undefined && part.endsInLoss > loss && nowMs <= part.claimedAtMs + INTERIM_TERM_MS ? [part] : [])
      if (held.some(({ term }) => takeFromInterim(term, CUSTOMER, tokens).type === 'granted')) return true
      const isExtended = isOnlyPrimaryLost || way === 'parts_when_spent'
      const next = nextInterimPart(parts.map((part) => part?.revision), held.length === 0 || isExtended ? revision : 0)
      if (next === undefined || (next > 0 && nowMs < laterPartsFromMs)) return false
      revision += 1
      const term = { ...createInterimTerm(bounds), share: shares[next] as number }
      parts[next] = { term, claimedAtMs: nowMs, revision, endsInLoss: loss + 1 }
      return takeFromInterim(term, CUSTOMER, tokens).type === 'granted'
    }
  }
}

// An entry without enough tokens takes a block from a bucket in the store, by a conditional write.
function createBlockStrategy ({ entries }: AllotmentScenario): Strategy {
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

// Each entry gets an equal share of the rate and of the burst.
function createEqualShareStrategy ({ entries }: AllotmentScenario): Strategy {
  const limit: BucketLimit = { unitsPerS: LIMIT.unitsPerS / entries, burstUnits: LIMIT.burstUnits / entries }
  const buckets = Array.from({ length: entries }, (): TokenBucket => ({ ...createBucket(limit, 0), units: limit.burstUnits, unknownUnits: 0 }))
  return { calls: { store: 0, peer: 0 }, take: (entry, tokens, nowMs) => takeUnits(buckets[entry] as TokenBucket, limit, tokens, nowMs).type === 'granted' }
}

/**
 * Ways to serve customers after all entries ended at once: the leaders' leases lapse; their keys
 * are taken once they are known to have ended; besides that, each entry grants an equal share of
 * the interim units by the number of entries that it knows of, or one entry grants them: all at
 * once, in thirds, or in several parts of which the next is claimed when the holder of the latest is
 * gone, or also when it has spent its part.
 */
export const RESTART_WAYS = ['after_lease', 'on_proof', 'equal_interim', 'one_interim', 'thirds', 'parts', 'parts_when_spent'] as const
export type RestartWay = (typeof RESTART_WAYS)[number]

/** How the units beyond an allotment are divided between the interim parts and the reserve. */
const FORMER_DIVISION = { parts: [INTERIM_SHARE], reserve: 1 - INTERIM_SHARE }
const DIVISION = { parts: INTERIM_SHARES, reserve: RESERVE_SHARE }
const DIVISIONS: Readonly<Record<RestartWay, { readonly parts: readonly number[], readonly reserve: number }>> = {
  after_lease: { parts: [], reserve: 1 },
  on_proof: { parts: [], reserve: 1 },
  equal_interim: FORMER_DIVISION,
  one_interim: FORMER_DIVISION,
  thirds: { parts: [INTERIM_SHARE / 3, INTERIM_SHARE / 3, INTERIM_SHARE / 3], reserve: 1 - INTERIM_SHARE },
  parts: DIVISION,
  parts_when_spent: DIVISION
}

/** Losses of all entries, each followed by their start in a random order, and what is known of their number. */
export interface RestartScenario {
  readonly seed: number
  readonly way: RestartWay
  readonly entries: number
  readonly lossesAtMs: readonly number[]
  readonly demand: number
  readonly seconds: number
  /** Whether the first entry can prove that the former leaders have ended; otherwise their leases lapse. */
  readonly isProvable: boolean
  /** Slack of the bounds; the limit is the same in all scenarios. */
  readonly slackUnits: number
  /** Time until which entries of the former version run as well: any of them may lead the reserve, and only the first part is claimed. */
  readonly formerUntilMs?: number
}

/** Measured results of a restart. */
export interface RestartOutcome {
  readonly overTokens: number
  /** Admitted tokens as a share of those due, in the second after the first entry was ready, worst of all losses. */
  readonly firstSecondShare: number
  /** Tokens due and admitted in that second after each loss. */
  readonly firstSeconds: ReadonlyArray<{ readonly dueFirst: number, readonly admittedFirst: number }>
  /** The same from the first ready entry until the next loss. */
  readonly admittedShare: number
}

/** Time from the loss until the first entry is ready, and time over which the others become ready. */
const FIRST_READY_MS = 1_500
const START_SPREAD_MS = 3_000

/** Mean time from the known death of a leader until its successor grants, and from the first request without a leader until the claim of the interim role. */
const TAKEOVER_MS = 110
const CLAIM_MS = 25

/** Rest of the leases of the leaders when they end. */
const REMAINING_LEASE_MS = 4_500

interface RestartState {
  primary?: AllotmentLeaderState
  reserve?: AllotmentLeaderState
  readonly shares: Map<number, { units: number }>
}

/** Runs a scenario with losses of all entries in virtual time. */
export function simulateRestart (scenario: RestartScenario): RestartOutcome {
  const { demand, entries, formerUntilMs = -Infinity, isProvable, lossesAtMs, seconds, seed, slackUnits, way } = scenario
  const bounds = { ...BOUNDS, slackUnits }
  const time = new VirtualTime(seed)
  const reference: TokenBucket = { ...createBucket(LIMIT, 0), units: LIMIT.burstUnits, unknownUnits: 0 }
  const runs: Array<{ readonly atMs: number, readonly tokens: number }> = []
  const tally = lossesAtMs.map(() => ({ due: 0, admitted: 0, dueFirst: 0, admittedFirst: 0 }))
  const perMs = demand * LIMIT.unitsPerS / MEAN_TOKENS / 1_000
  const state: RestartState = { shares: new Map() }
  const interim = createInterimRole(way, bounds, formerUntilMs + fenceSettleMs(bounds))
  let loss = -1
  let readyAtMs: number[] = []

  function restart (atMs: number): void {
    readyAtMs = Array.from({ length: entries }, (_, entry) => atMs + FIRST_READY_MS + (entry === 0 ? 0 : START_SPREAD_MS * time.draw())).sort((a, b) => a - b)
    state.primary = state.reserve = undefined
    state.shares.clear()
    const vacantAtMs = way === 'after_lease' || !isProvable ? Math.max(atMs + REMAINING_LEASE_MS, atMs + FIRST_READY_MS) : atMs + FIRST_READY_MS
    state.primary = createAllotmentLeaderState('primary', bounds, vacantAtMs + TAKEOVER_MS)
    // The second entry leads the reserve.
    const secondReadyMs = readyAtMs[1] ?? Infinity
    const reserveShare = (atMs < formerUntilMs ? FORMER_DIVISION : DIVISIONS[way]).reserve
    state.reserve = { ...createAllotmentLeaderState('reserve', bounds, Math.max(vacantAtMs, secondReadyMs) + TAKEOVER_MS), reserveShare }
  }

  function takeInterim (entry: number, tokens: number, nowMs: number): boolean {
    const { shares } = state
    if (way === 'equal_interim') {
      // An entry knows the entries that have registered since the loss.
      const known = readyAtMs.filter((readyMs) => readyMs <= nowMs).length
      const share = shares.get(entry) ?? { units: INTERIM_SHARE * overuseUnitsOf(bounds, LIMIT) / known }
      shares.set(entry, share)
      if (share.units < tokens) return false
      share.units -= tokens
      return true
    }
    const answers = (leader?: AllotmentLeaderState): boolean => leader !== undefined && nowMs >= leader.sinceMs
    return interim.take(tokens, nowMs, loss, answers(state.reserve) && !answers(state.primary))
  }

  function take (entry: number, tokens: number, nowMs: number): boolean {
    for (const leader of [state.primary, state.reserve]) {
      if (leader === undefined || nowMs < leader.sinceMs) continue
      const { type } = takeFromAllotment(leader, CUSTOMER, tokens, nowMs)
      if (type === 'granted' || (type === 'refused' && leader.role === 'primary')) return type === 'granted'
    }
    // A request that arrives during the claim waits for it.
    return takeInterim(entry, tokens, nowMs + CLAIM_MS)
  }

  for (let atMs = 0; atMs < seconds * 1_000; atMs += -Math.log(1 - time.draw()) / perMs) {
    while (atMs >= (lossesAtMs[loss + 1] ?? Infinity)) restart(lossesAtMs[++loss] as number)
    const [firstReadyMs = Infinity] = readyAtMs
    const current = tally[loss]
    if (current === undefined || atMs < firstReadyMs) continue
    const tokens = time.draw() < STREAM_SHARE ? STREAM_TOKENS : CALL_TOKENS
    if (takeUnits(reference, LIMIT, tokens, atMs).type !== 'granted' && demand <= 1) continue
    const nextReady = readyAtMs.findIndex((readyMs) => readyMs > atMs)
    const ready = nextReady === -1 ? entries : nextReady
    const isAdmitted = take(Math.floor(time.draw() * ready), tokens, atMs)
    const isFirst = atMs < firstReadyMs + 1_000
    current.due += tokens
    current.dueFirst += isFirst ? tokens : 0
    if (!isAdmitted) continue
    runs.push({ atMs, tokens })
    current.admitted += tokens
    current.admittedFirst += isFirst ? tokens : 0
  }
  const boundTokens = LIMIT.unitsPerS * BOUNDS.windowMs / 1_000 + LIMIT.burstUnits + overuseUnitsOf(bounds, LIMIT)
  return {
    overTokens: Math.max(0, Math.round(worstWindow(runs) - boundTokens)),
    firstSeconds: tally,
    firstSecondShare: Math.min(...tally.filter(({ dueFirst }) => dueFirst > 0).map(({ admittedFirst, dueFirst }) => admittedFirst / dueFirst)),
    admittedShare: tally.reduce((sum, { admitted }) => sum + admitted, 0) / tally.reduce((sum, { due }) => sum + due, 0)
  }
}
