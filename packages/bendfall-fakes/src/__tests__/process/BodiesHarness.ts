import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { startFleetServer } from '../../fleet/BendfallFakesFleetServer.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { answersIp } from '../../fleet/answers/BendfallFakesAnswersEntry.js'
import type { Random } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import { waitUntil } from './BundledEntry.js'
import type { Bundle, BundledProcess } from './BundleHarness.js'

const HOST = 'bodies.example'
const CALLERS_PORT = 17_391

/** Memory of an entry on the smallest deployment. */
export const MEMORY_MB = 200

const MAX_BODY_BYTES = 4_194_304

/** What all senders together may send in a millisecond: a link of 1,000 Mbit/s. */
const LINK_BYTES_PER_MS = 125_000
const SEND_INTERVAL_MS = 5

/** Chunks of all senders in one interval: tiny ones at the rate of the link would use up the processor, not the memory. */
const MAX_CHUNKS_PER_INTERVAL = 500
const SAMPLE_MS = 10
const START_TIMEOUT_MS = 10_000
const SMALL_CALL_INTERVAL_MS = 100
const SMALL_CALL_WAIT_MS = 2_000

const BYTES_PER_KB = 1_024
const BYTES_PER_MB = 1_000_000

const CONFIG = {
  version: 1,
  routes: [{ host: HOST, 'timeout-ms': 2_500, 'target-latency-ms': 400, priority: 1, service: 'app', 'max-attempts': 1, name: 'call', 'path-prefix': '/call/', kind: 'non_idempotent' }],
  services: [{ name: 'app', 'max-connections': 500 }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': MAX_BODY_BYTES, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

/** Bodies that callers send at the same time. */
export interface BodyBurst {
  readonly callers: number
  readonly bodyBytes: number
  readonly isChunked: boolean
  readonly chunkBytes: number
  /** Bytes at the end that the callers withhold while they keep their connections open. */
  readonly withheldBytes: number
  readonly durationMs: number
}

/** What was observed during a burst. */
export interface BurstOutcome {
  readonly isRunning: boolean
  readonly peakMb: number
  /** Number of callers by the status that they received; 0 for none. */
  readonly statuses: Readonly<Record<number, number>>
  readonly smallCalls: number
  readonly smallCallsServed: number
}

/**
 * Draws a burst.
 *
 * @param random - source of all values
 * @returns the burst
 */
export function drawBurst (random: Random): BodyBurst {
  const isChunked = random.chance(0.5)
  const bodyBytes = random.pick([3_000, 70_000, 1_000_000, MAX_BODY_BYTES])
  const chunkBytes = isChunked ? random.pick([1, 40, 1_000, 65_536]) : 65_536
  return { callers: 1 + random.integer(60), bodyBytes, isChunked, chunkBytes, withheldBytes: random.chance(0.3) ? 1 + random.integer(2_000) : 0, durationMs: 1_500 + random.integer(2_000) }
}

/** An entry process in front of one replica that answers each call after a short time. */
export interface BodiesHarness {
  readonly play: (burst: BodyBurst) => Promise<BurstOutcome>
}

/** Runs a test with a harness, which is closed in any case. */
export async function withBodiesHarness (bundle: Bundle, run: (harness: BodiesHarness) => Promise<void>): Promise<void> {
  const host = answersIp(32)
  const store = await startFleetStore(answersIp(31))
  const replica = await startFleetServer(answersIp(33), (request, _, response) => {
    setTimeout(() => response.writeHead(200, { 'x-request-id': request.headers['x-request-id'], 'x-response-stamp': 's', 'content-length': 2 }).end('ok'), 40)
  })
  store.put('op/config', CONFIG)
  store.put('servers/i-1', { service: 'app', address: replica.address, zone: 'a', version: 'v1', slots: 64, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
  const entry = await bundle.start('entry', { instanceId: 'entry-1', availabilityZone: 'a', ip: host, callersListen: `${host}:${CALLERS_PORT}`, readyListen: `${host}:17392`, peerPorts: [17_380, 17_389], keyValueAddress: store.address, memoryMb: MEMORY_MB, stopGraceS: 2 })
  try {
    if (!await waitUntil(async () => await sendSmallCall(host, 'ready') === 200, START_TIMEOUT_MS)) throw new Error(`the entry did not serve: ${entry.log()}`)
    await run({ play: (burst) => playBurst(burst, host, entry) })
  } finally {
    await entry.kill()
    await replica.close()
    await store.close()
  }
}

async function playBurst (burst: BodyBurst, host: string, entry: BundledProcess): Promise<BurstOutcome> {
  let peakMb = 0
  const sampler = setInterval(() => { if (!entry.hasEnded()) peakMb = Math.max(peakMb, readPrivateMb(entry.pid)) }, SAMPLE_MS)
  const senders = Array.from({ length: burst.callers }, (_, index) => startSender(host, burst, `sender-${index}`))
  const smallStatuses: Array<Promise<number>> = []
  for (const endsAtMs = performance.now() + burst.durationMs; performance.now() < endsAtMs;) {
    smallStatuses.push(sendSmallCall(host, `small-${smallStatuses.length}`))
    await sleep(SMALL_CALL_INTERVAL_MS)
  }
  const small = await Promise.all(smallStatuses)
  clearInterval(sampler)
  const statuses: Record<number, number> = {}
  for (const sender of senders) {
    statuses[sender.status()] = (statuses[sender.status()] ?? 0) + 1
    sender.stop()
  }
  return { isRunning: !entry.hasEnded(), peakMb, statuses, smallCalls: small.length, smallCallsServed: small.filter((status) => status === 200).length }
}

// Only the memory that belongs to the process itself, without the files that it has mapped.
function readPrivateMb (pid: number): number {
  const match = /RssAnon:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? 0) * BYTES_PER_KB / BYTES_PER_MB
}

interface Sender {
  readonly status: () => number
  readonly stop: () => void
}

function startSender (host: string, { bodyBytes, callers, chunkBytes, isChunked, withheldBytes }: BodyBurst, requestId: string): Sender {
  const socket = openCall(host, requestId, isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bodyBytes}`)
  const chunk = Buffer.alloc(chunkBytes, 'x')
  const startedAtMs = performance.now()
  let sentBytes = 0
  const timer = setInterval(() => {
    const dueBytes = Math.min((performance.now() - startedAtMs) * LINK_BYTES_PER_MS / callers, bodyBytes - withheldBytes)
    socket.cork()
    for (let chunks = 0; sentBytes < dueBytes && chunks < MAX_CHUNKS_PER_INTERVAL / callers && !socket.destroyed; chunks++) {
      const bytes = chunk.subarray(0, bodyBytes - withheldBytes - sentBytes)
      if (isChunked) socket.write(`${bytes.length.toString(16)}\r\n`)
      socket.write(bytes)
      if (isChunked) socket.write('\r\n')
      sentBytes += bytes.length
    }
    if (isChunked && sentBytes >= bodyBytes) socket.write('0\r\n\r\n')
    socket.uncork()
    if (sentBytes >= bodyBytes - withheldBytes || socket.destroyed) clearInterval(timer)
  }, SEND_INTERVAL_MS)
  let text = ''
  socket.on('data', (bytes: Buffer) => { text += bytes.toString('latin1') })
  return {
    status: () => Number(text.slice(9, 12)),
    stop: () => {
      clearInterval(timer)
      socket.destroy()
    }
  }
}

function sendSmallCall (host: string, requestId: string): Promise<number> {
  return new Promise((resolve) => {
    const socket = openCall(host, requestId, 'Content-Length: 4')
    socket.write('body')
    socket.setTimeout(SMALL_CALL_WAIT_MS, () => socket.destroy())
    socket.once('data', (bytes: Buffer) => {
      resolve(Number(bytes.toString('latin1', 9, 12)))
      socket.destroy()
    })
    socket.once('close', () => resolve(0))
  })
}

function openCall (host: string, requestId: string, framing: string): Socket {
  const socket = connect(CALLERS_PORT, host)
  socket.on('error', () => {})
  socket.write(`POST /call/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${requestId}\r\nX-Deadline-Ms: 2500\r\n${framing}\r\n\r\n`)
  return socket
}
