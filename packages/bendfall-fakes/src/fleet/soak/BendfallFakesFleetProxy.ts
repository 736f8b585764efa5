/**
 * Loopback TCP proxy that injects faults into the connections that pass through it.
 *
 * @module
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Connection faults: `silent` drops all bytes without closing, `one_way` forwards only towards the server. */
export type ProxyFault = 'delayed' | 'one_way' | 'silent'

/** A listening proxy. */
export interface FleetProxy {
  /** `ip:port`. */
  readonly address: string
  /** Applies a fault to all further traffic until called with undefined. */
  readonly injectFault: (fault: ProxyFault | undefined) => void
  /** Stalls all open connections permanently without closing them; new ones work. */
  readonly silence: () => void
  /** Resets all open connections. */
  readonly reset: () => void
  readonly close: () => Promise<void>
}

const DELAY_MS = 120

/**
 * Starts a proxy.
 *
 * @param target - `ip:port` that connections are forwarded to
 * @returns the proxy, on the target's loopback address, once it listens
 */
export async function startFleetProxy (target: string): Promise<FleetProxy> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()
  const silenced = new WeakSet<Socket>()
  let fault: ProxyFault | undefined

  function forward (from: Socket, to: Socket, isResponse: boolean): void {
    let isLost = false
    let delayedChunks = 0
    from.on('data', (chunk) => {
      // Bytes after lost ones must not arrive either, so the connection stays stalled.
      isLost ||= fault === 'silent' || silenced.has(from) || (fault === 'one_way' && isResponse)
      if (isLost) return
      if (fault !== 'delayed' && delayedChunks === 0) {
        to.write(chunk)
        return
      }
      // A chunk behind delayed ones is delayed as well, to keep the order.
      delayedChunks += 1
      setTimeout(() => {
        delayedChunks -= 1
        to.write(chunk)
      }, DELAY_MS)
    })
    // Delayed bytes must be written before the end.
    from.on('end', () => {
      if (!silenced.has(from)) setTimeout(() => to.end(), DELAY_MS)
    })
    from.on('error', () => {
      if (!silenced.has(from)) to.destroy()
    })
    from.on('close', () => {
      sockets.delete(from)
      if (!silenced.has(from)) setTimeout(() => to.destroy(), DELAY_MS)
    })
  }

  const server = createServer({ allowHalfOpen: true }, (caller) => {
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true })
    for (const socket of [caller, upstream]) sockets.add(socket)
    forward(caller, upstream, false)
    forward(upstream, caller, true)
  })
  await new Promise<void>((resolve) => server.listen(0, host, resolve))
  const reset = (): void => { for (const socket of sockets) socket.resetAndDestroy() }
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    injectFault: (newFault) => { fault = newFault },
    silence: () => { for (const socket of sockets) silenced.add(socket) },
    reset,
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      reset()
    })
  }
}
