/**
 * Measures the real transport: HTTP/2 over loopback between an entry in this
 * process and sidecars in a child process.
 *
 * @module
 */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import type { Effect, Event, InstanceRecord } from 'bendfall-core'
import { createConfigPeers, createConnections, registerSidecarClients } from 'bendfall-node'
import type { Connections } from 'bendfall-node'
import { flatText, modelName, numbers } from './BendfallFakesCapacityFleet.js'
import type { Point } from './BendfallFakesCapacityFit.js'
import { usedBytes } from './BendfallFakesCapacityMeter.js'
import type { MeasuredPoints } from './BendfallFakesCapacityMeter.js'
import type { PeerAddresses, PeerRequest, PeerUsage } from './BendfallFakesCapacityPeer.js'
import { ASSUMED, DERIVED } from './BendfallFakesCapacitySize.js'
import { createStub } from './BendfallFakesCapacityStub.js'
import type { Stub } from './BendfallFakesCapacityStub.js'

const MESSAGE_COUNTS = [200, 400, 800]
const REQUEST_COUNTS = [50, 100, 200]
const TOKEN_COUNTS = [1_000, 2_000, 4_000]
const CONNECTION_COUNTS = [50, 100, 200]
/** Number of streams between one sidecar and one entry at the target size. */
const STREAMS = 2
const WARM_UP = 100
/** Time for both sides to finish closing connections. */
const SETTLE_MS = 300
const CONNECT_TIMEOUT_MS = 2_000
const SIDECAR = 'i-0123456789abcdef'

/** Names of the measurements. */
export type LoopbackName =
  | 'connectionBytes' | 'connectionPeerBytes'
  | 'heartbeatBytes' | 'heartbeatUs' | 'heartbeatPeerUs'
  | 'pollBytes' | 'pollUs'
  | 'renewalBytes' | 'renewalUs' | 'renewalPeerUs'
  | 'requestBytes' | 'requestUs' | 'requestPeerUs'
  | 'tokenBytes' | 'tokenUs' | 'tokenPeerUs'

type Workload = (client: Client, count: number) => Promise<void>

interface Cost {
  readonly bytes: readonly Point[]
  readonly us: readonly Point[]
  readonly peerUs: readonly Point[]
}

/** The entry's side of a connection, in this process. */
interface Client {
  readonly stub: Stub
  readonly connections: Connections
  readonly address: string
  /** Resolves with the next event of a type. */
  readonly next: (type: Event['type']) => Promise<void>
  /** Resolves with the next response of any kind. */
  readonly answered: () => Promise<void>
  readonly close: () => void
}

/**
 * Measures the bytes, CPU time and memory of the transport.
 *
 * @returns measured points by name
 */
