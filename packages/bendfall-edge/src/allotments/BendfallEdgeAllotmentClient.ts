/**
 * Requests units from the leaders of the allotments. When the primary is slow, the reserve is
 * asked as well; the primary's late answer is still awaited and used if the reserve can't grant.
 * Where neither can, the interim role is asked, and claimed if no process holds it or the one that does is gone.
 *
 * @module
 */
import { callUnary, scheduleTimeout } from 'bendfall-node'
import type { Clock, Logger } from 'bendfall-node'
import { AllotmentService } from 'bendfall-protocol'
import type { AllotmentRole, UnitsOutcome } from 'bendfall-router'
import type { LeaderClient } from '../peer/BendfallEdgeLeaderClient.js'
import type { UnitsRequest } from './BendfallEdgeAllotmentElections.js'
import type { InterimClaim } from './BendfallEdgeInterimClaim.js'

/** Wait for the primary before the reserve is asked; every request that needs units may have to wait this long. */
const HEDGE_DELAY_MS = 80

/** Maximum wait for the primary; being refused and retrying would cost the caller more time. */
const PRIMARY_TIMEOUT_MS = 250

/** Time after which the units of a late grant are given back if the caller's request hasn't used it. */
const LATE_ANSWER_TTL_MS = 1_000

/** Outcome of a request for units, with the role of the leader that it comes from. */
export interface RoleOutcome {
  readonly role: AllotmentRole
  readonly outcome: UnitsOutcome
}

/** Options of the client. */
export interface AllotmentClientOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly clients: Readonly<Record<AllotmentRole, LeaderClient>>
  /** @returns the outcome at this entry; undefined if this entry isn't the leader of the role */
  readonly takeLocally: (request: UnitsRequest) => UnitsOutcome | undefined
  readonly giveBack: (request: UnitsRequest) => void
  /** Access to the claims of the interim role; absent: there is no interim role. */
  readonly interim?: Pick<InterimClaim, 'claim' | 'extend' | 'latestRevision'>
}

/** Client that requests units. */
export interface AllotmentClient {
  /**
   * @param key - key of the caller's request, the same for all of its requests for units
   * @param request - addressed to the primary the first time, then to the reserve, then to the interim role
   */
  readonly take: (key: string, request: UnitsRequest) => Promise<RoleOutcome>
}

/**
 * Creates a client of the allotment leaders.
 *
 * @param options - connections to the leaders and local shortcuts
 * @returns the client
 */
export function createAllotmentClient ({ clients, clock, giveBack, interim, logger, takeLocally }: AllotmentClientOptions): AllotmentClient {
  const lateAnswers = new Map<string, Promise<UnitsOutcome>>()

  async function requestUnits (request: UnitsRequest, timeoutMs: number, ignoresBackoff = false): Promise<UnitsOutcome> {
    const message = { role: request.role, customer: request.customer, units: Math.round(request.units) }
    const answer = await clients[request.role].request((session, options) => callUnary(session, AllotmentService.method.take, message, options), { timeoutMs, ignoresBackoff })
    if (answer === undefined) return { type: 'unreachable' }
    if (answer.notLeader) return { type: 'unreachable' }
    if (!answer.certain) return { type: 'uncertain' }
    return answer.granted ? { type: 'granted', ...(answer.term === '' ? {} : { term: answer.term }) } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
  }

  async function takeFromPrimary (key: string, request: UnitsRequest): Promise<RoleOutcome> {
    const pending = requestUnits(request, PRIMARY_TIMEOUT_MS, clients.reserve.endpoint() === undefined)
    if (clients.reserve.endpoint() === undefined) return { role: 'primary', outcome: await pending }
    const earlyOutcome = await Promise.race([pending, delay(HEDGE_DELAY_MS)])
    if (earlyOutcome !== undefined) return { role: 'primary', outcome: earlyOutcome }
    lateAnswers.set(key, pending)
    clock.callAt(clock.nowMs() + LATE_ANSWER_TTL_MS, () => giveBackLateGrant(key, request))
    return { role: 'primary', outcome: { type: 'unreachable' } }
  }

  async function takeFromReserve (key: string, request: UnitsRequest): Promise<RoleOutcome> {
    const outcome = takeLocally(request) ?? await requestUnits(request, HEDGE_DELAY_MS)
    const primaryRequest = { ...request, role: 'primary' as const }
    if (outcome.type === 'granted') {
      giveBackLateGrant(key, primaryRequest)
      return { role: 'reserve', outcome }
    }
    // With an interim role, a primary that backs off is asked again only after that role.
    const answer = await (claimLateAnswer(key) ?? (interim === undefined ? requestUnits(primaryRequest, PRIMARY_TIMEOUT_MS, true) : undefined))
    const isDecided = answer?.type === 'granted' || answer?.type === 'refused'
    return isDecided ? { role: 'primary', outcome: answer } : { role: 'reserve', outcome }
  }

  async function takeFromInterim (request: UnitsRequest): Promise<RoleOutcome> {
    const outcome = await requestInterim(request)
    if (outcome.type === 'granted') return { role: 'interim', outcome }
    const answer = await requestUnits({ ...request, role: 'primary' }, PRIMARY_TIMEOUT_MS, true)
    const isDecided = answer.type === 'granted' || answer.type === 'refused'
    return isDecided ? { role: 'primary', outcome: answer } : { role: 'interim', outcome }
  }

  async function requestInterim (request: UnitsRequest): Promise<UnitsOutcome> {
    const goneRevision = interim?.latestRevision() ?? 0
    const local = takeLocally(request)
    const outcome = local ?? await requestUnits(request, HEDGE_DELAY_MS)
    if (outcome.type === 'granted' || interim === undefined || (local === undefined && outcome.type !== 'unreachable')) return outcome
    // A service that does not respond would hold the request longer than its caller waits; the claim goes on meanwhile.
    await Promise.race([local === undefined ? interim.claim(goneRevision) : interim.extend(), delay(PRIMARY_TIMEOUT_MS)])
    const next = takeLocally(request)
    if (next !== undefined) return next
    return interim.latestRevision() === goneRevision ? outcome : await requestUnits(request, HEDGE_DELAY_MS)
  }

  function claimLateAnswer (key: string): Promise<UnitsOutcome> | undefined {
    const answer = lateAnswers.get(key)
    lateAnswers.delete(key)
    return answer
  }

  // Without an answer it is unknown whether units were granted. Giving back units that were refused would allow grants beyond the limit.
  function giveBackLateGrant (key: string, request: UnitsRequest): void {
    claimLateAnswer(key)?.then((outcome) => { if (outcome.type === 'granted') giveBack({ ...request, ...(outcome.term === undefined ? {} : { term: outcome.term }) }) })
      .catch((error: unknown) => logger.error('give_back_late_failed', { customer: request.customer, error }))
  }

  function delay (ms: number): Promise<undefined> {
    return new Promise((resolve) => { scheduleTimeout(clock, ms, () => resolve(undefined)) })
  }

  const handlers: Readonly<Record<AllotmentRole, (key: string, request: UnitsRequest) => Promise<RoleOutcome>>> = {
    primary: async (key, request) => {
      const localOutcome = takeLocally(request)
      return localOutcome === undefined ? await takeFromPrimary(key, request) : { role: 'primary', outcome: localOutcome }
    },
    reserve: takeFromReserve,
    interim: async (_, request) => await takeFromInterim(request)
  }

  return { take: (key, request) => handlers[request.role](key, request) }
}
