/**
 * Child process of the loopback measurements: runs sidecars that respond at once,
 * and a relay that counts the bytes of a connection.
 *
 * @module
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Effect, Event } from 'bendfall-core'
import { listenForPeers, registerPeerServer, registerSidecarServer } from 'bendfall-node'
import { DECODE_LOAD, PREFILL_LOAD } from './BendfallFakesCapacityFleet.js'
import { usedBytes } from './BendfallFakesCapacityMeter.js'
import { createStub } from './BendfallFakesCapacityStub.js'

/** Interval between two decode steps of the simulated engine. */
const STEP_MS = 1

/** Requests of the measuring process, sent over the IPC channel. */
export type PeerRequest =
  | { readonly type: 'listen', readonly count: number }
  | { readonly type: 'usage' }

/** Resource usage of the child process. */
export interface PeerUsage {
  /** CPU time since the start of the process. */
  readonly cpuUs: number
  /** Heap and external buffers in use after a garbage collection. */
  readonly usedBytes: number
  /** Bytes that passed through the relay, sum of both directions. */
  readonly relayedBytes: number
}

/** Addresses that the child process listens on. */
export interface PeerAddresses {
  readonly sidecars: readonly string[]
  /** Relay that forwards to the first sidecar and counts the bytes. */
  readonly relay: string
}

let relayedBytes = 0

function forward (from: Socket, to: Socket): void {
  from.on('data', (chunk) => {
    relayedBytes += chunk.byteLength
    to.write(chunk)
  })
  from.on('close', () => to.destroy())
  from.on('error', () => to.destroy())
}

async function startRelay (target: string): Promise<string> {
  const { hostname, port } = new URL(`http://${target}`)
  const server = createServer({ noDelay: true }, (downstream) => {
    const upstream = connect({ host: hostname, port: Number(port), noDelay: true })
    forward(downstream, upstream)
    forward(upstream, downstream)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function startSidecar (): Promise<string> {
  const stub = createStub('i-sidecar', [], (event) => handleEvent(event))
  const handleEvent = (event: Event): readonly Effect[] => {
    if (event.type === 'decode_asked') setTimeout(() => relayToken(event.ask.requestId, event.ask.maxOutputTokens, 0), STEP_MS)
    return eventHandlers[event.type]?.(event as never) ?? []
  }
  const relayToken = (requestId: string, count: number, index: number): void => {
    stub.carryOut({ type: 'relay_tokens', requestId, attempt: 1, index, tokens: ['token '] })
    if (index + 1 < count) setTimeout(() => relayToken(requestId, count, index + 1), STEP_MS)
    else stub.carryOut({ type: 'relay_end', requestId, attempt: 1, end: { type: 'finished', tokenCount: count, load: DECODE_LOAD } })
  }
  const listener = await listenForPeers('127.0.0.1:0', (router, streams) => {
    registerSidecarServer(streams, stub.runtime, stub.sender, { loadView: () => DECODE_LOAD, holdsRequest: () => true })
    registerPeerServer(router, stub.sender, { fetchConfig: ({ haveListRevision, haveVersion }) => ({ version: haveVersion, configJson: '', deltaJson: '', patchJson: '', verifiedAgeMs: 1, listRevision: haveListRevision, listAgeMs: 20_000.5 }), status: () => ({}), timeline: () => [], drain: () => {} })
  })
  return listener.address
}

type EventHandlers = { readonly [T in Event['type']]?: (event: Extract<Event, { type: T }>) => readonly Effect[] }

const eventHandlers: EventHandlers = {
  reserve_asked: ({ ask }) => [{ type: 'reply_reserve', requestId: ask.requestId, attempt: ask.attempt, reply: { type: 'granted', readyInMs: 1.5, leaseMs: 10_000, fencingToken: 123_456, load: DECODE_LOAD } }],
  prefill_asked: ({ ask }) => [{ type: 'reply_prefill', requestId: ask.requestId, attempt: ask.attempt, reply: { type: 'done', handle: ask.requestId, exportUrl: 'http://10.12.34.56:8000/kv', kvBytes: 217_391_304, cachedTokens: 1_024, evictsInMs: 800, load: PREFILL_LOAD } }]
}

async function listen (count: number): Promise<PeerAddresses> {
  const sidecars: string[] = []
  while (sidecars.length < count) sidecars.push(await startSidecar())
  return { sidecars, relay: await startRelay(sidecars[0]) }
}

function readUsage (): PeerUsage {
  const { user, system } = process.cpuUsage()
  return { cpuUs: user + system, usedBytes: usedBytes(), relayedBytes }
}

process.on('message', (request: PeerRequest) => {
  if (request.type === 'usage') process.send?.(readUsage())
  else listen(request.count).then((addresses) => process.send?.(addresses))
})
process.on('disconnect', () => process.exit())
