import { createPermitRequest, createBucket, createPermitLeaderState, hasPermit, leasePermits, applyLimitNotice, applyPermitOutcome, takeUnits, usePermit } from '../../index.js'
import type { BucketLimit, PermitRequest, PermitLeaderState, PermitOutcome, ReplicaLimit, ReplicaLimits, TokenBucket } from '../../index.js'
import { countRecentSends, createRecentSends, recordRecentSend } from '../../entry/BendfallRouterRecentSends.js'
import type { RecentSends } from '../../entry/BendfallRouterRecentSends.js'
import { VirtualTime } from './VirtualTime.js'

/** Strategies that keep the requests of all entries to a replica within a limit. */
export const LIMIT_STRATEGIES = ['leased_permits', 'each_send', 'equal_shares'] as const
export type LimitStrategy = (typeof LIMIT_STRATEGIES)[number]

/** Fault of the permit leader that is injected repeatedly. */
export type LeaderFault = 'killed' | 'frozen' | 'cut_off'

/** Scenario of entries that send to one replica which advertises a limit. */
export interface LimitScenario {
  readonly seed: number
  readonly strategy: LimitStrategy
  readonly entries: number
  readonly perS: number
  /** Requested rate as a multiple of the limit. */
  readonly demand: number
  readonly distribution: 'all_entries' | 'one_entry'
  readonly seconds: number
  readonly leaderFault?: LeaderFault
  /** Requests per second before the replica advertises the limit; `perS` when absent. */
  readonly beforePerS?: number
}

/** Result of a scenario. */
export interface LimitOutcome {
  /** Maximum number of requests in a window beyond those that the rule allows, over all arrivals. */
  readonly over: number
  /** Share of the limit that was used. */
  readonly usedShare: number
  /** Calls between entries per second. */
  readonly callsPerS: number
}

const ADVERTISED_AT_MS = 2_000
/** Time after the limit is advertised from which the rule is enforced. */
const ENFORCED_AFTER_MS = 3_000
const WINDOW_MS = 4_000
const CALL_MS = 1
const TIMEOUT_MS = 80
const RESPONSE_MS = 40

/** Time within which all entries learn of the limit through the key-value service. */
const PUBLISH_MS = 400

/** Interval and duration of the faults. Another process becomes leader once the lease has expired after the last renewal. */
const FAULT_INTERVAL_MS = 7_000
const FAULT_MS = 2_500
const LEASE_MS = 2_000
/** Share that a leader with an expired lease may still lease, and for how long. */
const EXPIRED_SHARE = 0.25
const EXPIRED_LEASING_MS = 10_000

interface Strategy {
  /** Sends a request through `transmit` if it is permitted, immediately or after a call. */
  readonly send: (entry: number, transmit: () => void) => void
  /** Handles that the entry learned of the limit. */
  readonly onLimitLearned: (entry: number) => void
  /** Handles that the entry sent a request before it knew of the limit. */
  readonly onUnlimitedSend?: (entry: number) => void
  readonly calls: () => number
}

/** Simulates a limit scenario. */
export function simulateLimits (scenario: LimitScenario): LimitOutcome {
  const time = new VirtualTime(scenario.seed)
  const strategy = STRATEGIES[scenario.strategy](scenario, time)
  const arrivals: number[] = []
  const informed = new Set<number>()
  const endMs = scenario.seconds * 1_000
  const informEntry = (entry: number): void => {
    if (informed.size === 0) time.after(PUBLISH_MS, () => { for (let one = 0; one < scenario.entries; one++) informEntry(one) })
    if (!informed.has(entry)) strategy.onLimitLearned(entry)
    informed.add(entry)
  }
  const arrive = (entry: number): void => {
    time.after(CALL_MS, () => {
      arrivals.push(time.nowMs)
      if (time.nowMs < ADVERTISED_AT_MS) return
      time.after(RESPONSE_MS * (0.5 + time.draw()), () => informEntry(entry))
    })
  }
  const request = (): void => {
    const entry = scenario.distribution === 'one_entry' ? 0 : Math.floor(time.draw() * scenario.entries)
    if (informed.has(entry)) strategy.send(entry, () => arrive(entry))
    else {
      strategy.onUnlimitedSend?.(entry)
      arrive(entry)
    }
    const perS = time.nowMs < ADVERTISED_AT_MS ? scenario.beforePerS ?? scenario.perS : scenario.demand * scenario.perS
    time.after(-Math.log(1 - time.draw()) * 1_000 / perS, request)
  }
  request()
  time.runUntil(endMs)
  const enforced = arrivals.filter((atMs) => atMs >= ADVERTISED_AT_MS + ENFORCED_AFTER_MS)
  return { over: maxExcess(scenario, arrivals), usedShare: enforced.length / (scenario.perS * (endMs - ADVERTISED_AT_MS - ENFORCED_AFTER_MS) / 1_000), callsPerS: strategy.calls() / scenario.seconds }
}

