/**
 * Asks the keepers of the allotments for a request. One that is slow is not lost: while the
 * reserve is asked its answer is still waited for, and used where the reserve can't grant.
 *
 * @module
 */
import { callUnary } from 'bendfall-node'
import type { Clock, Logger } from 'bendfall-node'
import { AllotmentService } from 'bendfall-protocol'
import type { AllotmentRole, UnitsOutcome } from 'bendfall-router'
import type { KeeperClient } from '../peer/BendfallEdgeKeeperClient.js'
import type { UnitsAsk } from './BendfallEdgeAllotmentDuty.js'

/** Without an answer of the primary for so long the reserve is asked: the calls with the nearest targets wait for it. */
const HEDGE_DELAY_MS = 80

/** Longest wait for the primary: a caller that is refused loses more time on its way back. */
const PRIMARY_TIMEOUT_MS = 250

/** Late answers that no request took up are dealt with after so long. */
const LATE_ANSWER_TTL_MS = 1_000

/** Outcome of an ask, with the keeper that it is of. */
export interface KeeperOutcome {
  readonly role: AllotmentRole
  readonly outcome: UnitsOutcome
}

/** What asks need. */
export interface AllotmentAskOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly clients: Readonly<Record<AllotmentRole, KeeperClient>>
  /** @returns the outcome at this entry; undefined where it doesn't hold the duty */
  readonly takeHere: (request: UnitsAsk) => UnitsOutcome | undefined
  readonly giveBack: (request: UnitsAsk) => void
}

/** Asks for units. */
export interface AllotmentAsks {
  /**
   * @param key - of the request, the same for each of its asks
   * @param request - for the first ask of a request the primary, then the reserve
   */
  readonly take: (key: string, request: UnitsAsk) => Promise<KeeperOutcome>
}

/**
 * Makes the asks.
 *
 * @param options - keepers
 * @returns the asks
 */
export function createAllotmentAsks ({ clients, clock, giveBack, logger, takeHere }: AllotmentAskOptions): AllotmentAsks {
  const lateAnswers = new Map<string, Promise<UnitsOutcome>>()

  async function requestUnits (request: UnitsAsk, longestMs: number, ignoresPause = false): Promise<UnitsOutcome> {
    const message = { role: request.role, customer: request.customer, units: Math.round(request.units) }
    const answer = await clients[request.role].ask((session, options) => callUnary(session, AllotmentService.method.take, message, options), { longestMs, ignoresPause })
    if (answer === undefined) return { type: 'unreachable' }
    if (!answer.certain) return { type: 'uncertain' }
    return answer.granted ? { type: 'granted' } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
  }

  async function takeFromPrimary (key: string, request: UnitsAsk): Promise<KeeperOutcome> {
    const pending = requestUnits(request, PRIMARY_TIMEOUT_MS, clients.reserve.place() === undefined)
    if (clients.reserve.place() === undefined) return { role: 'primary', outcome: await pending }
    const earlyOutcome = await Promise.race([pending, delay(HEDGE_DELAY_MS)])
    if (earlyOutcome !== undefined) return { role: 'primary', outcome: earlyOutcome }
    lateAnswers.set(key, pending)
    clock.callAt(clock.nowMs() + LATE_ANSWER_TTL_MS, () => giveBackLateGrant(key, request))
    return { role: 'primary', outcome: { type: 'unreachable' } }
  }

  async function takeFromReserve (key: string, request: UnitsAsk): Promise<KeeperOutcome> {
    const outcome = takeHere(request) ?? await requestUnits(request, HEDGE_DELAY_MS)
    const primaryRequest = { ...request, role: 'primary' as const }
    if (outcome.type === 'granted') {
      giveBackLateGrant(key, primaryRequest)
      return { role: 'reserve', outcome }
    }
    const answer = await (claimLateAnswer(key) ?? requestUnits(primaryRequest, PRIMARY_TIMEOUT_MS, true))
    const isDecided = answer.type === 'granted' || answer.type === 'refused'
    return isDecided ? { role: 'primary', outcome: answer } : { role: 'reserve', outcome }
  }

  function claimLateAnswer (key: string): Promise<UnitsOutcome> | undefined {
    const answer = lateAnswers.get(key)
    lateAnswers.delete(key)
    return answer
  }

  // Without an answer it is not known whether they were granted: given back, units that were refused would be granted beyond the limit.
  function giveBackLateGrant (key: string, request: UnitsAsk): void {
    claimLateAnswer(key)?.then((outcome) => { if (outcome.type === 'granted') giveBack(request) })
      .catch((error: unknown) => logger.error('give_back_late_failed', { customer: request.customer, error }))
  }

  function delay (ms: number): Promise<undefined> {
    return new Promise((resolve) => { clock.callAt(clock.nowMs() + ms, () => resolve(undefined)) })
  }

  return {
    take: async (key, request) => {
      const localOutcome = request.role === 'primary' ? takeHere(request) : undefined
      if (localOutcome !== undefined) return { role: request.role, outcome: localOutcome }
      return request.role === 'primary' ? await takeFromPrimary(key, request) : await takeFromReserve(key, request)
    }
  }
}
