/**
 * A replica starts while the time of day of its machine is ahead, and starts again under its id once the time is right,
 * so that the `born` of its second start is the smaller one. Later it reports that it is draining.
 */
import { HAS_TROUBLE, answer, loopback, openRecord, registration, runCase, sendRaw, sleep, smallConfig, startProgram, startRawServer, startStore } from '../standins-2/Fleet.mjs'

const DRAIN_MS = 2_000
/** How much longer than `drain-ms` the replica serves. */
const LINGER_MS = 1_500
const CLOCK_AHEAD_MS = HAS_TROUBLE ? 2_400 : 0
const UP_MS = 1_000
const DOWN_MS = 700
const HEARTBEAT_MS = 1_200
const CALL_INTERVAL_MS = 20
const WORK_MS = 60
const STAMP = '3e1b.07.5a2.600.0.c9f2a4d1'
const record = openRecord(import.meta.url)

async function startReplica (store, index, aheadMs) {
  const id = `i-7f3a91c${index}`
  const replica = { id, arrivals: [], state: 'ready', born: 0, seq: 0 }
  let server
  let heartbeats
  function register () {
    replica.seq += 1
    store.write(`servers/${id}`, { ...registration(replica.address, { service: 'visionneuse', state: replica.state, seq: replica.seq }), born: replica.born })
  }
  replica.start = async (clockAheadMs) => {
    server = await startRawServer(loopback(31 + index), ({ headers }, socket) => {
      const own = { 'X-Request-Id': headers['x-request-id'], 'X-Response-Stamp': STAMP, 'X-Instance-Id': id }
      if (headers['x-expect-instance'] !== id) return answer(socket, 421, own, '')
      replica.arrivals.push({ id: headers['x-request-id'], atMs: performance.now() })
      setTimeout(() => answer(socket, 200, own, 'y'.repeat(800)), WORK_MS)
    }, Number(replica.address?.split(':')[1] ?? 0))
    replica.address = server.address
    replica.born = Date.now() + clockAheadMs
    replica.state = 'ready'
    replica.seq = 0
    register()
    heartbeats = setInterval(register, HEARTBEAT_MS)
    record(`replica ${id} starts: born ${replica.born}, the clock of its machine is ${clockAheadMs} ms ahead`)
  }
  replica.stop = () => {
    clearInterval(heartbeats)
    server.close()
    record(`replica ${id} has ended`)
  }
  replica.drain = () => {
    replica.state = 'draining'
    register()
    record(`replica ${id}: the store has accepted that it is draining`)
    return performance.now()
  }
  replica.leave = () => {
    replica.stop()
    store.remove(`servers/${id}`)
  }
  await replica.start(aheadMs)
  return replica
}

function startCalls (entry) {
  const calls = []
  let next = 0
  const timer = setInterval(() => {
    const id = `c${String(next++).padStart(5, '0')}`
    calls.push({ id, channel: sendRaw(entry.address, `POST /tile/2f HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntile`) })
  }, CALL_INTERVAL_MS)
  return { calls, stop: () => clearInterval(timer) }
}

await runCase(async () => {
  const store = await startStore(loopback(1))
  store.write('op/config', smallConfig())
  await startReplica(store, 0, 0)
  const entry = await startProgram('entry', { ip: loopback(2), name: 'edge-levis-1', store })
  await sleep(1_000)
  const load = startCalls(entry)
  const replica = await startReplica(store, 2, CLOCK_AHEAD_MS)
  await sleep(UP_MS)
  replica.stop()
  await sleep(DOWN_MS)
  await replica.start(0)
  // Longer than `contact-ms`, so that nothing but the order of the two starts is left of the disruption.
  await sleep(5_000)
  const before = replica.arrivals.length
  const acceptedAtMs = replica.drain()
  await sleep(DRAIN_MS + LINGER_MS)
  replica.leave()
  await sleep(2_000)
  load.stop()
  await sleep(1_600)
  const late = replica.arrivals.filter(({ atMs }) => atMs > acceptedAtMs + DRAIN_MS)
  const statuses = {}
  for (const { channel } of load.calls) {
    const status = channel.text === '' ? 'none' : channel.text.slice(9, 12)
    statuses[status] = (statuses[status] ?? 0) + 1
  }
  record(`replica ${replica.id}: ${before} requests before it was draining, ${late.length} later than ${DRAIN_MS} ms after it${late.length === 0 ? '' : `, the last one after ${Math.round(late.at(-1).atMs - acceptedAtMs)} ms`}`)
  for (const { atMs, id } of late.slice(0, 10)) record(`replica ${replica.id}: ${id} arrived after ${Math.round(atMs - acceptedAtMs)} ms`)
  record(`callers: ${load.calls.length} calls, answers by status ${JSON.stringify(statuses)}`)
  return late.length === 0
}, record)