export async function measureLoopback (): Promise<Readonly<Record<LoopbackName, MeasuredPoints>>> {
  const peer = fork(new URL('./BendfallFakesCapacityPeer.js', import.meta.url), { execArgv: ['--expose-gc'] })
  try {
    const addresses = await sendRequest<PeerAddresses>(peer, { type: 'listen', count: Math.max(...CONNECTION_COUNTS) })
    const heartbeat = await measureWorkload(peer, addresses, MESSAGE_COUNTS, sendHeartbeats)
    const renewal = await measureWorkload(peer, addresses, MESSAGE_COUNTS, sendRenewals)
    const poll = await measureWorkload(peer, addresses, MESSAGE_COUNTS, pollConfig)
    const request = await measureWorkload(peer, addresses, REQUEST_COUNTS, runRequests)
    const token = await measureWorkload(peer, addresses, TOKEN_COUNTS, streamTokens)
    const connection = await measureConnections(peer, addresses)
    return {
      heartbeatBytes: { name: 'heartbeat on the wire, both directions', unit: 'B', per: 'exchange', points: heartbeat.bytes },
      heartbeatUs: { name: 'heartbeat, transport at the entry', unit: 'µs', per: 'exchange', points: heartbeat.us },
      heartbeatPeerUs: { name: 'heartbeat, transport at the sidecar', unit: 'µs', per: 'exchange', points: heartbeat.peerUs },
      renewalBytes: { name: 'renewal of two leases on the wire, both directions', unit: 'B', per: 'exchange', points: renewal.bytes },
      renewalUs: { name: 'renewal of two leases, transport at the entry', unit: 'µs', per: 'exchange', points: renewal.us },
      renewalPeerUs: { name: 'renewal of two leases, transport at the sidecar', unit: 'µs', per: 'exchange', points: renewal.peerUs },
      pollBytes: { name: 'idle FetchConfig on the wire, both directions', unit: 'B', per: 'exchange', points: poll.bytes },
      pollUs: { name: 'idle FetchConfig, client or server side', unit: 'µs', per: 'exchange', points: poll.us },
      requestBytes: { name: 'reserve, prefill, decode of one token on the wire, without prompt', unit: 'B', per: 'request', points: request.bytes },
      requestUs: { name: 'reserve, prefill, decode of one token, transport at the entry', unit: 'µs', per: 'request', points: request.us },
      requestPeerUs: { name: 'reserve, prefill, decode of one token, transport at the sidecars', unit: 'µs', per: 'request', points: request.peerUs },
      tokenBytes: { name: 'token batch on the wire, both directions', unit: 'B', per: 'batch', points: token.bytes },
      tokenUs: { name: 'token batch, transport at the entry', unit: 'µs', per: 'batch', points: token.us },
      tokenPeerUs: { name: 'token batch, transport at the sidecar', unit: 'µs', per: 'batch', points: token.peerUs },
      connectionBytes: { name: 'open connection at the entry', unit: 'B', per: 'connection', points: connection.own },
      connectionPeerBytes: { name: 'open connection at the sidecar', unit: 'B', per: 'connection', points: connection.peer }
    }
  } finally {
    peer.disconnect()
  }
}

async function sendRequest<Reply> (peer: ChildProcess, request: PeerRequest): Promise<Reply> {
  peer.send(request)
  const [response] = await once(peer, 'message')
  return response as Reply
}

function createClient (address: string): Client {
  const waiting = new Map<Event['type'], () => void>()
  const record: InstanceRecord = { instanceId: SIDECAR, availabilityZone: 'a', address, kind: 'upstream', pool: 'p', state: 'live' }
  let onResponse = (): void => {}
  const stub = createStub('i-fedcba9876543210', [record], () => [], () => onResponse())
  const connections = createConnections(CONNECT_TIMEOUT_MS, 'entry')
  const teardown = registerSidecarClients(stub.runtime, stub.sender, connections, (_, error) => { throw error })
  stub.runtime.registerListener((event) => {
    const resolve = waiting.get(event.type)
    waiting.delete(event.type)
    resolve?.()
  })
  return {
    stub,
    connections,
    address,
    next: (type) => new Promise((resolve) => waiting.set(type, resolve)),
    answered: () => new Promise((resolve) => { onResponse = resolve }),
    close: () => {
      teardown()
      connections.close()
    }
  }
}

// Bytes are counted through the relay; CPU time is measured without it.
async function measureWorkload (peer: ChildProcess, addresses: PeerAddresses, counts: readonly number[], workload: Workload): Promise<Cost> {
  const bytes: Point[] = []
  const us: Point[] = []
  const peerUs: Point[] = []
  const relayed = createClient(addresses.relay)
  const direct = createClient(addresses.sidecars[0])
  await workload(relayed, WARM_UP)
  await workload(direct, WARM_UP)
  for (const count of counts) {
    const before = await sendRequest<PeerUsage>(peer, { type: 'usage' })
    await workload(relayed, count)
    const counted = await sendRequest<PeerUsage>(peer, { type: 'usage' })
    bytes.push({ size: count, value: counted.relayedBytes - before.relayedBytes })
    const own = process.cpuUsage()
    await workload(direct, count)
    const { user, system } = process.cpuUsage(own)
    const after = await sendRequest<PeerUsage>(peer, { type: 'usage' })
    us.push({ size: count, value: user + system })
    peerUs.push({ size: count, value: after.cpuUs - counted.cpuUs })
  }
  relayed.close()
  direct.close()
  return { bytes, us, peerUs }
}

async function runEffect (client: Client, effect: Effect, responseType: Event['type']): Promise<void> {
  const responded = client.next(responseType)
  client.stub.carryOut(effect)
  await responded
}

