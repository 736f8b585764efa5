/**
 * Claims a part of the interim role of the allotments when a request finds no leader that can grant
 * its units, and grants units for the term of the claim. The key of the claim lapses one window of
 * the bounds after the term; until then no other entry can claim the part. The next part is
 * claimed when the holder of the latest claim is gone.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { Clock, Logger, Teardown } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { createInterimTerm, giveBackToInterim, INTERIM_SHARES, INTERIM_TERM_MS, interimLeaseMs, nextInterimPart, takeFromInterim } from 'bendfall-router'
import type { AllotmentBounds, Customer, InterimTerm, RouterDecisions, UnitsOutcome } from 'bendfall-router'
import type { Metrics } from '../observe/BendfallEdgeMetrics.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { encodeLeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { watchPreviousLeaders } from '../pools/BendfallEdgePreviousLeaders.js'
import { keyOfInterimPart } from './BendfallEdgeAllotmentDocument.js'

/** Minimum time between two attempts of this entry, which cost up to five calls to the service. */
const MIN_ATTEMPT_INTERVAL_MS = 250

/** The same after an attempt that the service or its era prevented, plus a random time of up to as much: neither ends sooner, and all entries attempt at once otherwise. */
const PREVENTED_INTERVAL_MS = 1_000

/** Outcomes of such attempts. */
const PREVENTED_OUTCOMES: ReadonlySet<string> = new Set(['era_unsettled', 'not_fenced', 'unavailable'])

/** Revision that a compare-and-swap expects of a key that doesn't exist. */
const NO_REVISION = 0

/** Options of {@link createInterimClaim}. */
export interface InterimClaimOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly own: LeaderEndpoint
  readonly bounds: AllotmentBounds
  readonly decisions: Pick<RouterDecisions, 'allotmentParts'>
  /** Reads whether any part but the first may be claimed. */
  readonly mayClaimLaterParts: () => Promise<boolean>
  /** @returns whether only the primary is lost, so that a holder that has spent its part claims the next one */
  readonly isOnlyPrimaryLost: () => boolean
  /** Called with the latest claim when it changes; undefined if no part is claimed. */
  readonly onHolderChange: (entry: KeyValueEntry | undefined) => void
}

/** Interim role of this entry. */
export interface InterimClaim {
  /**
   * Claims a part unless the holder of the latest claim may still grant; concurrent calls share one attempt.
   *
   * @param goneRevision - claims up to this revision did not respond, or their process does not hold the role any more
   */
  readonly claim: (goneRevision?: number) => Promise<void>
  /** Claims the next part for the holder of the latest claim, which has spent its own, if only the primary is lost. */
  readonly extend: () => Promise<void>
  /** @returns revision of the latest claim; 0 if no part is claimed */
  readonly latestRevision: () => number
  /** Applies an update from the watch on the key-value service. */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** @returns whether this entry holds a part whose term has not ended */
  readonly holds: () => boolean
  /** Takes units if this entry holds a part; otherwise returns `unreachable`. */
  readonly take: (customer: Customer | undefined, units: number) => UnitsOutcome
  /** Returns units to the term that granted them, if it has not ended. */
  readonly giveBack: (customer: string, units: number, term: string | undefined) => void
  /** Records that the era of the service has lasted for a lease of the role; called by the primary leader. */
  readonly recordSettledEra: () => Promise<void>
  /** Ends the terms. The keys stay until their leases lapse. */
  readonly close: Teardown
}

/** A term, and its end by both clocks, since the monotonic clock does not advance while the process is suspended. */
interface HeldTerm {
  readonly id: string
  readonly term: InterimTerm
  readonly untilMs: number
  readonly untilWallMs: number
}

/**
 * Creates the role, which this entry does not hold at first.
 *
 * @param options - key-value service, endpoint of this entry and bounds
 * @returns the role
 */
