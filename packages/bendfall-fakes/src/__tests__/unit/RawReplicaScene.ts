import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { startEntry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { call, CALLERS, ip } from './EntryScene.js'

const HOST = 'raw.example'
const READY = { host: CALLERS.host, port: 17_382 }

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

/** What a caller saw on its connection. */
export interface RawAnswer {
  readonly text: string
  /** How the connection ended: in order, by a reset, or not within the time. */
  readonly end: 'closed' | 'open' | 'reset'
}

/** Answers a request by writing to its connection. */
export type RawReplica = (socket: Socket, requestId: string) => void

/** An entry before one replica that speaks bytes. */
export interface RawScene {
  /** How the replica answers from now on. */
  answerWith: RawReplica
  readonly close: () => Promise<void>
}

/** Starts the scene. */
export async function startRawScene (): Promise<RawScene> {
  const store = await startFleetStore(ip(1))
  const scene = { answerWith: (socket: Socket) => { socket.destroy() } } as { answerWith: RawReplica }
  const sockets = new Set<Socket>()
  const replica = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes: Buffer) => {
      const requestId = /x-request-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
      scene.answerWith(socket, requestId)
    })
  })
  await new Promise<void>((resolve) => replica.listen(0, ip(11), resolve))
  const address = `${ip(11)}:${(replica.address() as AddressInfo).port}`
  store.put('op/config', CONFIG)
  store.put('servers/i-raw', { service: 'app', address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
  const keyValue = createPlatformKeyValue(store.address)
  const entry = await startEntry({
    settings: { instanceId: 'entry-1', availabilityZone: 'a', ip: CALLERS.host, callersListen: `${CALLERS.host}:${CALLERS.port}`, readyListen: `${READY.host}:${READY.port}`, peerPorts: [17_380, 17_389], keyValueAddress: store.address, stopGraceS: 1 },
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: createLogger({ level: 'error', write: () => {} })
  })
  for (let i = 0; i < 100 && await call({ ...READY, path: '/api/ready', id: 'ready' }) !== 200; i++) await sleep(20)
  return Object.assign(scene, {
    close: async () => {
      await entry.stop()
      await keyValue.close()
      for (const socket of sockets) socket.destroy()
      replica.close()
      await store.close()
    }
  })
}

/** Sends a request on a connection of its own and reads until its end, at most `waitMs`. */
export async function askRaw (path: string, requestId: string, waitMs = 1_000): Promise<RawAnswer> {
  const socket = connect(CALLERS.port, CALLERS.host)
  let text = ''
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  const end = new Promise<RawAnswer['end']>((resolve) => {
    socket.once('error', () => resolve('reset'))
    socket.once('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'closed'))
  })
  socket.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${requestId}\r\nX-Deadline-Ms: 2000\r\n\r\n`)
  const seen = await Promise.race([end, sleep(waitMs).then(() => 'open' as const)])
  socket.destroy()
  return { text, end: seen }
}

/** Body of an answer in chunks, or as it came. */
export function bodyOf ({ text }: RawAnswer): string {
  const [head = '', ...rest] = text.split('\r\n\r\n')
  const body = rest.join('\r\n\r\n')
  if (!/transfer-encoding: chunked/i.test(head)) return body
  return body.replace(/[0-9a-f]+\r\n([\s\S]*?)\r\n(?=[0-9a-f]+\r\n)/gi, '$1').replace(/0\r\n\r\n$/, '')
}
