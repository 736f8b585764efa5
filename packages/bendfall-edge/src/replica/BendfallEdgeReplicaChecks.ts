/**
 * Carries out the effect that finds out whether the process of a replica still takes
 * connections.
 *
 * @module
 */
import type { Teardown, UpdateLoop } from 'bendfall-node'
import type { ProcessCheck, RouterEffect, RouterEvent } from 'bendfall-router'
import { connectReplica } from './BendfallEdgeReplicaSocket.js'

/** What checks need. */
export interface ReplicaCheckOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  /** Called for each connection opened. */
  readonly onConnect: () => void
}

/**
 * Registers the effect `check_replica`.
 *
 * @param options - update path and count of connections
 * @returns teardown
 */
export function registerReplicaChecks ({ loop, onConnect }: ReplicaCheckOptions): Teardown {
  return loop.registerEffect('check_replica', ({ address, replicaId, startedAtMs }) => {
    const [host = '', port = ''] = address.split(':')
    connectReplica({ host, port: Number(port), onEnd: () => {} }, (...[error, socket]) => {
      if (error === null) onConnect()
      socket?.destroy()
      loop.dispatch({ type: 'replica_checked', replicaId, startedAtMs, outcome: error === null ? 'alive' : outcomeOf(error) })
    })
  })
}

function outcomeOf (error: NodeJS.ErrnoException): ProcessCheck {
  return error.code === 'ECONNREFUSED' ? 'ended' : 'unanswered'
}
