import { once } from 'node:events'
import { connect, constants, createServer } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { create, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { Effect, Event, InstanceRecord, LoadView, State, Step } from 'bendfall-core'
import { RelayResponseSchema, SidecarService } from 'bendfall-protocol'
import { Map as ImmutableMap } from 'immutable'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLamportClock } from '../../observe/index.js'
import { createSystemClock } from '../../runtime/BendfallNodeClock.js'
import { createRuntime } from '../../runtime/BendfallNodeRuntime.js'
import type { Runtime } from '../../runtime/BendfallNodeRuntime.js'
import { createConnections } from '../../transport/BendfallNodeConnections.js'
import { encodeEnvelope } from '../../transport/BendfallNodeEnvelope.js'
import { incarnationDigest } from '../../transport/BendfallNodeHeartbeat.js'
import { listenForPeers } from '../../transport/BendfallNodePeerListener.js'
import { RELAY_PATH } from '../../transport/BendfallNodeRelayServer.js'
import { createSenderClock } from '../../transport/BendfallNodeSender.js'
import { registerSidecarClients } from '../../transport/BendfallNodeSidecarClients.js'
import { registerSidecarServer } from '../../transport/BendfallNodeSidecarServer.js'

const LOAD: LoadView = { freeKvBytes: 1024, totalKvBytes: 2048, activeRequests: 0, queuedPrefillTokens: 0, urgentPrefillTokens: 0, prefillTokensPerSecond: 0, stepMs: 0, readyInMs: 0, draining: false, configVersion: 4 }
const NAME = { instanceId: 'sidecar', requestId: 'r', attempt: 1 }
const ASK = { requestId: 'r', attempt: 1, entryId: 'entry', model: 'm', trafficClass: 'summary' as const }
const RESERVE = { ...ASK, entryIncarnation: '1', clientId: 'c', kvBytes: 1, maxOutputTokens: 1, neededInMs: 5, maxReadyInMs: 30_000 }
const DECODE = { ...ASK, fencingToken: 1, handle: 'h', exportUrl: 'u', kvBytes: 1, prompt: 'p', maxOutputTokens: 9, resumeTokens: [] }
const CALL = { requestId: 'r', attempt: 1, entryId: 'entry', clientId: 'c', pool: 'p', method: 'POST', path: '/', contentType: 't', body: new Uint8Array(), repeatable: false, idempotencyKey: '', keyIssuedAtMs: 0, bodyDigest: '', maxWaitMs: 5000.25 }

type Answer = (event: Event) => readonly Effect[]

class Watched {
  readonly events: Event[] = []
  private readonly waiting: Array<{ type: string, resolve: (event: Event) => void }> = []

  see (event: Event): void {
    this.events.push(event)
    for (const one of this.waiting.filter(({ type }) => type === event.type)) one.resolve(event)
  }

  async count (type: Event['type'], total: number): Promise<void> {
    while (this.events.filter((event) => event.type === type).length < total) await this.next(type)
  }

  next (type: Event['type']): Promise<Event> {
    return new Promise((resolve) => this.waiting.push({ type, resolve }))
  }
}

function runtimeOf (instanceId: string, members: State['members'], answer: Answer): { runtime: Runtime, watched: Watched } {
  const self = { instanceId, incarnation: '1', availabilityZone: 'a', role: 'entry' as const, pool: '' }
  const state = { self, seed: 1, members, stopping: false } as unknown as State
  const watched = new Watched()
  const reducer = (current: State, event: Event): Step => ({ state: event.type === 'stop_asked' ? { ...current, stopping: true } : current, effects: answer(event) })
  const runtime = createRuntime(reducer, state, createSystemClock())
  runtime.registerListener((event) => watched.see(event))
  return { runtime, watched }
}

