/**
 * Handles the effect that requests permits for rate-limited replicas, at this entry if it is
 * the leader and otherwise by a call to the leader. Serves such calls from other entries.
 *
 * @module
 */
import { callUnary, combineTeardowns, pause, serveUnary } from 'bendfall-node'
import type { Logger, StreamRoutes, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { PermitService } from 'bendfall-protocol'
import type { LeasePermitsResponse } from 'bendfall-protocol'
import type { PermitRequest, PermitOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import { createLeaderClient } from '../peer/BendfallEdgeLeaderClient.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { decodeLimits, LIMITS_KEY } from './BendfallEdgeLimitDocument.js'
import { joinPermitElection, PERMITS_KEY } from './BendfallEdgePermitElection.js'

/** Options of the permits. */
export interface PermitOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** Endpoint of this entry, which it announces when elected. */
  readonly own: LeaderEndpoint
}

/** Permits of a running entry. */
export interface Permits {
  /** Registers the RPC handler for other entries. */
  readonly serve: (streams: StreamRoutes) => void
  /** Applies an update from the watch on the key-value service. */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** @returns whether this entry is the leader */
  readonly holds: () => boolean
  /** Resigns before the process stops. */
  readonly resign: Teardown
  readonly close: Teardown
}

/**
 * Joins the election and registers the handler of the effect.
 *
 * @param options - update loop, key-value service and endpoint of this entry
 * @returns the permits
 */
export function registerPermits (options: PermitOptions): Permits {
  const { logger, loop, own } = options
  const { clock } = loop
  const ended = new AbortController()
  const client = createLeaderClient({ clock, logger, own, key: PERMITS_KEY })
  const election = joinPermitElection({ ...options, clock, currentLeader: client.endpoint })

  async function lease (request: PermitRequest): Promise<PermitOutcome> {
    const localOutcome = election.lease(request)
    if (localOutcome.type === 'leased') return localOutcome
    const response = await client.request((session, options) => callUnary(session, PermitService.method.lease, request, options))
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
    applyUpdate: (entries, removedKeys) => {
      if (client.applyUpdate(entries, removedKeys)) election.scheduleCheck()
      applyLimits(entries)
    },
    holds: election.holds,
    resign: election.close,
    close: combineTeardowns([() => ended.abort(), unregister, election.close, client.close])
  }
}

function toOutcome ({ entries, heardAgoMs, holds, nextInMs, perS, permits }: LeasePermitsResponse): PermitOutcome {
  return holds ? { type: 'leased', permits, perS, heardAgoMs, nextInMs, entries } : { type: 'unreachable' }
}
