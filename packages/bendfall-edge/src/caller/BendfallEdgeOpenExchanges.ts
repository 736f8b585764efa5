/**
 * Exchanges whose answer is not yet with the kernel: those under way, and those
 * whose answer is whole while its caller reads slowly.
 *
 * @module
 */
import type { Exchange } from './BendfallEdgeExchange.js'

/** Exchanges that are open. */
export interface OpenExchanges {
  /**
   * Adds an exchange until its answer is out or its connection is gone.
   *
   * @param exchange - the exchange
   * @param onLeft - called when the connection is gone before the answer was out, unless by a cut of all
   */
  readonly add: (exchange: Exchange, onLeft: () => void) => void
  /** @returns number of open exchanges */
  readonly size: () => number
  /**
   * Begins to cut all exchanges: the resets follow within `RESET_PAUSE_MS`.
   *
   * @returns what is cut
   */
  readonly cut: () => readonly Exchange[]
  /**
   * Cuts all exchanges. The resets have been sent when this returns.
   *
   * @returns what was cut beyond what `cut` returned
   */
  readonly cutNow: () => readonly Exchange[]
}

/**
 * Makes an empty collection.
 *
 * @returns the collection
 */
export function createOpenExchanges (): OpenExchanges {
  const open = new Set<Exchange>()
  const ending = new Set<Exchange>()

  function takeAll (): readonly Exchange[] {
    const taken = [...open]
    open.clear()
    for (const exchange of taken) ending.add(exchange)
    return taken
  }

  return {
    add: (exchange, onLeft) => {
      open.add(exchange)
      exchange.response.once('close', () => {
        ending.delete(exchange)
        if (open.delete(exchange) && !exchange.response.writableFinished) onLeft()
      })
    },
    size: () => open.size,
    cut: () => {
      const cut = takeAll()
      for (const exchange of cut) exchange.cut()
      return cut
    },
    cutNow: () => {
      const cut = takeAll()
      for (const exchange of ending) exchange.cutNow()
      return cut
    }
  }
}