async function setUp (answer: Answer, otherAddress = '127.0.0.1:1') {
  const versions: string[] = []
  const answered: Effect[] = []
  const sidecar = runtimeOf('sidecar', ImmutableMap(), (event) => event.type === 'timer_fired' ? answered.splice(0) : answer(event))
  const sidecarSender = createSenderClock(sidecar.runtime, createLamportClock(), (id, version) => versions.push(`${id}@${version}`))
  const selectors = { loadView: () => LOAD, holdsRequest: (_: State, requestId: string) => requestId === 'held' }
  let teardownServer = (): void => {}
  const listener = await listenForPeers('127.0.0.1:0', (_, streams) => {
    teardownServer = registerSidecarServer(streams, sidecar.runtime, sidecarSender, selectors)
  })
  const record: InstanceRecord = { instanceId: 'sidecar', availabilityZone: 'a', address: listener.address, kind: 'upstream', pool: 'p', state: 'live' }
  const other: InstanceRecord = { ...record, instanceId: 'other', address: otherAddress }
  const members = ImmutableMap([record, other].map((one) => [one.instanceId, { record: one, state: 'live', pool: 'p', loadSeenAtMs: 0, suspectedUntilMs: 0 }])) as unknown as State['members']
  const order: Effect[] = []
  const entry = runtimeOf('entry', members, (event) => event.type === 'timer_fired' ? order.splice(0) : [])
  const connections = createConnections(500, '1')
  const teardownClients = registerSidecarClients(entry.runtime, createSenderClock(entry.runtime, createLamportClock(), (id, version) => versions.push(`${id}@${version}`)), connections)
  const carryOut = (...effects: Effect[]): void => {
    order.push(...effects)
    entry.runtime.dispatch({ type: 'timer_fired', timer: { kind: 'retry', id: '' } })
  }
  const answerWith = (...effects: Effect[]): void => {
    answered.push(...effects)
    sidecar.runtime.dispatch({ type: 'timer_fired', timer: { kind: 'retry', id: '' } })
  }
  const close = async (): Promise<void> => {
    teardownClients()
    connections.close()
    teardownServer()
    await listener.close()
  }
  return { entry: entry.watched, sidecar: sidecar.watched, sidecarRuntime: sidecar.runtime, connections, carryOut, answerWith, close, listener, versions }
}

test('a reservation is asked and answered', async () => {
  const it = await setUp((event) => event.type === 'reserve_asked' ? [{ type: 'reply_reserve', requestId: 'r', attempt: 1, reply: { type: 'granted', readyInMs: 2, leaseMs: 3, fencingToken: 4, load: LOAD } }] : [])
  const replied = it.entry.next('reserve_replied')
  it.carryOut({ type: 'send_reserve', instanceId: 'sidecar', ask: RESERVE })
  const { atMs, ...event } = await replied
  assert.equal(event, { type: 'reserve_replied', ...NAME, reply: { type: 'granted', readyInMs: 2, leaseMs: 3, fencingToken: 4, load: LOAD } })
  assert.equal(it.versions, ['entry@0', 'sidecar@0'])
  await it.close()
})

test('tokens of one turn arrive as one batch, in order, before the end', async () => {
  const relay = { requestId: 'r', attempt: 1 }
  const it = await setUp((event) => event.type === 'decode_asked'
    ? [
        { type: 'relay_transfer', ...relay, transferredBytes: 1 },
        { type: 'relay_transfer', ...relay, transferredBytes: 2 },
        { type: 'relay_tokens', ...relay, index: 0, tokens: ['a'] },
        { type: 'relay_tokens', ...relay, index: 1, tokens: ['b', 'c'] },
        { type: 'relay_tokens', ...relay, index: 1, tokens: ['b'] },
        { type: 'relay_end', ...relay, end: { type: 'finished', tokenCount: 3, load: LOAD } }
      ]
    : [])
  const ended = it.entry.next('decode_ended')
  it.carryOut({ type: 'send_decode', instanceId: 'sidecar', ask: DECODE })
  await ended
  const seen = it.entry.events.map(({ atMs, ...event }) => event).filter((event) => event.type !== 'timer_fired')
  assert.equal(seen, [
    { type: 'transfer_progressed', ...NAME, transferredBytes: 2 },
    { type: 'tokens_arrived', ...NAME, index: 0, tokens: ['a', 'b', 'c'] },
    { type: 'tokens_arrived', ...NAME, index: 1, tokens: ['b'] },
    { type: 'load_seen', instanceId: 'sidecar', load: LOAD, incarnation: '1' },
    { type: 'decode_ended', ...NAME, end: { type: 'finished', tokenCount: 3, load: LOAD } }
  ])
  await it.close()
})

