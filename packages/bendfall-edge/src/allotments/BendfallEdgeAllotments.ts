/**
 * Handles the effects that take or give back units of allotments, at this entry if it is the
 * leader and otherwise by calls to the leader. Serves such calls from other entries.
 *
 * @module
 */
import { callUnary, combineTeardowns, serveUnary } from 'bendfall-node'
import type { Logger, StreamRoutes, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { AllotmentService } from 'bendfall-protocol'
import { ALLOTMENT_ROLES, ELECTED_ROLES } from 'bendfall-router'
import type { AllotmentBounds, AllotmentRole, Customer, RouterDecisions, RouterEffect, RouterEffectOf, RouterEvent, UnitsOutcome } from 'bendfall-router'
import { createLeaderClient } from '../peer/BendfallEdgeLeaderClient.js'
import type { LeaderClient } from '../peer/BendfallEdgeLeaderClient.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { probePeer } from '../peer/BendfallEdgePeerProbe.js'
import type { Metrics } from '../observe/BendfallEdgeMetrics.js'
import { createAllotmentClient } from './BendfallEdgeAllotmentClient.js'
import { keyOfRole } from './BendfallEdgeAllotmentDocument.js'
import { joinAllotmentElections } from './BendfallEdgeAllotmentElections.js'
import type { UnitsRequest } from './BendfallEdgeAllotmentElections.js'
import { createInterimClaim } from './BendfallEdgeInterimClaim.js'
import { createReserveFence } from './BendfallEdgeReserveFence.js'

const MAX_RETRY_AFTER_MS = 600_000

/** Time for which an answer of a leader shows that it is not lost. */
const ANSWER_VALID_MS = 1_000

/** Interval at which the primary leader checks whether the era of the key-value service can be recorded as settled. */
const SETTLED_ERA_CHECK_MS = 5_000

/** Options of the allotments. */
export interface AllotmentOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: LeaderEndpoint
  readonly bounds: AllotmentBounds
  readonly decisions: RouterDecisions
  /** Cores that this process may use. */
  readonly processorShare: number
  readonly metrics: Metrics
  /** @returns customers of the active configuration, by name */
  readonly customers: () => ReadonlyMap<string, Customer>
}

/** Allotments of a running entry. */
export interface Allotments {
  /** Registers the RPC handlers for other entries. */
  readonly serve: (streams: StreamRoutes) => void
  /** Applies an update from the watch on the key-value service. */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** Applies the customers of a new configuration. */
  readonly applyConfig: () => void
  /** @returns whether this entry is the leader of a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Resigns from all roles before the process stops. */
  readonly resign: Teardown
  readonly close: Teardown
}

/**
 * Joins the elections and registers the handlers of the effects.
 *
 * @param options - update loop, key-value service and endpoint of this entry
 * @returns the allotments
 */
