/**
 * Carries out the effects that take units of allotments: at this entry where it keeps them,
 * else at the one that does. Serves the entries that ask this one.
 *
 * @module
 */
import { callUnary, combineTeardowns, listenForPeers, serveUnary } from 'bendfall-node'
import type { AnsweringSessionManager, Logger, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { AllotmentService } from 'bendfall-protocol'
import { ALLOTMENT_ROLES } from 'bendfall-router'
import type { AllotmentBounds, AllotmentRole, Customer, RouterEffect, RouterEffectOf, RouterEvent, UnitsOutcome } from 'bendfall-router'
import { withTimeout } from '../ledger/BendfallEdgeLedgerMessages.js'
import { createPeerSession } from '../peer/BendfallEdgePeerSession.js'
import { decodeKeeper, keyOfRole } from './BendfallEdgeAllotmentDocument.js'
import type { KeeperPlace } from './BendfallEdgeAllotmentDocument.js'
import { joinAllotmentDuties } from './BendfallEdgeAllotmentDuty.js'
import type { UnitsAsk } from './BendfallEdgeAllotmentDuty.js'

/** A keeper that takes longer is asked no more for this request: the calls with the nearest targets wait for it. */
const ASK_TIMEOUT_MS = 80

/** After an ask without an answer the next ones go elsewhere at once, for so long. */
const AVOIDED_MS = 250

const LONGEST_RETRY_MS = 600_000

/** What allotments need. */
export interface AllotmentOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** This entry, as the others find it; it listens there. */
  readonly own: KeeperPlace
  readonly bounds: AllotmentBounds
  /** @returns customers of the configuration in force, by name */
  readonly customers: () => ReadonlyMap<string, Customer>
}

/** Allotments of an entry that runs. */
export interface Allotments {
  /** Takes what the key-value service tells of keepers. */
  readonly learn: (present: readonly KeyValueEntry[], goneKeys: readonly string[]) => void
  /** Takes the customers of a new configuration. */
  readonly applyConfig: () => void
  /** @returns whether this entry keeps the allotments in a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Leaves the duties to others, before the process stops. */
  readonly leave: Teardown
  readonly close: () => Promise<void>
}

interface Keeper {
  readonly place: KeeperPlace
  readonly session: AnsweringSessionManager
  avoidedUntilMs: number
}

/**
 * Starts to keep allotments and to ask for them.
 *
 * @param options - update path, service and place
 * @returns the allotments once this entry listens
 * @throws Error when the address can't be bound
 */
