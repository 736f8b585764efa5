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
const SOON_MS = 80

/** Longest wait for the primary: a caller that is refused loses more time on its way back. */
const LONGEST_MS = 250

/** Late answers that no request took up are dealt with after so long. */
const UNCLAIMED_MS = 1_000

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
  readonly takeHere: (ask: UnitsAsk) => UnitsOutcome | undefined
  readonly giveBack: (ask: UnitsAsk) => void
}

/** Asks for units. */
export interface AllotmentAsks {
  /**
   * @param key - of the request, the same for each of its asks
   * @param ask - for the first ask of a request the primary, then the reserve
   */
  readonly take: (key: string, ask: UnitsAsk) => Promise<KeeperOutcome>
}

/**
 * Makes the asks.
 *
 * @param options - keepers
 * @returns the asks
 */
export function createAllotmentAsks ({ clients, clock, giveBack, logger, takeHere }: AllotmentAskOptions): AllotmentAsks {
  const late = new Map<string, Promise<UnitsOutcome>>()

  async function askKeeper (ask: UnitsAsk, longestMs: number, ignoresPause = false): Promise<UnitsOutcome> {
    const message = { role: ask.role, customer: ask.customer, units: Math.round(ask.units) }
    const answer = await clients[ask.role].ask((session, options) => callUnary(session, AllotmentService.method.take, message, options), { longestMs, ignoresPause })
    if (answer === undefined) return { type: 'unreachable' }
    if (!answer.certain) return { type: 'uncertain' }
    return answer.granted ? { type: 'granted' } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
  }

  async function takeOfPrimary (key: string, ask: UnitsAsk): Promise<KeeperOutcome> {
    const asked = askKeeper(ask, LONGEST_MS, clients.reserve.place() === undefined)
    if (clients.reserve.place() === undefined) return { role: 'primary', outcome: await asked }
    const soon = await Promise.race([asked, after(SOON_MS)])
    if (soon !== undefined) return { role: 'primary', outcome: soon }
    late.set(key, asked)
    clock.callAt(clock.nowMs() + UNCLAIMED_MS, () => giveBackLate(key, ask))
    return { role: 'primary', outcome: { type: 'unreachable' } }
  }

  async function takeOfReserve (key: string, ask: UnitsAsk): Promise<KeeperOutcome> {
    const outcome = takeHere(ask) ?? await askKeeper(ask, SOON_MS)
    const ofPrimary = { ...ask, role: 'primary' as const }
    if (outcome.type === 'granted') {
      giveBackLate(key, ofPrimary)
      return { role: 'reserve', outcome }
    }
    const answer = await (takeLate(key) ?? askKeeper(ofPrimary, LONGEST_MS, true))
    const isDecided = answer.type === 'granted' || answer.type === 'refused'
    return isDecided ? { role: 'primary', outcome: answer } : { role: 'reserve', outcome }
  }

  function takeLate (key: string): Promise<UnitsOutcome> | undefined {
    const answer = late.get(key)
    late.delete(key)
    return answer
  }

  // Without an answer it is not known whether they were granted: given back, units that were refused would be granted beyond the limit.
  function giveBackLate (key: string, ask: UnitsAsk): void {
    takeLate(key)?.then((outcome) => { if (outcome.type === 'granted') giveBack(ask) })
      .catch((error: unknown) => logger.error('give_back_late_failed', { customer: ask.customer, error }))
  }

  function after (ms: number): Promise<undefined> {
    return new Promise((resolve) => { clock.callAt(clock.nowMs() + ms, () => resolve(undefined)) })
  }

  return {
    take: async (key, ask) => {
      const here = ask.role === 'primary' ? takeHere(ask) : undefined
      if (here !== undefined) return { role: ask.role, outcome: here }
      return ask.role === 'primary' ? await takeOfPrimary(key, ask) : await takeOfReserve(key, ask)
    }
  }
}
