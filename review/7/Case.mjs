/**
 * A replica crashes, starts again under its id and asks for a pause with 503 and `Retry-After` before its registration
 * has reached the entry. Nothing may reach it from that entry until the pause is over.
 */
import { HAS_TROUBLE, answer, loopback, openRecord, registration, runCase, sendRaw, sleep, smallConfig, startProgram, startRawServer, startStore } from '../standins-2/Fleet.mjs'

const RETRY_AFTER_S = 8
const DOWN_MS = 300
const HEARTBEAT_MS = 1_200
const CALL_INTERVAL_MS = 20
const WORK_MS = 60
const GRACE_MS = 500
const ALLOWED = 2
const STAMP = '3e1b.07.5a2.600.0.c9f2a4d1'
const record = openRecord(new URL('record.txt', import.meta.url))

async function startReplica (store, index) {
  const id = `i-7f3a91c${index}`
  const replica = { id, arrivals: [], born: 0, seq: 0, askedAtMs: undefined, mayAsk: false }
  let server
  function register () {
    replica.seq += 1
    store.write(`servers/${id}`, { ...registration(replica.address, { service: 'visionneuse', seq: replica.seq }), born: replica.born })
    if (replica.seq === 1) record(`replica ${id} registers: born ${replica.born}`)
  }
  replica.start = async (firstHeartbeatMs) => {
    server = await startRawServer(loopback(31 + index), ({ headers, path }, socket) => {
      const own = { 'X-Request-Id': headers['x-request-id'], 'X-Response-Stamp': STAMP, 'X-Instance-Id': id }
      if (headers['x-expect-instance'] !== id) return answer(socket, 421, own, '')
      const atMs = performance.now()
      replica.arrivals.push({ id: headers['x-request-id'], atMs })
      if (replica.mayAsk) {
        replica.mayAsk = false
        replica.askedAtMs = atMs
        record(`replica ${id}: ${headers['x-request-id']} ${path} is answered 503, X-Not-Executed, Retry-After: ${RETRY_AFTER_S}`)
        return answer(socket, 503, { 'X-Request-Id': headers['x-request-id'], 'X-Not-Executed': '1', 'Retry-After': String(RETRY_AFTER_S) }, '')
      }
      setTimeout(() => answer(socket, 200, own, 'y'.repeat(800)), WORK_MS)
    }, Number(replica.address?.split(':')[1] ?? 0))
    replica.address = server.address
    replica.born = Date.now()
    replica.seq = 0
    record(`replica ${id} starts: born ${replica.born}`)
    setTimeout(() => {
      register()
      replica.heartbeats = setInterval(register, HEARTBEAT_MS)
    }, firstHeartbeatMs)
  }
  replica.stop = () => {
    clearInterval(replica.heartbeats)
    server.close()
    record(`replica ${id} has ended`)
  }
  await replica.start(0)
  return replica
}

function startCalls (entry) {
  const calls = []
  const timer = setInterval(() => {
    const id = `c${String(calls.length).padStart(5, '0')}`
    calls.push({ id, channel: sendRaw(entry.address, `POST /tile/2f HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntile`) })
  }, CALL_INTERVAL_MS)
  return { calls, stop: () => clearInterval(timer) }
}

await runCase(async () => {
  const store = await startStore(loopback(1))
  store.write('op/config', smallConfig())
  await startReplica(store, 0)
  const replica = await startReplica(store, 1)
  const entry = await startProgram('entry', { ip: loopback(2), name: 'edge-levis-1', store })
  await sleep(1_000)
  const load = startCalls(entry)
  await sleep(3_000)
  if (HAS_TROUBLE) {
    replica.stop()
    await sleep(DOWN_MS)
    await replica.start(HEARTBEAT_MS)
  }
  replica.mayAsk = true
  await sleep(12_000)
  load.stop()
  await sleep(1_600)
  if (replica.askedAtMs === undefined) throw new Error('nothing reached the replica after its start')
  const late = replica.arrivals.filter(({ atMs }) => atMs > replica.askedAtMs + GRACE_MS && atMs < replica.askedAtMs + RETRY_AFTER_S * 1_000)
  record(`replica ${replica.id}: ${late.length} requests reached it between ${GRACE_MS} ms after its answer and the end of the ${RETRY_AFTER_S} s; ${ALLOWED} allowed`)
  for (const { atMs, id } of late.slice(0, 6)) record(`replica ${replica.id}: ${id} after ${Math.round(atMs - replica.askedAtMs)} ms`)
  const statuses = {}
  for (const { channel } of load.calls) statuses[channel.text.slice(9, 12)] = (statuses[channel.text.slice(9, 12)] ?? 0) + 1
  record(`callers: ${load.calls.length} calls, answers by status ${JSON.stringify(statuses)}`)
  return late.length <= ALLOWED
}, record)