export async function registerAllotments (options: AllotmentOptions): Promise<Allotments> {
  const { customers, logger, loop, own } = options
  const keepers = new Map<AllotmentRole, Keeper>()
  // Of the configuration in force: with a thousand customers not looked up for each question.
  let isNeeded = false
  const duties = joinAllotmentDuties({
    ...options,
    clock: loop.clock,
    customerOf: (name) => customers().get(name),
    placeOf: (role) => keepers.get(role)?.place,
    isNeeded: () => isNeeded
  })

  function setKeeper (role: AllotmentRole, place: KeeperPlace | undefined): void {
    const former = keepers.get(role)
    if (former?.place.address === place?.address && former?.place.instanceId === place?.instanceId) return
    former?.session.abort()
    if (place === undefined) keepers.delete(role)
    else keepers.set(role, { place, session: createPeerSession(place.address), avoidedUntilMs: -Infinity })
    logger.info('allotment_keeper', { role, keeper: place?.instanceId })
    if (place?.instanceId === own.instanceId) duties.reclaim()
    else if (keepers.size < ALLOTMENT_ROLES.length) duties.look()
  }

  function learn (present: readonly KeyValueEntry[], goneKeys: readonly string[]): void {
    for (const role of ALLOTMENT_ROLES) {
      const key = keyOfRole(role)
      const entry = present.find((one) => one.key === key)
      if (entry !== undefined) learnKeeper(role, entry)
      else if (goneKeys.includes(key)) setKeeper(role, undefined)
    }
  }

  function learnKeeper (role: AllotmentRole, { key, revision, value }: KeyValueEntry): void {
    const place = decodeKeeper(value, key)
    if (place.isErr()) logger.warn('allotment_keeper_unreadable', { key, revision, detail: place.error })
    setKeeper(role, place.unwrapOr(undefined))
  }

  async function take (ask: UnitsAsk): Promise<UnitsOutcome> {
    if (duties.holds(ask.role)) return duties.take(ask)
    const keeper = keepers.get(ask.role)
    const isAsked = keeper !== undefined && keeper.place.instanceId !== own.instanceId && keeper.avoidedUntilMs <= loop.clock.nowMs()
    return isAsked ? await askKeeper(keeper, ask) : { type: 'unreachable' }
  }

  async function askKeeper (keeper: Keeper, ask: UnitsAsk): Promise<UnitsOutcome> {
    try {
      const asked = callUnary(keeper.session, AllotmentService.method.take, toMessage(ask), { timeoutMs: ASK_TIMEOUT_MS })
      const answer = await withTimeout(asked, ASK_TIMEOUT_MS)
      if (!answer.certain) return { type: 'uncertain' }
      return answer.granted ? { type: 'granted' } : { type: 'refused', retryAfterMs: answer.retryAfterMs }
    } catch (error) {
      logger.warn('allotment_keeper_unreachable', { role: ask.role, keeper: keeper.place.instanceId, error })
      // Whether it granted them is not known: given back, units that it refused would be granted beyond the limit.
      keeper.avoidedUntilMs = loop.clock.nowMs() + AVOIDED_MS
      return { type: 'unreachable' }
    }
  }

  function giveBack (ask: UnitsAsk): void {
    const keeper = keepers.get(ask.role)
    if (duties.holds(ask.role)) duties.giveBack(ask)
    else if (keeper !== undefined) tellGivenBack(keeper, ask)
  }

  // Lost, it costs its customer some units of one window.
  function tellGivenBack ({ place, session }: Keeper, ask: UnitsAsk): void {
    callUnary(session, AllotmentService.method.giveBack, toMessage(ask), { timeoutMs: ASK_TIMEOUT_MS }).catch((error: unknown) => {
      logger.debug('units_not_given_back', { role: ask.role, keeper: place.instanceId, error })
    })
  }

  const listener = await listenForPeers(own.address, (_, streams) => {
    serveUnary(streams, AllotmentService.method.take, ({ customer, role, units }) => {
      const outcome = isRole(role) ? duties.take({ role, customer, units }) : { type: 'unreachable' } as const
      return { certain: outcome.type === 'granted' || outcome.type === 'refused', granted: outcome.type === 'granted', retryAfterMs: outcome.type === 'refused' ? Math.ceil(Math.min(LONGEST_RETRY_MS, outcome.retryAfterMs)) : 0 }
    })
    serveUnary(streams, AllotmentService.method.giveBack, ({ customer, role, units }) => {
      if (isRole(role)) duties.giveBack({ role, customer, units })
      return {}
    })
  })

  const unregister = combineTeardowns([
    loop.registerEffect('take_units', (effect) => {
      answerTake(effect).catch((error: unknown) => logger.error('take_units_failed', { customer: effect.customer, error }))
    }),
    loop.registerEffect('give_back_units', giveBack)
  ])

  async function answerTake ({ attempt, customer, key, role, units }: RouterEffectOf<'take_units'>): Promise<void> {
    const ask = { role, customer, units }
    loop.dispatch({ type: 'units_answered', key, attempt, ...ask, outcome: await take(ask) })
  }

  return {
    learn,
    applyConfig: () => {
      isNeeded = [...customers().values()].some(({ allotment }) => allotment !== undefined)
      duties.keepOnly(new Set(customers().keys()))
      if (keepers.size < ALLOTMENT_ROLES.length) duties.look()
    },
    holds: duties.holds,
    leave: duties.close,
    close: async () => {
      unregister()
      duties.close()
      for (const { session } of keepers.values()) session.abort()
      await listener.close()
    }
  }
}

function isRole (text: string): text is AllotmentRole {
  return (ALLOTMENT_ROLES as readonly string[]).includes(text)
}

function toMessage ({ customer, role, units }: UnitsAsk): { role: string, customer: string, units: number } {
  return { role, customer, units: Math.round(units) }
}
