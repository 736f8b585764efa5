/**
 * Executes the effect that checks whether a replica's process still accepts connections.
 *
 * @module
 */
import type { Teardown, UpdateLoop } from 'bendfall-node'
import type { ProcessCheck, RouterEffect, RouterEvent } from 'bendfall-router'
import { connectReplica, isConnectionRefused } from './BendfallEdgeReplicaSocket.js'

/** Dependencies of the checks. */
export interface ReplicaCheckOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  /** Called for each opened connection. */
  readonly onConnect: () => void
}

/**
 * Registers the effect `check_replica`.
 *
 * @param options - event loop and callback for opened connections
 * @returns teardown
 */
export function registerReplicaChecks ({ loop, onConnect }: ReplicaCheckOptions): Teardown {
  return loop.registerEffect('check_replica', ({ address, replicaId, startedAtMs }) => {
    checkReplica(address, onConnect, (outcome) => {
      if (outcome === 'ended') loop.dispatch({ type: 'connection_refused', address })
      loop.dispatch({ type: 'replica_checked', replicaId, startedAtMs, outcome })
    })
  })
}

/**
 * Checks whether a process accepts connections at an address.
 *
 * @param address - `ip:port` of the replica
 * @param onConnect - called if a connection was opened
 * @param onOutcome - called once with the outcome
 */
export function checkReplica (address: string, onConnect: () => void, onOutcome: (outcome: ProcessCheck) => void): void {
  const [host = '', port = ''] = address.split(':')
  connectReplica({ host, port: Number(port), onEnd: () => {} }, (...[error, socket]) => {
    if (error === null) onConnect()
    socket?.destroy()
    onOutcome(error === null ? 'alive' : outcomeOf(error))
  })
}

function outcomeOf (error: NodeJS.ErrnoException): ProcessCheck {
  return isConnectionRefused(error) ? 'ended' : 'unanswered'
}