export function registerAllotments (options: AllotmentOptions): Allotments {
  const { customers, decisions, logger, loop, metrics, own } = options
  const clients: Readonly<Record<AllotmentRole, LeaderClient>> = { primary: createClient('primary'), reserve: createClient('reserve'), interim: createClient('interim') }
  // Cached for the active configuration, so that a thousand customers aren't scanned on every election check.
  let isNeeded = false
  const elections = joinAllotmentElections({
    ...options,
    clock: loop.clock,
    customerOf: (name) => customers().get(name),
    leaderOf: (role) => clients[role].endpoint(),
    isNeeded: () => isNeeded,
    isOpen: (role) => role !== 'reserve' || fence.isInPlace(),
    probe: probePeer,
    onLeaderRead: (role, entry) => { if (clients[role].applyRead(entry)) handleLeaderChange(role) },
    onTakeover: (role) => metrics.count('bendfall_allotment_takeovers_total', { role })
  })

  const fence = createReserveFence({ ...options, clock: loop.clock, isNeeded: () => isNeeded, onInPlace: checkLeaders })
  const answeredAtMs: Record<AllotmentRole, number> = { primary: -Infinity, reserve: -Infinity, interim: -Infinity }
  const hasAnswered = (role: AllotmentRole): boolean => elections.holds(role) || loop.clock.nowMs() - answeredAtMs[role] < ANSWER_VALID_MS
  const interim = createInterimClaim({
    ...options,
    clock: loop.clock,
    mayClaimLaterParts: fence.isSettled,
    isOnlyPrimaryLost: () => hasAnswered('reserve') && !hasAnswered('primary'),
    // The client knows one key; which part the latest claim is for makes no difference to it.
    onHolderChange: (entry) => {
      const key = keyOfRole('interim')
      clients.interim.applyUpdate(entry === undefined ? [] : [{ ...entry, key }], entry === undefined ? [key] : [])
    }
  })

  function createClient (role: AllotmentRole): LeaderClient {
    return createLeaderClient({ clock: loop.clock, logger, own, key: keyOfRole(role), onUnreachable: () => { if (role !== 'interim') elections.suspect(role) } })
  }

  function applyUpdate (entries: readonly KeyValueEntry[], removedKeys: readonly string[]): void {
    fence.applyUpdate(entries, removedKeys)
    interim.applyUpdate(entries, removedKeys)
    for (const role of ELECTED_ROLES) {
      const entry = entries.find(({ key }) => key === keyOfRole(role))
      if (entry !== undefined) elections.observeRevision(role, entry.revision)
      if (clients[role].applyUpdate(entries, removedKeys)) handleLeaderChange(role)
    }
  }

  function handleLeaderChange (role: AllotmentRole): void {
    elections.setLeaderChanged(role)
    checkLeaders()
  }

  function checkLeaders (): void {
    if (ELECTED_ROLES.some((role) => clients[role].endpoint()?.instanceId === own.instanceId)) elections.reclaim()
    for (const role of ELECTED_ROLES) elections.suspect(role)
    elections.retryTakeovers()
    if (ELECTED_ROLES.some((role) => clients[role].endpoint() === undefined)) elections.scheduleCheck()
  }

  const allotmentClient = createAllotmentClient({
    clock: loop.clock,
    logger,
    clients,
    takeLocally: (request) => holds(request.role) ? take(request) : undefined,
    giveBack,
    ...(decisions.allotmentInterim === 'granted' ? { interim } : {})
  })

  function holds (role: AllotmentRole): boolean {
    return role === 'interim' ? interim.holds() : elections.holds(role)
  }

  function take (request: UnitsRequest): UnitsOutcome {
    return request.role === 'interim' ? interim.take(customers().get(request.customer), request.units) : elections.take(request)
  }

  async function takeForPeer (request: UnitsRequest): Promise<UnitsOutcome> {
    const outcome = take(request)
    if (request.role !== 'interim' || outcome.type !== 'uncertain') return outcome
    await interim.extend()
    return take(request)
  }

  // Units of another term would raise what this one grants.
  function giveBackLocally (request: UnitsRequest): void {
    if (request.term === undefined) return
    if (request.role === 'interim') interim.giveBack(request.customer, request.units, request.term)
    else elections.giveBack(request)
  }

  // Best effort: a lost message costs the customer some units of one window.
  function giveBack (request: UnitsRequest): void {
    // A leader of an earlier version would add the units to any of its terms.
    if (request.term === undefined) return
    if (holds(request.role)) giveBackLocally(request)
    else clients[request.role].notify((session, options) => callUnary(session, AllotmentService.method.giveBack, toMessage(request), options))
  }

  function serve (streams: StreamRoutes): void {
    serveUnary(streams, AllotmentService.method.take, async ({ customer, role, units }) => {
      const outcome = isRole(role) ? await takeForPeer({ role, customer, units }) : { type: 'unreachable' } as const
      return {
        certain: outcome.type === 'granted' || outcome.type === 'refused',
        granted: outcome.type === 'granted',
        retryAfterMs: outcome.type === 'refused' ? Math.ceil(Math.min(MAX_RETRY_AFTER_MS, outcome.retryAfterMs)) : 0,
        notLeader: isRole(role) && !holds(role),
        term: outcome.type === 'granted' ? outcome.term ?? '' : ''
      }
    })
    serveUnary(streams, AllotmentService.method.giveBack, ({ customer, role, term, units }) => {
      if (isRole(role)) giveBackLocally({ role, customer, units, ...(term === '' ? {} : { term }) })
      return {}
    })
  }

  function recordSettledEra (): void {
    if (elections.holds('primary')) Promise.all([interim.recordSettledEra(), fence.recordSettled()]).catch((error: unknown) => logger.warn('settled_era_not_recorded', { error }))
    cancelSettledEraCheck = loop.clock.callAt(loop.clock.nowMs() + SETTLED_ERA_CHECK_MS, recordSettledEra)
  }

  let cancelSettledEraCheck: Teardown = () => {}
  if (decisions.allotmentInterim === 'granted') recordSettledEra()
  const unregister = combineTeardowns([
    loop.registerEffect('take_units', (effect) => {
      handleTakeUnits(effect).catch((error: unknown) => logger.error('take_units_failed', { customer: effect.customer, error }))
    }),
    loop.registerEffect('give_back_units', giveBack)
  ])

  async function handleTakeUnits ({ attempt, customer, key, role, units }: RouterEffectOf<'take_units'>): Promise<void> {
    const answer = await allotmentClient.take(key, { role, customer, units })
    if (answer.outcome.type !== 'unreachable') answeredAtMs[answer.role] = loop.clock.nowMs()
    metrics.count('bendfall_allotment_answers_total', { role: answer.role, outcome: answer.outcome.type })
    loop.dispatch({ type: 'units_answered', key, attempt, customer, units, ...answer })
  }

  return {
    serve,
    applyUpdate,
    applyConfig: () => {
      isNeeded = [...customers().values()].some(({ allotment }) => allotment !== undefined)
      fence.install()
      elections.keepOnly(new Set(customers().keys()))
      checkLeaders()
    },
    holds,
    resign: combineTeardowns([elections.close, interim.close, fence.close]),
    close: combineTeardowns([unregister, () => cancelSettledEraCheck(), elections.close, interim.close, fence.close, ...ALLOTMENT_ROLES.map((role) => clients[role].close)])
  }
}

function isRole (text: string): text is AllotmentRole {
  return (ALLOTMENT_ROLES as readonly string[]).includes(text)
}

function toMessage ({ customer, role, term = '', units }: UnitsRequest): { role: string, customer: string, units: number, term: string } {
  return { role, customer, units: Math.round(units), term }
}
