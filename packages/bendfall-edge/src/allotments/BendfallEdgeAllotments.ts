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
import { ALLOTMENT_ROLES } from 'bendfall-router'
import type { AllotmentBounds, AllotmentRole, Customer, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { createKeeperClient } from '../peer/BendfallEdgeKeeperClient.js'
import type { KeeperClient } from '../peer/BendfallEdgeKeeperClient.js'
import type { KeeperPlace } from '../peer/BendfallEdgeKeeperPlace.js'
import { createAllotmentAsks } from './BendfallEdgeAllotmentAsks.js'
import { keyOfRole } from './BendfallEdgeAllotmentDocument.js'
import { joinAllotmentDuties } from './BendfallEdgeAllotmentDuty.js'
import type { UnitsAsk } from './BendfallEdgeAllotmentDuty.js'

const MAX_RETRY_AFTER_MS = 600_000

/** Options of the allotments. */
export interface AllotmentOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: KeeperPlace
  readonly bounds: AllotmentBounds
  /** @returns customers of the active configuration, by name */
  readonly customers: () => ReadonlyMap<string, Customer>
}

/** Allotments of a running entry. */
export interface Allotments {
  /** Registers the RPC handlers for other entries. */
  readonly serve: (streams: StreamRoutes) => void
  /** Applies an update from the watch on the key-value service. */
  readonly learn: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** Applies the customers of a new configuration. */
  readonly applyConfig: () => void
  /** @returns whether this entry is the leader of a role */
  readonly holds: (role: AllotmentRole) => boolean
  /** Resigns from all roles before the process stops. */
  readonly leave: Teardown
  readonly close: Teardown
}

/**
 * Joins the elections and registers the handlers of the effects.
 *
 * @param options - update loop, key-value service and endpoint of this entry
 * @returns the allotments
 */
export function registerAllotments (options: AllotmentOptions): Allotments {
  const { customers, logger, loop, own } = options
  const clients: Readonly<Record<AllotmentRole, KeeperClient>> = { primary: createClient('primary'), reserve: createClient('reserve') }
  // Cached for the active configuration, so that a thousand customers aren't scanned on every election check.
  let isNeeded = false
  const elections = joinAllotmentDuties({
    ...options,
    clock: loop.clock,
    customerOf: (name) => customers().get(name),
    placeOf: (role) => clients[role].place(),
    isNeeded: () => isNeeded
  })

  function createClient (role: AllotmentRole): KeeperClient {
    return createKeeperClient({ clock: loop.clock, logger, own, key: keyOfRole(role) })
  }

  function learn (entries: readonly KeyValueEntry[], removedKeys: readonly string[]): void {
    for (const role of ALLOTMENT_ROLES) {
      if (!clients[role].learn(entries, removedKeys)) continue
      if (clients[role].place()?.instanceId === own.instanceId) elections.reclaim()
      else checkIfVacant()
    }
  }

  function checkIfVacant (): void {
    if (ALLOTMENT_ROLES.some((role) => clients[role].place() === undefined)) elections.look()
  }

  const allotmentClient = createAllotmentAsks({ clock: loop.clock, logger, clients, takeHere: (request) => elections.holds(request.role) ? elections.take(request) : undefined, giveBack })

  // Best effort: a lost message costs the customer some units of one window.
  function giveBack (request: UnitsAsk): void {
    if (elections.holds(request.role)) elections.giveBack(request)
    else clients[request.role].tell((session, options) => callUnary(session, AllotmentService.method.giveBack, toMessage(request), options))
  }

  function serve (streams: StreamRoutes): void {
    serveUnary(streams, AllotmentService.method.take, ({ customer, role, units }) => {
      const outcome = isRole(role) ? elections.take({ role, customer, units }) : { type: 'unreachable' } as const
      return { certain: outcome.type === 'granted' || outcome.type === 'refused', granted: outcome.type === 'granted', retryAfterMs: outcome.type === 'refused' ? Math.ceil(Math.min(MAX_RETRY_AFTER_MS, outcome.retryAfterMs)) : 0 }
    })
    serveUnary(streams, AllotmentService.method.giveBack, ({ customer, role, units }) => {
      if (isRole(role)) elections.giveBack({ role, customer, units })
      return {}
    })
  }

  const unregister = combineTeardowns([
    loop.registerEffect('take_units', (effect) => {
      handleTakeUnits(effect).catch((error: unknown) => logger.error('take_units_failed', { customer: effect.customer, error }))
    }),
    loop.registerEffect('give_back_units', giveBack)
  ])

  async function handleTakeUnits ({ attempt, customer, key, role, units }: RouterEffectOf<'take_units'>): Promise<void> {
    const answer = await allotmentClient.take(key, { role, customer, units })
    loop.dispatch({ type: 'units_answered', key, attempt, customer, units, ...answer })
  }

  return {
    serve,
    learn,
    applyConfig: () => {
      isNeeded = [...customers().values()].some(({ allotment }) => allotment !== undefined)
      elections.keepOnly(new Set(customers().keys()))
      checkIfVacant()
    },
    holds: elections.holds,
    leave: elections.close,
    close: combineTeardowns([unregister, elections.close, ...ALLOTMENT_ROLES.map((role) => clients[role].close)])
  }
}

function isRole (text: string): text is AllotmentRole {
  return (ALLOTMENT_ROLES as readonly string[]).includes(text)
}

function toMessage ({ customer, role, units }: UnitsAsk): { role: string, customer: string, units: number } {
  return { role, customer, units: Math.round(units) }
}
