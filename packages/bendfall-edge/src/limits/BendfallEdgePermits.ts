/**
 * Carries out the effect that asks for permits: at this entry where it keeps the limits of
 * replicas, else at the one that does. Serves the entries that ask this one.
 *
 * @module
 */
import { callUnary, combineTeardowns, pause, serveUnary } from 'bendfall-node'
import type { Logger, StreamRoutes, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { PermitService } from 'bendfall-protocol'
import type { LeasePermitsResponse } from 'bendfall-protocol'
import type { PermitAsk, PermitOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { createKeeperClient } from '../peer/BendfallEdgeKeeperClient.js'
import type { KeeperPlace } from '../peer/BendfallEdgeKeeperPlace.js'
import { decodeLimits, LIMITS_KEY } from './BendfallEdgeLimitDocument.js'
import { joinPermitDuty, PERMITS_KEY } from './BendfallEdgePermitDuty.js'

/** What permits need. */
export interface PermitOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** This entry, as the others find it. */
  readonly own: KeeperPlace
}

/** Permits of an entry that runs. */
export interface Permits {
  /** Serves other entries. */
  readonly serve: (streams: StreamRoutes) => void
  /** Takes what the key-value service tells of the keeper. */
  readonly learn: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** @returns whether this entry keeps the limits */
  readonly holds: () => boolean
  /** Leaves the duty to others, before the process stops. */
  readonly leave: Teardown
  readonly close: Teardown
}

/**
 * Starts to keep limits and to ask for permits.
 *
 * @param options - update path, service and place
 * @returns the permits
 */
export function registerPermits (options: PermitOptions): Permits {
  const { logger, loop, own } = options
  const { clock } = loop
  const ended = new AbortController()
  const client = createKeeperClient({ clock, logger, own, key: PERMITS_KEY })
  const election = joinPermitDuty({ ...options, clock, placeOf: client.place })

  async function lease (request: PermitAsk): Promise<PermitOutcome> {
    const localOutcome = election.lease(request)
    if (localOutcome.type === 'leased') return localOutcome
    const response = await client.ask((session, options) => callUnary(session, PermitService.method.lease, request, options))
    return response === undefined ? { type: 'unreachable' } : toOutcome(response)
  }

  async function handleAskPermits ({ ask, inMs, replicaId }: RouterEffectOf<'ask_permits'>): Promise<void> {
    if (inMs > 0) await pause(clock, inMs, ended.signal)
    const outcome = await lease({ ...ask, heardAgoMs: ask.heardAgoMs + inMs, sentAgoMs: ask.sentAgoMs + inMs })
    loop.dispatch({ type: 'permits_answered', replicaId, ask, outcome })
  }

  function applyLimits (entries: readonly KeyValueEntry[]): void {
    const entry = entries.find(({ key }) => key === LIMITS_KEY)
    if (entry === undefined) return
    const limits = decodeLimits(entry.value)
    if (limits.isOk()) loop.dispatch({ type: 'limits_learned', limits: limits.value })
    else logger.warn('limits_unreadable', { key: LIMITS_KEY, revision: entry.revision, detail: limits.error })
  }

  const unregister = loop.registerEffect('ask_permits', (effect) => {
    handleAskPermits(effect).catch((error: unknown) => logger.error('ask_permits_failed', { replica: effect.replicaId, error }))
  })

  return {
    serve: (streams) => {
      serveUnary(streams, PermitService.method.lease, (ask) => {
        const outcome = election.lease(ask)
        return outcome.type === 'leased' ? { holds: true, ...outcome, type: undefined } : { holds: false }
      })
    },
    learn: (entries, removedKeys) => {
      if (client.learn(entries, removedKeys)) election.look()
      applyLimits(entries)
    },
    holds: election.holds,
    leave: election.close,
    close: combineTeardowns([() => ended.abort(), unregister, election.close, client.close])
  }
}

function toOutcome ({ entries, heardAgoMs, holds, nextInMs, perS, permits }: LeasePermitsResponse): PermitOutcome {
  return holds ? { type: 'leased', permits, perS, heardAgoMs, nextInMs, entries } : { type: 'unreachable' }
}
