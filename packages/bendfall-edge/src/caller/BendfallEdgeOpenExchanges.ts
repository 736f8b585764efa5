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
   * @param onLeft - called when the connection is gone before the answer was out, unless by `cutAll`
   */
  readonly add: (exchange: Exchange, onLeft: () => void) => void
  /** @returns number of open exchanges */
  readonly size: () => number
  /**
   * Cuts all exchanges. The resets have been sent when this returns.
   *
   * @returns what was cut
   */
  readonly cutAll: () => readonly Exchange[]
}

/**
 * Makes an empty collection.
 *
 * @returns the collection
 */
export function createOpenExchanges (): OpenExchanges {
  const open = new Set<Exchange>()
  return {
    add: (exchange, onLeft) => {
      open.add(exchange)
      exchange.response.once('close', () => {
        if (open.delete(exchange) && !exchange.response.writableFinished) onLeft()
      })
    },
    size: () => open.size,
    cutAll: () => {
      const cut = [...open]
      open.clear()
      for (const exchange of cut) exchange.cut()
      return cut
    }
  }
}
