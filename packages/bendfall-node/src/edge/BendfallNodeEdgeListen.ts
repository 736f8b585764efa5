/**
 * Binds a server to an address of the settings.
 *
 * @module
 */
import type { AddressInfo, Server } from 'node:net'

/**
 * Starts to listen.
 *
 * @param server - server that does not listen yet
 * @param address - `ip:port`; an IPv6 number stands in brackets
 * @throws Error when the address can't be bound
 */
export async function listen (server: Server, address: string): Promise<void> {
  const split = address.lastIndexOf(':')
  const host = address.slice(0, split).replace(/^\[|\]$/g, '')
  const port = Number(address.slice(split + 1))
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/**
 * Formats the address that a server is bound to.
 *
 * @param address - address as Node tells it
 * @returns `ip:port`; an IPv6 number stands in brackets
 */
export function formatAddress ({ address, family, port }: AddressInfo): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
