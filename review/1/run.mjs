/**
 * For 5.5 s, one of three plain replicas spoils every fiftieth of its answers: the first digit of the status is wrong, as
 * after one flipped bit. Callers of two entries send rate lookups and booking confirmations all the while.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { loopbackIp } from '../standins/addresses.mjs'
import { createCaller } from '../standins/caller.mjs'
import { CONFIG, HOST, KINDS, PLAIN_REPLICA, registrationOf, ROUTE_TIMEOUT_MS, TIME_BUDGET_MS } from '../standins/deployment.mjs'
import { startEntry } from '../standins/process.mjs'
import { startReplica } from '../standins/replica.mjs'
import { runScript } from '../standins/script.mjs'
import { startStore } from '../standins/store.mjs'

const ENTRIES = 2
const REPLICAS = 3

/** One answer in fifty of one replica in three, for 5.5 s: the dose of `garble` on the sheet (share 0.35, x 0.02, 5.5 s). */
const SPOILED_EVERY = 50
const SPOIL_FROM_MS = 4_000
const SPOIL_MS = 5_500

/** 60 calls a second, so that each replica answers 50 of them well within that time. */
const CALLERS = 60
const CALL_INTERVAL_MS = 1_000

const PLAY_MS = 20_000

/** The rule counts answers that are missing this long after the route's timeout. */
const GRACE_MS = 500

const MIN_UNANSWERED = 8
const MAX_UNANSWERED_SHARE = 0.25

// '2' and '0' differ in one bit.
const spoilStatus = (head) => head.replace('HTTP/1.1 200', 'HTTP/1.1 000')

await runScript(new URL('record.txt', import.meta.url), async ({ folder, hasTrouble, onEnd, record }) => {
  const store = await startStore(loopbackIp(1))
  onEnd(store.close)
  store.put('op/config', CONFIG)
  let spoilFromMs = Infinity
  const isSpoiling = () => performance.now() >= spoilFromMs && performance.now() < spoilFromMs + SPOIL_MS
  // The replica that first has enough answers to spoil one; the others spoil none.
  let faultyId
  for (let i = 0; i < REPLICAS; i++) {
    const id = `i-app-${i}`
    let answersInTime = 0
    const spoil = (head) => {
      if (!hasTrouble || !isSpoiling()) return head
      answersInTime += 1
      if (answersInTime === SPOILED_EVERY) faultyId ??= id
      return faultyId === id && answersInTime % SPOILED_EVERY === 0 ? spoilStatus(head) : head
    }
    const replica = await startReplica({
      ...PLAIN_REPLICA,
      host: loopbackIp(20 + i),
      id,
      spoil,
      onEvent: (event, requestId) => record.add(event, { request: requestId, replica: id })
    })
    onEnd(replica.close)
    store.put(`servers/${id}`, registrationOf(replica))
  }
  const entries = []
  for (let i = 0; i < ENTRIES; i++) {
    const entry = await startEntry({ folder, name: `edge-${i}`, ip: loopbackIp(2 + i), storeAddress: store.address })
    onEnd(entry.kill)
    entries.push(entry)
    record.add('ready', { entry: entry.name })
  }

  spoilFromMs = performance.now() + SPOIL_FROM_MS
  const calls = await playCalls(entries, record, onEnd)
  for (const entry of entries) record.add('probed', { entry: entry.name, status: await entry.probe(), ended: entry.ended() })
  const lasting = calls.filter(({ durationMs }) => durationMs > ROUTE_TIMEOUT_MS)
  const unanswered = lasting.filter(({ durationMs }) => durationMs > ROUTE_TIMEOUT_MS + GRACE_MS)
  record.add('counted', { calls: calls.length, lasting: lasting.length, unanswered: unanswered.length })
  return unanswered.length >= MIN_UNANSWERED && unanswered.length > MAX_UNANSWERED_SHARE * lasting.length
})

async function playCalls (entries, record, onEnd) {
  const calls = []
  const endMs = performance.now() + PLAY_MS

  async function playCaller (index) {
    const entry = entries[index % entries.length]
    const caller = createCaller({ host: entry.ip, port: entry.callersPort })
    onEnd(caller.close)
    await sleep(index * CALL_INTERVAL_MS / CALLERS)
    for (let count = 0; performance.now() < endMs; count++) {
      const kind = (index * 7 + count * 3) % 10 < 10 * KINDS['rate-lookup'].share ? 'rate-lookup' : 'booking-confirm'
      const { method, path } = KINDS[kind]
      const requestId = `c${index}-${count}`
      record.add('sent', { request: requestId, kind, entry: entry.name })
      const answer = await caller.send({ method, path: `${path}/${requestId}`, body: method === 'POST' ? Buffer.from(`booking ${requestId}`) : undefined, headers: { host: HOST, 'x-request-id': requestId, 'x-deadline-ms': TIME_BUDGET_MS }, giveUpMs: TIME_BUDGET_MS })
      // A caller that gives up has had no answer so far.
      const durationMs = (answer.endedMs ?? Infinity) - answer.sentMs
      record.add(answer.type, { request: requestId, status: answer.status, ms: Math.round(durationMs) })
      calls.push({ requestId, durationMs })
      await sleep(Math.max(0, CALL_INTERVAL_MS - durationMs))
    }
  }

  await Promise.all(Array.from({ length: CALLERS }, (_, index) => playCaller(index)))
  return calls
}