// Windows are checked from the one that starts a second before the limit is advertised.
function maxExcess ({ perS }: LimitScenario, arrivals: readonly number[]): number {
  const allowed = 1.5 * perS * WINDOW_MS / 1_000 + 5
  let first = 0
  let excess = 0
  for (const [index, atMs] of arrivals.entries()) {
    while ((arrivals[first] as number) <= atMs - WINDOW_MS) first += 1
    if (atMs >= ADVERTISED_AT_MS + ENFORCED_AFTER_MS) excess = Math.max(excess, index - first + 1 - allowed)
  }
  return Math.ceil(excess)
}

interface LeaderClients {
  /** Calls the leader that the entry knows; the response is undefined after a timeout. */
  readonly call: <T>(entry: number, handle: (leader: PermitLeaderState, share: number) => T, onResponse: (response: T | undefined) => void) => void
  readonly calls: () => number
}

interface LeaderProcess {
  leader: PermitLeaderState
  /** Reachable by all entries, by none, or, if it is cut off from the store, only by the entries that are cut off too: every fourth one. */
  state: 'well' | LeaderFault
  leaseUntilMs: number
}

function simulateLeaders ({ entries, leaderFault }: LimitScenario, time: VirtualTime): LeaderClients {
  let calls = 0
  let current: LeaderProcess = { leader: createPermitLeaderState(0), state: 'well', leaseUntilMs: Infinity }
  let previous: LeaderProcess | undefined
  const isCutOff = (entry: number): boolean => entry % 4 === 0
  const fail = (): void => {
    const failing = current
    failing.state = leaderFault as LeaderFault
    failing.leaseUntilMs = time.nowMs + LEASE_MS
    if (leaderFault === 'frozen') time.after(FAULT_MS, () => { if (current === failing) Object.assign(failing, { state: 'well', leaseUntilMs: Infinity }) })
    time.after(LEASE_MS + 300, () => {
      if (failing.state === 'well') return
      previous = failing
      current = { leader: createPermitLeaderState(time.nowMs), state: 'well', leaseUntilMs: Infinity }
    })
    time.after(FAULT_INTERVAL_MS, fail)
  }
  if (leaderFault !== undefined) time.after(FAULT_INTERVAL_MS / 2, fail)

  function shareOf (process: LeaderProcess, entry: number): number {
    if (process.state === 'killed' || process.state === 'frozen') return 0
    if (process.state === 'cut_off' && process !== previous && time.nowMs < process.leaseUntilMs) return 1
    if (process.state === 'cut_off') return isCutOff(entry) || process === current ? time.nowMs < process.leaseUntilMs + EXPIRED_LEASING_MS ? EXPIRED_SHARE : 0 : 0
    return 1
  }

  return {
    calls: () => calls,
    call: (entry, handle, onResponse) => {
      calls += entries === 1 ? 0 : 1
      const process = previous?.state === 'cut_off' && isCutOff(entry) ? previous : current
      const delayMs = entries === 1 ? 0 : CALL_MS
      time.after(delayMs, () => {
        const share = shareOf(process, entry)
        if (share === 0) time.after(TIMEOUT_MS - delayMs, () => onResponse(undefined))
        else {
          const response = handle(process.leader, share)
          time.after(delayMs, () => onResponse(response))
        }
      })
    }
  }
}

