import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { startEntry } from 'bendfall-edge'
import type { EdgeSettings, EntryOptions } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { call, CALLERS_ENDPOINT, ip } from './EntryHarness.js'

const HOST = 'raw.example'
const READY_ENDPOINT = { host: CALLERS_ENDPOINT.host, port: 17_382 }

const ROUTE = { host: HOST, 'timeout-ms': 2500, 'target-latency-ms': 500, priority: 1, service: 'app', 'max-attempts': 1 }

const CONFIG = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'story', 'path-prefix': '/s/', kind: 'streaming', resumable: false, 'target-gap-ms': 500 },
    { ...ROUTE, name: 'rate', 'path-prefix': '/r/', kind: 'idempotent' }
  ],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
}

/** Response as the bytes that a caller received. */
export interface RawResponse {
  readonly text: string
  /** How the connection ended: gracefully, not within the time, or by a reset. */
  readonly end: 'closed' | 'open' | 'reset'
}

/** Responds to a request by writing to its connection. */
export type RawResponder = (socket: Socket, requestId: string) => void

/** An entry in front of one replica whose responses are written as raw bytes. */
export interface RawReplicaHarness {
  /** Writes the responses of the replica; may be replaced at any time. */
  respondWith: RawResponder
  /** Stops listening; open connections go on. */
  readonly stopListening: () => void
  /** Stops listening and closes all connections gracefully, as the kernel does for a process that is killed. */
  readonly endReplica: () => void
  readonly close: () => Promise<void>
}

/** What differs from an entry with default settings. */
export interface RawReplicaOptions extends Pick<EntryOptions, 'metrics' | 'readProcessBytes'> {
  readonly settings?: Partial<EdgeSettings>
  /** Receives the lines that the entry logs; omitted: it logs none. */
  readonly onLine?: (line: string) => void
}

/** Starts an entry and a replica that closes its connections until `respondWith` is set. */
export async function startRawReplicaHarness ({ onLine, settings, ...options }: RawReplicaOptions = {}): Promise<RawReplicaHarness> {
  const store = await startFleetStore(ip(1))
  const harness = { respondWith: (socket: Socket) => { socket.destroy() } } as { respondWith: RawResponder }
  const sockets = new Set<Socket>()
  const replica = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes: Buffer) => {
      const requestId = /x-request-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
      harness.respondWith(socket, requestId)
    })
  })
  await new Promise<void>((resolve) => replica.listen(0, ip(11), resolve))
  const address = `${ip(11)}:${(replica.address() as AddressInfo).port}`
  store.put('op/config', CONFIG)
  store.put('servers/i-raw', { service: 'app', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
  const keyValue = createPlatformKeyValue(store.address)
  const entry = await startEntry({
    ...options,
    settings: { ...settings, instanceId: 'entry-1', availabilityZone: 'a', ip: CALLERS_ENDPOINT.host, callersListen: `${CALLERS_ENDPOINT.host}:${CALLERS_ENDPOINT.port}`, readyListen: `${READY_ENDPOINT.host}:${READY_ENDPOINT.port}`, peerPorts: [17_380, 17_389], keyValueAddress: store.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: createLogger({ level: onLine === undefined ? 'error' : 'info', write: onLine ?? (() => {}) })
  })
  for (let i = 0; i < 100 && await call({ ...READY_ENDPOINT, path: '/api/ready', id: 'ready' }) !== 200; i++) await sleep(20)
  return Object.assign(harness, {
    stopListening: () => { replica.close() },
    endReplica: () => {
      replica.close()
      for (const socket of sockets) socket.end()
    },
    close: async () => {
      await entry.stop()
      await keyValue.close()
      for (const socket of sockets) socket.destroy()
      replica.close()
      await store.close()
    }
  })
}

/** Sends a request over a new connection and reads until the connection ends, at most `waitMs`. */
export async function sendRawRequest (path: string, requestId: string, waitMs = 1_000): Promise<RawResponse> {
  const socket = connect(CALLERS_ENDPOINT.port, CALLERS_ENDPOINT.host)
  let text = ''
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  const end = new Promise<RawResponse['end']>((resolve) => {
    socket.once('error', () => resolve('reset'))
    socket.once('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'closed'))
  })
  socket.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${requestId}\r\nX-Deadline-Ms: 2000\r\n\r\n`)
  const outcome = await Promise.race([end, sleep(waitMs).then(() => 'open' as const)])
  socket.destroy()
  return { text, end: outcome }
}

/** Returns the body of a response, decoded if it is chunked. */
export function bodyOf ({ text }: RawResponse): string {
  const [head = '', ...rest] = text.split('\r\n\r\n')
  const body = rest.join('\r\n\r\n')
  if (!/transfer-encoding: chunked/i.test(head)) return body
  return body.replace(/[0-9a-f]+\r\n([\s\S]*?)\r\n(?=[0-9a-f]+\r\n)/gi, '$1').replace(/0\r\n\r\n$/, '')
}