const sendRenewals: Workload = async (client, count) => {
  const requestIds = numbers(STREAMS).map(idOf)
  for (let iteration = 0; iteration < count; iteration++) {
    const responded = client.answered()
    client.stub.carryOut({ type: 'send_renewal', instanceId: SIDECAR, requestIds })
    await responded
  }
}

const sendHeartbeats: Workload = async (client, count) => {
  await pollConfig(client, 1)
  const connection = client.connections.to(client.address)
  for (let iteration = 0; iteration < count; iteration++) await new Promise<void>((resolve) => connection.heartbeat(resolve))
}

const pollConfig: Workload = async (client, count) => {
  const peers = createConfigPeers(client.connections, client.stub.sender)
  for (let iteration = 0; iteration < count; iteration++) await peers.fetchConfig(client.address, { haveVersion: 54_321, waitMs: 20_000, takesPatch: true, list: { haveRevision: '12840-89abcdef-01234567', haveAgeMs: 20_000.5 } })
}

const runRequests: Workload = async (client, count) => {
  for (let index = 0; index < count; index++) {
    const shared = { requestId: idOf(index), attempt: 1, entryId: '', model: modelName(1), trafficClass: 'interactive' } as const
    await runEffect(client, { type: 'send_reserve', instanceId: SIDECAR, ask: { ...shared, entryIncarnation: '', clientId: 'client-123', kvBytes: 217_391_304, maxOutputTokens: 1_000, maxReadyInMs: 987.5, neededInMs: 234.5 } }, 'reserve_replied')
    await runEffect(client, { type: 'send_prefill', instanceId: SIDECAR, ask: { ...shared, prompt: '', promptTokens: DERIVED.promptTokens, expectedTokens: 1_150, notBeforeInMs: 0, prefixHashes: numbers(ASSUMED.prefixHashes).map(() => '0123456789abcdef'), maxWaitMs: 987.5 } }, 'prefill_replied')
    await runEffect(client, decodeEffect(index, 1), 'decode_ended')
  }
}

// All streams between one sidecar and one entry run in step, like the streams of one engine.
const streamTokens: Workload = async (client, count) => {
  let ended = 0
  const all = new Promise<void>((resolve) => {
    const remove = client.stub.runtime.registerListener((event) => {
      if (event.type === 'decode_ended') ended += 1
      if (ended < STREAMS) return
      remove()
      resolve()
    })
  })
  client.stub.carryOut(...numbers(STREAMS).map((index) => decodeEffect(index, count / STREAMS)))
  await all
}

function decodeEffect (index: number, tokens: number): Effect {
  const ask = { requestId: idOf(index), attempt: 1, entryId: '', model: modelName(1), trafficClass: 'interactive', fencingToken: 123_456, handle: idOf(index), exportUrl: 'http://10.12.34.56:8000/kv', kvBytes: 217_391_304, prompt: flatText(1, index), maxOutputTokens: tokens, resumeTokens: [] } as const
  return { type: 'send_decode', instanceId: SIDECAR, ask }
}

async function measureConnections (peer: ChildProcess, { sidecars }: PeerAddresses): Promise<{ readonly own: readonly Point[], readonly peer: readonly Point[] }> {
  const own: Point[] = []
  const remote: Point[] = []
  for (const count of [WARM_UP, ...CONNECTION_COUNTS]) {
    await pause(SETTLE_MS)
    const before = { own: usedBytes(), peer: (await sendRequest<PeerUsage>(peer, { type: 'usage' })).usedBytes }
    const client = createClient(sidecars[0])
    const peers = createConfigPeers(client.connections, client.stub.sender)
    for (const address of sidecars.slice(0, count)) await peers.fetchConfig(address, { haveVersion: 1, waitMs: 0, takesPatch: true })
    own.push({ size: count, value: usedBytes() - before.own })
    remote.push({ size: count, value: (await sendRequest<PeerUsage>(peer, { type: 'usage' })).usedBytes - before.peer })
    client.close()
  }
  return { own: own.slice(1), peer: remote.slice(1) }
}

function idOf (index: number): string {
  return `00000000-0000-4000-8000-${index.toString(16).padStart(12, '0')}`
}
