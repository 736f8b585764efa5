import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Status line of a successful response, which `withStatus` replaces. */
const OK_LINE = 'HTTP/1.1 200 OK\r\n'

/** Proxy that changes the bytes of response heads. */
export interface HeadProxy {
  /** `ip:port`. */
  readonly address: string
  /** Changes the first bytes of responses until called with undefined. */
  readonly spoilWith: (spoil: ((bytes: Buffer) => Buffer) | undefined) => void
  /** @returns number of responses that were changed */
  readonly spoiledCount: () => number
  readonly close: () => void
}

/** Replaces the status line of a response by one of the same version with another status. */
export function withStatus (status: string): (bytes: Buffer) => Buffer {
  return (bytes) => bytes.subarray(0, OK_LINE.length).toString('latin1') === OK_LINE ? Buffer.concat([Buffer.from(`HTTP/1.1 ${status} OK\r\n`), bytes.subarray(OK_LINE.length)]) : bytes
}

/** Starts a proxy on the loopback address of its target. */
export async function startHeadProxy (target: string): Promise<HeadProxy> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()
  let spoil: ((bytes: Buffer) => Buffer) | undefined
  let spoiledCount = 0

  const server = createServer((caller) => {
    const upstream = connect({ host, port: Number(port) })
    // The first bytes after a request are the head of its response.
    let isHeadExpected = false
    caller.on('data', (bytes) => {
      isHeadExpected = true
      upstream.write(bytes)
    })
    upstream.on('data', (bytes) => {
      const sent = isHeadExpected && spoil !== undefined ? spoil(bytes) : bytes
      isHeadExpected = false
      if (sent !== bytes) spoiledCount += 1
      caller.write(sent)
    })
    for (const [from, to] of [[caller, upstream], [upstream, caller]] as const) {
      sockets.add(from)
      from.on('error', () => {})
      from.on('close', () => {
        sockets.delete(from)
        to.destroy()
      })
    }
  })
  await new Promise<void>((resolve) => server.listen(0, host, resolve))
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    spoilWith: (next) => { spoil = next },
    spoiledCount: () => spoiledCount,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