test('a client of connect-node gets the same answers', async () => {
  const relay = { requestId: 'r', attempt: 1 }
  const it = await setUp((event) => event.type === 'decode_asked'
    ? [
        { type: 'relay_tokens', ...relay, index: 0, tokens: ['a'] },
        { type: 'relay_end', ...relay, end: { type: 'finished', tokenCount: 1, load: LOAD } }
      ]
    : [])
  const sessionManager = new Http2SessionManager(`http://${it.listener.address}`)
  const client = createClient(SidecarService, createConnectTransport({ httpVersion: '2', baseUrl: `http://${it.listener.address}`, sessionManager }))
  const cases: Array<string | undefined> = []
  for await (const { item } of client.decode({ ...DECODE, sender: { instanceId: 'entry' } })) cases.push(item.case)
  assert.equal(cases, ['tokens', 'end'])
  const renewed = await client.renew({ sender: { instanceId: 'entry' }, requestIds: ['held', 'lost'] })
  assert.equal(renewed.unknownRequestIds, ['lost'])
  const refused = await client.reserve({ requestId: 'r' }).catch((error: unknown) => ConnectError.from(error).code)
  assert.is(refused, Code.InvalidArgument)
  sessionManager.abort()
  await it.close()
})

test('a cancel ends the stream, is told to the sidecar and leads to no end at the entry', async () => {
  const it = await setUp(() => [])
  const asked = it.sidecar.next('decode_asked')
  it.carryOut({ type: 'send_decode', instanceId: 'sidecar', ask: DECODE })
  await asked
  const cancelled = it.sidecar.next('cancel_asked')
  it.carryOut({ type: 'send_cancel', ...NAME })
  await cancelled
  await it.close()
  assert.not(it.entry.events.some((event) => event.type === 'decode_ended'))
})

test('decodes share a stream: the cancel of one leaves the other', async () => {
  const it = await setUp(() => [])
  const asked = it.sidecar.count('decode_asked', 2)
  it.carryOut({ type: 'send_decode', instanceId: 'sidecar', ask: DECODE }, { type: 'send_decode', instanceId: 'sidecar', ask: { ...DECODE, requestId: 'other' } })
  await asked
  const cancelled = it.sidecar.next('cancel_asked')
  it.carryOut({ type: 'send_cancel', ...NAME })
  await cancelled
  const ended = it.entry.next('decode_ended')
  for (const requestId of ['r', 'other']) it.answerWith({ type: 'relay_tokens', requestId, attempt: 1, index: 0, tokens: ['a'] }, { type: 'relay_end', requestId, attempt: 1, end: { type: 'finished', tokenCount: 1, load: LOAD } })
  assert.is((await ended as { requestId: string }).requestId, 'other')
  assert.equal(it.entry.events.filter((event) => event.type === 'tokens_arrived').map((event) => (event as { requestId: string }).requestId), ['other'])
  assert.is(it.entry.events.filter((event) => event.type === 'decode_ended').length, 1)
  await it.close()
})

test('the loss of the relay stream ends every decode on it, and the next decode opens another', async () => {
  const it = await setUp(() => [])
  const asked = it.sidecar.count('decode_asked', 2)
  const others = ['r', 'other'].map((requestId) => ({ type: 'send_decode' as const, instanceId: 'sidecar', ask: { ...DECODE, requestId } }))
  it.carryOut(...others)
  await asked
  const lost = Promise.all([it.entry.count('decode_ended', 2), it.sidecar.count('cancel_asked', 2)])
  it.connections.to(it.listener.address).session.abort()
  await lost
  const again = it.sidecar.count('decode_asked', 3)
  it.carryOut({ type: 'send_decode', instanceId: 'sidecar', ask: { ...DECODE, attempt: 2 } })
  await again
  await it.close()
})

test('a sidecar that stops ends an idle relay stream', async () => {
  const it = await setUp(() => [])
  const client = connect(`http://${it.listener.address}`)
  const stream = client.request({ ':method': 'POST', ':path': RELAY_PATH })
  await once(stream, 'response')
  const ended = once(stream.resume(), 'end')
  it.sidecarRuntime.dispatch({ type: 'stop_asked' })
  await ended
  client.destroy()
  await it.close()
})

test('a lost connection ends a stream and a call, the call as reached', async () => {
  const it = await setUp(() => [])
  const asked = Promise.all([it.sidecar.next('decode_asked'), it.sidecar.next('call_asked')])
  it.carryOut({ type: 'send_decode', instanceId: 'sidecar', ask: DECODE }, { type: 'send_call', instanceId: 'sidecar', ask: { ...CALL, requestId: 'call' } })
  await asked
  const lost = Promise.all([it.entry.next('decode_ended'), it.entry.next('call_replied'), it.sidecar.next('cancel_asked')])
  await it.listener.close()
  const [ended, replied] = await lost
  assert.equal((ended as { end: unknown }).end, { type: 'failed', reason: 'upstream_unreachable', kvLost: false })
  assert.equal((replied as { reply: unknown }).reply, { type: 'unreachable', reached: true })
  await it.close()
})

