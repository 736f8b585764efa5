/**
 * Connections to the ledgers beside the model replicas, each opened by the first call to it.
 *
 * @module
 */
import type { AnsweringSessionManager } from 'bendfall-node'
import type { Replica } from 'bendfall-router'
import { createPeerSession } from '../peer/BendfallEdgePeerSession.js'

/** Connections to the ledgers of all known replicas. */
export interface LedgerSessions {
  /** @returns the connection to a replica's ledger; undefined when the replica is unknown */
  readonly of: (replicaId: string) => AnsweringSessionManager | undefined
  /** Sets the known replicas and closes the connections of all others. */
  readonly keepOnly: (replicas: Iterable<Replica>) => void
  readonly closeAll: () => void
}

interface Ledger {
  readonly address: string
  session?: AnsweringSessionManager
}

/**
 * Creates the set of connections, with none open.
 *
 * @param port - port on which ledgers listen, the same on all instances
 * @returns the connections
 */
export function createLedgerSessions (port: number): LedgerSessions {
  const ledgers = new Map<string, Ledger>()

  function closeSession (replicaId: string, { session }: Ledger): void {
    ledgers.delete(replicaId)
    session?.abort()
  }

  return {
    of: (replicaId) => {
      const ledger = ledgers.get(replicaId)
      if (ledger === undefined) return undefined
      ledger.session ??= openSession(ledger.address, port)
      return ledger.session
    },
    keepOnly: (replicas) => {
      const addresses = new Map([...replicas].map(({ address, replicaId }) => [replicaId, address]))
      for (const [replicaId, ledger] of ledgers) {
        // A replica that was restarted with the same id may run on another instance.
        if (addresses.get(replicaId) !== ledger.address) closeSession(replicaId, ledger)
      }
      for (const [replicaId, address] of addresses) {
        if (!ledgers.has(replicaId)) ledgers.set(replicaId, { address })
      }
    },
    closeAll: () => { for (const [replicaId, ledger] of ledgers) closeSession(replicaId, ledger) }
  }
}

function openSession (address: string, port: number): AnsweringSessionManager {
  return createPeerSession(`${address.slice(0, address.lastIndexOf(':'))}:${port}`)
}