// Like the router: leases permits ahead of the requests, with one permit request at a time.
function createLeasedPermits (scenario: LimitScenario, time: VirtualTime): Strategy {
  const leaders = simulateLeaders(scenario, time)
  const limitsOfEntries = Array.from({ length: scenario.entries }, (): ReplicaLimits => new Map())
  const recentSends = Array.from({ length: scenario.entries }, createRecentSends)
  const waiting = Array.from({ length: scenario.entries }, (): Array<() => void> => [])

  function requestPermits (entry: number, limit: ReplicaLimit): void {
    const request: PermitRequest = createPermitRequest(limit, `e${entry}`, time.nowMs)
    leaders.call<PermitOutcome>(entry, (leader, share) => leasePermits(leader, request, time.nowMs, share), (outcome) => {
      applyPermitOutcome(limitsOfEntries[entry] as ReplicaLimits, limit, request, outcome ?? { type: 'unreachable' }, time.nowMs)
      for (const transmit of (waiting[entry] as Array<() => void>).splice(0)) trySend(limit, transmit)
    })
  }

  function trySend (limit: ReplicaLimit, transmit: () => void): boolean {
    if (!hasPermit(limit, time.nowMs)) return false
    usePermit(limit)
    transmit()
    return true
  }

  return {
    calls: leaders.calls,
    onLimitLearned: (entry) => {
      const limits = limitsOfEntries[entry] as ReplicaLimits
      applyLimitNotice(limits, 'r', { type: 'named', perS: scenario.perS }, time.nowMs, time.nowMs)
      const limit = limits.get('r') as ReplicaLimit
      limit.sentBefore = countRecentSends(recentSends[entry], time.nowMs)
      if (limit.sentBefore > 0) requestPermits(entry, limit)
    },
    onUnlimitedSend: (entry) => recordRecentSend(recentSends[entry] as RecentSends, time.nowMs),
    send: (entry, transmit) => {
      const limit = limitsOfEntries[entry]?.get('r') as ReplicaLimit
      if (trySend(limit, transmit)) return
      limit.wanted += 1
      if (limit.isAsking || time.nowMs >= limit.nextRequestAtMs) waiting[entry]?.push(transmit)
      if (!limit.isAsking && time.nowMs >= limit.nextRequestAtMs) requestPermits(entry, limit)
    }
  }
}

// Requests a permit from the leader before each send; entries keep no state.
function createPermitPerSend (scenario: LimitScenario, time: VirtualTime): Strategy {
  const leaders = simulateLeaders(scenario, time)
  const request = { processName: 'r', perS: scenario.perS, heardAgoMs: 0, sentAgoMs: 0, wanted: 1, returned: 0, sentBefore: 0 }
  return {
    calls: leaders.calls,
    onLimitLearned: () => {},
    send: (entry, transmit) => leaders.call(entry, (leader, share) => leasePermits(leader, { ...request, entry: `e${entry}` }, time.nowMs, share), (outcome) => {
      if (outcome?.type === 'leased' && outcome.permits > 0) transmit()
    })
  }
}

// Gives each entry an equal share of the limit, without any messages.
function createEqualShares ({ entries, perS }: LimitScenario, time: VirtualTime): Strategy {
  const bounds: BucketLimit = { unitsPerS: perS / entries, burstUnits: 1 }
  const buckets = Array.from({ length: entries }, (): TokenBucket => ({ ...createBucket(bounds, 0), units: 1, unknownUnits: 0 }))
  return {
    calls: () => 0,
    onLimitLearned: () => {},
    send: (entry, transmit) => { if (takeUnits(buckets[entry] as TokenBucket, bounds, 1, time.nowMs).type === 'granted') transmit() }
  }
}

const STRATEGIES: Readonly<Record<LimitStrategy, (scenario: LimitScenario, time: VirtualTime) => Strategy>> = { leased_permits: createLeasedPermits, each_send: createPermitPerSend, equal_shares: createEqualShares }
