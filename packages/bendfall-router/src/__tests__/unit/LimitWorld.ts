import { createPermitRequest, createBucket, createPermitLeaderState, hasPermit, leasePermits, applyLimitNotice, applyPermitOutcome, takeUnits, usePermit } from '../../index.js'
import type { BucketLimit, PermitRequest, PermitLeaderState, PermitOutcome, ReplicaLimit, ReplicaLimits, TokenBucket } from '../../index.js'
import { countRecentSends, createRecentSends, recordRecentSend } from '../../entry/BendfallRouterRecentSends.js'
import type { RecentSends } from '../../entry/BendfallRouterRecentSends.js'
import { VirtualTime } from './VirtualTime.js'

/** Ways to keep what all entries send to a replica within a limit. */
export const LIMIT_WAYS = ['leased_permits', 'each_send', 'equal_shares'] as const
export type LimitWay = (typeof LIMIT_WAYS)[number]

/** What befalls the keeper, each time for so long. */
export type KeeperFault = 'killed' | 'frozen' | 'cut_off'

/** Entries before one replica that names a limit. */
export interface LimitWorldPlay {
  readonly seed: number
  readonly way: LimitWay
  readonly entries: number
  readonly perS: number
  /** Times its limit. */
  readonly demand: number
  readonly spread: 'all_entries' | 'one_entry'
  readonly seconds: number
  readonly keeperFault?: KeeperFault
  /** Requests a second before the limit is named. */
  readonly beforePerS?: number
}

/** What came of it. */
export interface LimitWorldOutcome {
  /** Requests over the rule in the worst window, all arrivals counted. */
  readonly over: number
  /** Arrivals of what the limit allows. */
  readonly usedShare: number
  /** Calls between entries. */
  readonly callsPerS: number
}

const NAMED_AT_MS = 2_000
const CONTACT_MS = 3_000
const WINDOW_MS = 4_000
const CALL_MS = 1
const TIMEOUT_MS = 80
const ANSWER_MS = 40

/** In which all entries hear of the limit through the key-value service. */
const NEWS_MS = 400

/** Faults begin so often, and last so long; another process holds the duty a lease after the last word of the keeper. */
const FAULT_EACH_MS = 7_000
const FAULT_MS = 2_500
const LEASE_MS = 2_000
const LAPSED_SHARE = 0.25
const LAPSED_MS = 10_000

interface Way {
  /** Asks whether a request may be sent, at once or after a call. */
  readonly send: (entry: number, go: () => void) => void
  /** The entry has heard of the limit. */
  readonly told: (entry: number) => void
  /** The entry has sent a request without asking. */
  readonly sent?: (entry: number) => void
  readonly calls: () => number
}

/** Plays it. */
export function playLimitWorld (play: LimitWorldPlay): LimitWorldOutcome {
  const time = new VirtualTime(play.seed)
  const way = WAYS[play.way](play, time)
  const arrivals: number[] = []
  const told = new Set<number>()
  const endMs = play.seconds * 1_000
  const tell = (entry: number): void => {
    if (told.size === 0) time.after(NEWS_MS, () => { for (let one = 0; one < play.entries; one++) tell(one) })
    if (!told.has(entry)) way.told(entry)
    told.add(entry)
  }
  const arrive = (entry: number): void => {
    time.after(CALL_MS, () => {
      arrivals.push(time.nowMs)
      if (time.nowMs < NAMED_AT_MS) return
      time.after(ANSWER_MS * (0.5 + time.draw()), () => tell(entry))
    })
  }
  const request = (): void => {
    const entry = play.spread === 'one_entry' ? 0 : Math.floor(time.draw() * play.entries)
    if (told.has(entry)) way.send(entry, () => arrive(entry))
    else {
      way.sent?.(entry)
      arrive(entry)
    }
    const perS = time.nowMs < NAMED_AT_MS ? play.beforePerS ?? play.perS : play.demand * play.perS
    time.after(-Math.log(1 - time.draw()) * 1_000 / perS, request)
  }
  request()
  time.playUntil(endMs)
  const since = arrivals.filter((atMs) => atMs >= NAMED_AT_MS + CONTACT_MS)
  return { over: worstOver(play, arrivals), usedShare: since.length / (play.perS * (endMs - NAMED_AT_MS - CONTACT_MS) / 1_000), callsPerS: way.calls() / play.seconds }
}

// The windows that count begin a second before the limit was named.
function worstOver ({ perS }: LimitWorldPlay, arrivals: readonly number[]): number {
  const allowed = 1.5 * perS * WINDOW_MS / 1_000 + 5
  let first = 0
  let worst = 0
  for (const [index, atMs] of arrivals.entries()) {
    while ((arrivals[first] as number) <= atMs - WINDOW_MS) first += 1
    if (atMs >= NAMED_AT_MS + CONTACT_MS) worst = Math.max(worst, index - first + 1 - allowed)
  }
  return Math.ceil(worst)
}

interface Keepers {
  /** Asks the keeper that an entry knows; undefined after the time of a call that has no answer. */
  readonly ask: <T>(entry: number, take: (keeper: PermitLeaderState, share: number) => T, done: (answer: T | undefined) => void) => void
  readonly calls: () => number
}

interface KeptBy {
  keeper: PermitLeaderState
  /** Reached by all, by none, or only by entries that the store cuts off as well: every fourth one. */
  state: 'well' | KeeperFault
  heldUntilMs: number
}

