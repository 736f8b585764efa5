/**
 * Tracks exchanges whose response has not been fully handed to the kernel: those in progress, and
 * those whose response is complete but whose caller reads slowly.
 *
 * @module
 */
import type { Exchange } from './BendfallEdgeExchange.js'

/** Collection of open exchanges. */
export interface OpenExchanges {
  /**
   * Adds an exchange, which is removed once its response has been sent or its connection is closed.
   *
   * @param exchange - exchange to track
   * @param onDisconnected - called if the connection closes before the response has been sent, unless
   * `cut` or `cutNow` closed it; once, as soon as the caller's close has been read
   */
  readonly add: (exchange: Exchange, onDisconnected: () => void) => void
  /** @returns number of open exchanges */
  readonly size: () => number
  /** @returns the open exchanges, without those that are being aborted */
  readonly list: () => readonly Exchange[]
  /**
   * Starts to abort all open exchanges; the resets follow within `RESET_DELAY_MS`.
   *
   * @returns the exchanges that are being aborted
   */
  readonly cut: () => readonly Exchange[]
  /**
   * Aborts all exchanges. The resets have been sent when this returns.
   *
   * @returns the aborted exchanges, without those that `cut` has already returned
   */
  readonly cutNow: () => readonly Exchange[]
}

/**
 * Creates an empty collection.
 *
 * @returns the collection
 */
export function createOpenExchanges (): OpenExchanges {
  const open = new Set<Exchange>()
  const ending = new Set<Exchange>()

  function markAllAsEnding (): readonly Exchange[] {
    const marked = [...open]
    open.clear()
    for (const exchange of marked) ending.add(exchange)
    return marked
  }

  return {
    add: (exchange, onDisconnected) => {
      const { request: { socket }, response } = exchange
      let isNotified = false
      const notify = (): void => {
        if (!isNotified) onDisconnected()
        isNotified = true
      }
      // The response closes one turn of the event loop later, or several hundred milliseconds in a process with little CPU time.
      const handleEnd = (): void => {
        if (open.has(exchange) && !response.writableEnded) notify()
      }
      open.add(exchange)
      socket.once('end', handleEnd)
      response.once('close', () => {
        socket.removeListener('end', handleEnd)
        ending.delete(exchange)
        if (open.delete(exchange) && !response.writableFinished) notify()
      })
    },
    size: () => open.size,
    list: () => [...open],
    cut: () => {
      const cut = markAllAsEnding()
      for (const exchange of cut) exchange.cut()
      return cut
    },
    cutNow: () => {
      const cut = markAllAsEnding()
      for (const exchange of ending) exchange.cutNow()
      return cut
    }
  }
}