export function createInterimClaim (options: InterimClaimOptions): InterimClaim {
  const { bounds, clock, decisions, isOnlyPrimaryLost, logger, mayClaimLaterParts, metrics, onHolderChange, own, port } = options
  const keys = INTERIM_SHARES.slice(0, decisions.allotmentParts === 'once' ? 1 : undefined).map((_, part) => keyOfInterimPart(part))
  const leaseMs = interimLeaseMs(bounds)
  // A restored backup lacks recent claims, so none is made until the era has outlasted any of them.
  const previousHolders = watchPreviousLeaders({ port, clock, key: keyOfInterimPart(0), leaseMs })
  const hasUnits = bounds.overShare > 0 || bounds.slackUnits > 0
  const ownValue = encodeLeaderEndpoint(own)
  const claims = new Map<string, KeyValueEntry>()
  let held: HeldTerm[] = []
  let attempt: Promise<void> | undefined
  let nextAttemptAtMs = -Infinity
  let goneUpToRevision = 0
  let isClosed = false
  let eraCount = 0
  const stopListening = port.onEra?.(() => {
    eraCount += 1
    held = []
    claims.clear()
  })

  function latestClaim (): KeyValueEntry | undefined {
    return [...claims.values()].reduce<KeyValueEntry | undefined>((latest, claimed) => latest === undefined || claimed.revision > latest.revision ? claimed : latest, undefined)
  }

  const latestRevision = (): number => latestClaim()?.revision ?? 0

  function recordClaim (entry: KeyValueEntry): void {
    const before = latestRevision()
    if (entry.revision < (claims.get(entry.key)?.revision ?? 0)) return
    claims.set(entry.key, entry)
    if (latestRevision() !== before) onHolderChange(latestClaim())
  }

  function applyUpdate (entries: readonly KeyValueEntry[], removedKeys: readonly string[]): void {
    for (const entry of entries) if (keys.includes(entry.key)) recordClaim(entry)
    const before = latestRevision()
    for (const key of removedKeys) claims.delete(key)
    if (latestRevision() !== before) onHolderChange(latestClaim())
  }

  async function claim (goneRevision = 0): Promise<void> {
    goneUpToRevision = Math.max(goneUpToRevision, goneRevision)
    if (holds()) return
    const latest = latestClaim()
    // This process does not hold its own claim any more, or a previous process of this instance made it.
    const goneRevisions = latest?.value === ownValue ? latest.revision : goneUpToRevision
    await startAttempt(goneRevisions)
  }

  async function extend (): Promise<void> {
    if (holds() && latestClaim()?.value === ownValue && isOnlyPrimaryLost()) await startAttempt(latestRevision())
  }

  function startAttempt (goneRevisions: number): Promise<void> {
    if (attempt !== undefined) return attempt
    const part = nextInterimPart(keys.map((key) => claims.get(key)?.revision), goneRevisions)
    if (!hasUnits || isClosed || part === undefined || clock.nowMs() < nextAttemptAtMs) return Promise.resolve()
    nextAttemptAtMs = clock.nowMs() + MIN_ATTEMPT_INTERVAL_MS
    attempt = tryClaim(part).finally(() => { attempt = undefined })
    return attempt
  }

  async function tryClaim (part: number): Promise<void> {
    const key = keyOfInterimPart(part)
    const eraCountBefore = eraCount
    const read = await port.get(key)
    if (read.type === 'found') recordClaim(read.entry)
    if (read.type !== 'missing') return recordAttempt(read.type === 'found' ? 'occupied' : 'unavailable')
    const [mayPreviousAct, mayClaim] = await Promise.all([previousHolders.mayStillAct(false), part === 0 || mayClaimLaterParts()])
    if (mayPreviousAct) return recordAttempt('era_unsettled')
    if (!mayClaim) return recordAttempt('not_fenced')
    const requestedAt = { untilMs: clock.nowMs(), untilWallMs: clock.wallMs() }
    const lease = await port.grantLease(leaseMs)
    if (lease.type !== 'granted') return recordAttempt('unavailable')
    if (lease.ttlMs < leaseMs) return recordAttempt('lease_too_short')
    const written = await port.compareAndSwap({ key, expectedRevision: NO_REVISION, value: ownValue, leaseId: lease.leaseId })
    const claimed = written.type === 'applied' ? { key, value: ownValue, revision: written.revision, leaseId: lease.leaseId } : await readBack(key)
    // A lease that may be bound to the key is never revoked, since the term could be claimed again within a window.
    if (claimed?.leaseId !== lease.leaseId || isClosed || eraCount !== eraCountBefore) {
      if (claimed !== undefined && eraCount === eraCountBefore) recordClaim(claimed)
      return recordAttempt('not_written')
    }
    held = [...held.filter(isValid), { id: randomUUID(), term: createInterimTerm(bounds, part), untilMs: requestedAt.untilMs + INTERIM_TERM_MS, untilWallMs: requestedAt.untilWallMs + INTERIM_TERM_MS }]
    recordClaim(claimed)
    logger.info('interim_claimed', { key, termMs: INTERIM_TERM_MS, leaseMs })
    recordAttempt('claimed')
  }

  // After a conflict, or without a response to the write, the key shows which process holds the part.
  async function readBack (key: string): Promise<KeyValueEntry | undefined> {
    const read = await port.get(key)
    return read.type === 'found' ? read.entry : undefined
  }

  function recordAttempt (outcome: string): void {
    if (PREVENTED_OUTCOMES.has(outcome)) nextAttemptAtMs = clock.nowMs() + PREVENTED_INTERVAL_MS * (1 + Math.random())
    metrics.count('bendfall_allotment_interim_claims_total', { outcome })
  }

  const isValid = ({ untilMs, untilWallMs }: HeldTerm): boolean => clock.nowMs() < untilMs && clock.wallMs() < untilWallMs
  const holds = (): boolean => held.some(isValid)

  function take (customer: Customer | undefined, units: number): UnitsOutcome {
    if (customer === undefined || !holds()) return { type: 'unreachable' }
    const granting = held.find((one) => isValid(one) && takeFromInterim(one.term, customer, units).type === 'granted')
    return granting === undefined ? { type: 'uncertain' } : { type: 'granted', term: granting.id }
  }

  return {
    claim,
    extend,
    latestRevision,
    applyUpdate,
    holds,
    take,
    giveBack: (customer, units, term) => {
      const granting = held.find((one) => one.id === term && isValid(one))
      if (granting !== undefined) giveBackToInterim(granting.term, customer, units)
    },
    recordSettledEra: previousHolders.recordSettledEra,
    close: () => {
      isClosed = true
      held = []
      stopListening?.()
      previousHolders.close()
    }
  }
}