function playKeepers ({ entries, keeperFault }: LimitWorldPlay, time: VirtualTime): Keepers {
  let calls = 0
  let now: KeptBy = { keeper: createPermitLeaderState(0), state: 'well', heldUntilMs: Infinity }
  let former: KeptBy | undefined
  const isCutOff = (entry: number): boolean => entry % 4 === 0
  const fail = (): void => {
    const failing = now
    failing.state = keeperFault as KeeperFault
    failing.heldUntilMs = time.nowMs + LEASE_MS
    if (keeperFault === 'frozen') time.after(FAULT_MS, () => { if (now === failing) Object.assign(failing, { state: 'well', heldUntilMs: Infinity }) })
    time.after(LEASE_MS + 300, () => {
      if (failing.state === 'well') return
      former = failing
      now = { keeper: createPermitLeaderState(time.nowMs), state: 'well', heldUntilMs: Infinity }
    })
    time.after(FAULT_EACH_MS, fail)
  }
  if (keeperFault !== undefined) time.after(FAULT_EACH_MS / 2, fail)

  function shareOf (kept: KeptBy, entry: number): number {
    if (kept.state === 'killed' || kept.state === 'frozen') return 0
    if (kept.state === 'cut_off' && kept !== former && time.nowMs < kept.heldUntilMs) return 1
    if (kept.state === 'cut_off') return isCutOff(entry) || kept === now ? time.nowMs < kept.heldUntilMs + LAPSED_MS ? LAPSED_SHARE : 0 : 0
    return 1
  }

  return {
    calls: () => calls,
    ask: (entry, take, done) => {
      calls += entries === 1 ? 0 : 1
      const kept = former?.state === 'cut_off' && isCutOff(entry) ? former : now
      const delayMs = entries === 1 ? 0 : CALL_MS
      time.after(delayMs, () => {
        const share = shareOf(kept, entry)
        if (share === 0) time.after(TIMEOUT_MS - delayMs, () => done(undefined))
        else {
          const answer = take(kept.keeper, share)
          time.after(delayMs, () => done(answer))
        }
      })
    }
  }
}

// As the router does: leased ahead of the requests, and one ask at a time.
function playLeases (play: LimitWorldPlay, time: VirtualTime): Way {
  const keepers = playKeepers(play, time)
  const known = Array.from({ length: play.entries }, (): ReplicaLimits => new Map())
  const recent = Array.from({ length: play.entries }, createRecentSends)
  const waiting = Array.from({ length: play.entries }, (): Array<() => void> => [])

  function ask (entry: number, limit: ReplicaLimit): void {
    const asked: PermitRequest = createPermitRequest(limit, `e${entry}`, time.nowMs)
    keepers.ask<PermitOutcome>(entry, (keeper, share) => leasePermits(keeper, asked, time.nowMs, share), (outcome) => {
      applyPermitOutcome(known[entry] as ReplicaLimits, limit, asked, outcome ?? { type: 'unreachable' }, time.nowMs)
      for (const go of (waiting[entry] as Array<() => void>).splice(0)) trySend(limit, go)
    })
  }

  function trySend (limit: ReplicaLimit, go: () => void): boolean {
    if (!hasPermit(limit, time.nowMs)) return false
    usePermit(limit)
    go()
    return true
  }

  return {
    calls: keepers.calls,
    told: (entry) => {
      const limits = known[entry] as ReplicaLimits
      applyLimitNotice(limits, 'r', { type: 'named', perS: play.perS }, time.nowMs, time.nowMs)
      const limit = limits.get('r') as ReplicaLimit
      limit.sentBefore = countRecentSends(recent[entry], time.nowMs)
      if (limit.sentBefore > 0) ask(entry, limit)
    },
    sent: (entry) => recordRecentSend(recent[entry] as RecentSends, time.nowMs),
    send: (entry, go) => {
      const limit = known[entry]?.get('r') as ReplicaLimit
      if (trySend(limit, go)) return
      limit.wanted += 1
      if (limit.isAsking || time.nowMs >= limit.nextRequestAtMs) waiting[entry]?.push(go)
      if (!limit.isAsking && time.nowMs >= limit.nextRequestAtMs) ask(entry, limit)
    }
  }
}

// The keeper is asked before each send, and no entry keeps anything.
function playEachSend (play: LimitWorldPlay, time: VirtualTime): Way {
  const keepers = playKeepers(play, time)
  const ask = { processName: 'r', perS: play.perS, heardAgoMs: 0, sentAgoMs: 0, wanted: 1, returned: 0, sentBefore: 0 }
  return {
    calls: keepers.calls,
    told: () => {},
    send: (entry, go) => keepers.ask(entry, (keeper, share) => leasePermits(keeper, { ...ask, entry: `e${entry}` }, time.nowMs, share), (outcome) => {
      if (outcome?.type === 'leased' && outcome.permits > 0) go()
    })
  }
}

// Each entry has the same part, without a message.
function playShares ({ entries, perS }: LimitWorldPlay, time: VirtualTime): Way {
  const bounds: BucketLimit = { unitsPerS: perS / entries, burstUnits: 1 }
  const buckets = Array.from({ length: entries }, (): TokenBucket => ({ ...createBucket(bounds, 0), units: 1, unknownUnits: 0 }))
  return {
    calls: () => 0,
    told: () => {},
    send: (entry, go) => { if (takeUnits(buckets[entry] as TokenBucket, bounds, 1, time.nowMs).type === 'granted') go() }
  }
}

const WAYS: Readonly<Record<LimitWay, (play: LimitWorldPlay, time: VirtualTime) => Way>> = { leased_permits: playLeases, each_send: playEachSend, equal_shares: playShares }
