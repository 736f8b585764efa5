import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import type { Bundle, BundledProcess } from './BundleHarness.js'

/** Memory limit of the process under test. */
export const MEMORY_MB = 200

/** Host of the routes, their timeout, and the port at which the entry accepts callers. */
export const HOST = 'endless.example'
export const TIMEOUT_MS = 2_500
export const CALLERS_PORT = 17_391

const ROUTE = { host: HOST, 'timeout-ms': TIMEOUT_MS, 'target-latency-ms': 400, priority: 1, service: 'app', 'max-attempts': 1 }
/** Configuration with a route of plain calls and one of streams. */
export const CONFIG = {
  version: 1,
  routes: [
    { ...ROUTE, name: 'call', 'path-prefix': '/call/', kind: 'non_idempotent' },
    { ...ROUTE, name: 'stream', 'path-prefix': '/stream/', kind: 'streaming', resumable: false, 'target-gap-ms': 500 }
  ],
  services: [{ name: 'app', 'max-connections': 500 }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 100_000, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

const SAMPLE_MS = 20
const FLOOD_INTERVAL_MS = 2
const DRIP_INTERVAL_MS = 100

/** Pieces of one write, so that a connection carries some megabytes of payload within a test. */
const PIECES_PER_WRITE = 4_000

/** How fast a response is sent: as fast as it is read, or a byte now and then. */
export type Pace = 'flood' | 'drip'

/** Response without an end: a beginning and a piece that is repeated until the connection is closed. */
export interface EndlessResponse {
  readonly head: string
  readonly piece: string
  readonly pace: Pace
}

/** Time for which a response was sent. */
export interface SentResponse {
  readonly name: string
  readonly startedAtMs: number
  /** Absent while its connection is open. */
  closedAtMs?: number
}

/** Server whose responses have no end. */
export interface EndlessServer {
  readonly address: string
  readonly sent: readonly SentResponse[]
  readonly close: () => void
}

/**
 * Starts a server that answers the first request of each connection without an end.
 *
 * @param host - IP address to listen at
 * @param respond - returns the response and its name in failed assertions, from the request's head
 * @returns the server once it listens
 */
export async function startEndlessServer (host: string, respond: (head: string) => { readonly name: string, readonly response: EndlessResponse }): Promise<EndlessServer> {
  const sockets = new Set<Socket>()
  const sent: SentResponse[] = []
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', (bytes: Buffer) => {
      const { name, response: { head, pace, piece } } = respond(bytes.toString('latin1'))
      const one: SentResponse = { name, startedAtMs: performance.now() }
      sent.push(one)
      let dripped = 0
      const next = pace === 'flood' ? () => piece.repeat(PIECES_PER_WRITE) : () => piece.charAt(dripped++ % piece.length)
      socket.write(head)
      const timer = setInterval(() => { if (!socket.writableNeedDrain) socket.write(next()) }, pace === 'flood' ? FLOOD_INTERVAL_MS : DRIP_INTERVAL_MS)
      socket.once('close', () => {
        clearInterval(timer)
        one.closedAtMs = performance.now()
      })
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, host, resolve) })
  const close = (): void => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return { address: `${host}:${(server.address() as AddressInfo).port}`, sent, close }
}

/** Starts an entry of the bundle at an IP address. */
export function startEntry (bundle: Bundle, ip: string, keyValueAddress: string): Promise<BundledProcess> {
  return bundle.start('entry', { instanceId: 'entry-1', availabilityZone: 'a', ip, callersListen: `${ip}:${CALLERS_PORT}`, readyListen: `${ip}:17392`, peerPorts: [17_380, 17_389], keyValueAddress, memoryMb: MEMORY_MB, stopGraceS: 2 })
}

/** Asserts that a process lives and keeps within its memory limit, read from outside. */
export async function assertBounded (process: BundledProcess, playMs: number): Promise<void> {
  let peakMb = 0
  for (let waitedMs = 0; waitedMs < playMs && !process.hasEnded(); waitedMs += SAMPLE_MS) {
    peakMb = Math.max(peakMb, Number(/RssAnon:\s+(\d+) kB/.exec(readFileSync(`/proc/${process.pid}/status`, 'utf8'))?.[1] ?? 0) / 1_000)
    await sleep(SAMPLE_MS)
  }
  assert.is(process.hasEnded(), false, `ended at ${Math.round(peakMb)} MB: ${process.log().slice(-500)}`)
  assert.ok(peakMb <= MEMORY_MB, `${Math.round(peakMb)} MB`)
}

/** Asserts that each response was ended by its receiver within a time. */
export function assertEnded ({ sent }: EndlessServer, withinMs: number): void {
  const nowMs = performance.now()
  const open = sent.filter(({ closedAtMs = nowMs, startedAtMs }) => closedAtMs - startedAtMs > withinMs)
  assert.equal([...new Set(open.map(({ name }) => name))], [])
}