test('a call to a process that is gone did not reach it', async () => {
  const it = await setUp(() => [])
  const replied = it.entry.next('call_replied')
  it.carryOut({ type: 'send_call', instanceId: 'other', ask: CALL })
  assert.equal((await replied as { reply: unknown }).reply, { type: 'unreachable', reached: false })
  const refused = it.entry.next('reserve_replied')
  it.carryOut({ type: 'send_reserve', instanceId: 'not-listed', ask: RESERVE })
  assert.equal((await refused as { reply: unknown }).reply, { type: 'unreachable' })
  await it.close()
})

test('a call that a closing connection refused was not processed', async () => {
  const server = createServer().on('stream', (stream) => {
    stream.on('error', () => {})
    stream.close(constants.NGHTTP2_REFUSED_STREAM)
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const it = await setUp(() => [], `127.0.0.1:${(server.address() as AddressInfo).port}`)
  const replied = it.entry.next('call_replied')
  it.carryOut({ type: 'send_call', instanceId: 'other', ask: CALL })
  assert.equal((await replied as { reply: unknown }).reply, { type: 'unreachable', reached: false })
  await it.close()
  server.close()
})

// An end that lacks the load of its sidecar was noted as the end of its decode and then refused:
// the request got no end at all and waited for its deadline.
test('a decode whose end can not be read has failed', async () => {
  const end = toBinary(RelayResponseSchema, create(RelayResponseSchema, { items: [{ channel: 1, end: { finished: true, tokenCount: 0 } }] }))
  const server = createServer().on('stream', (stream) => {
    stream.on('error', () => {})
    stream.respond({ ':status': 200, 'content-type': 'application/connect+proto' })
    stream.once('data', () => stream.write(encodeEnvelope(0, end)))
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const it = await setUp(() => [], `127.0.0.1:${(server.address() as AddressInfo).port}`)
  const ended = it.entry.next('decode_ended')
  it.carryOut({ type: 'send_decode', instanceId: 'other', ask: DECODE })
  const event = await Promise.race([ended, pause(1_000)])
  assert.equal((event as { end: unknown } | undefined)?.end, { type: 'failed', reason: 'upstream_unreachable', kvLost: false })
  await it.close()
  server.close()
})

test('a renewal brings the requests that the sidecar lost, an empty one its load', async () => {
  const it = await setUp(() => [])
  const refused = it.entry.next('leases_refused')
  it.carryOut({ type: 'send_renewal', instanceId: 'sidecar', requestIds: ['held', 'lost'] })
  assert.equal((await refused as { requestIds: unknown }).requestIds, ['lost'])
  assert.not(it.entry.events.some((event) => event.type === 'load_seen'))
  const seen = it.entry.next('load_seen')
  it.carryOut({ type: 'send_renewal', instanceId: 'sidecar', requestIds: [] })
  assert.equal((await seen as { load: unknown }).load, LOAD)
  assert.equal(it.sidecar.events.map((event) => event.type), ['entry_connected', 'leases_renewed', 'leases_renewed'])
  await it.close()
})

test('a connection reports its entry, its heartbeats and at both ends that it closed', async () => {
  const it = await setUp(() => [])
  const connected = it.sidecar.next('entry_connected')
  it.carryOut({ type: 'send_heartbeat', instanceId: 'sidecar' }, { type: 'send_renewal', instanceId: 'sidecar', requestIds: [] })
  const { atMs: _, type, ...name } = await connected as Extract<Event, { type: 'entry_connected' }>
  assert.is(name.entryIncarnation, incarnationDigest('1'))
  const beat = it.sidecar.next('entry_heartbeat')
  it.carryOut({ type: 'send_heartbeat', instanceId: 'sidecar' })
  const { atMs, ...heartbeat } = await beat
  assert.equal(heartbeat, { type: 'entry_heartbeat', ...name })
  const closed = Promise.all([it.sidecar.next('entry_lost'), it.entry.next('sidecar_disconnected')])
  await it.listener.close()
  const [lost, disconnected] = await closed
  assert.equal([lost, disconnected].map(({ atMs, ...event }) => event), [{ type: 'entry_lost', ...name }, { type: 'sidecar_disconnected', instanceId: 'sidecar' }])
  await it.close()
})

test('a connection without heartbeats is that of no entry', async () => {
  const it = await setUp(() => [])
  const peer = connect(`http://${it.listener.address}`)
  await new Promise<void>((resolve) => peer.ping(() => resolve()))
  const closed = once(peer, 'close')
  peer.close()
  await closed
  await it.close()
  assert.equal(it.sidecar.events, [])
})

test.run()
