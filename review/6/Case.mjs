/**
 * Callers of a burst send bodies of the size that the config permits. The entry reads them into memory without
 * counting them, passes its memory limit, and is killed for it, as the platform does.
 */
import { readFileSync } from 'node:fs'
import { HAS_TROUBLE, answer, loopback, openRecord, registration, runCase, sendRaw, sleep, smallConfig, startProgram, startRawServer, startStore } from '../standins-2/Fleet.mjs'

const MEMORY_MB = 200
// 15 callers of the zone, times the largest burst of the sheet, 2.3.
const CALLERS = 34
/** Rate of the machine's link, 1,000 Mbit/s, which the callers share evenly. */
const LINK_BYTES_PER_MS = 125_000
const CHUNK_BYTES = 65_536
const BODY_BYTES = HAS_TROUBLE ? 4_194_304 : 3_000
const ROUNDS = 3
const MACHINES = 2
const ENDS_ALLOWED = 2
const STAMP = '3e1b.07.5a2.600.0.c9f2a4d1'
const BYTES_PER_KB = 1_024
const record = openRecord(new URL('record.txt', import.meta.url))

// Only the memory that belongs to the process itself, without the files that it has mapped.
function privateMb (pid) {
  const match = /RssAnon:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return match === null ? 0 : Number(match[1]) * BYTES_PER_KB / 1e6
}

// The platform kills a process that exceeds its memory.
function watchMemory (entry) {
  const state = { peakMb: 0, isKilled: false }
  const timer = setInterval(() => {
    try {
      state.peakMb = Math.max(state.peakMb, privateMb(entry.pid))
    } catch {
      return
    }
    if (state.peakMb <= MEMORY_MB || state.isKilled) return
    state.isKilled = true
    entry.signal('SIGKILL')
  }, 10)
  return { state, stop: () => clearInterval(timer) }
}

function send (entry, id) {
  const body = 'x'.repeat(BODY_BYTES)
  const channel = sendRaw(entry.address, `POST /tile/2f HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 2500\r\nContent-Length: ${body.length}\r\n\r\n`)
  let sent = 0
  // The head is written on `connect` by an earlier listener.
  channel.socket.once('connect', () => {
    const startedAtMs = performance.now()
    const timer = setInterval(() => {
      const due = (performance.now() - startedAtMs) * LINK_BYTES_PER_MS / CALLERS
      while (sent < body.length && sent <= due && channel.outcome === 'open') {
        channel.socket.write(body.slice(sent, sent + CHUNK_BYTES))
        sent += CHUNK_BYTES
      }
      if (sent >= body.length || channel.outcome !== 'open') clearInterval(timer)
    }, 5)
  })
  return channel
}

async function playRound (entry, name) {
  const watch = watchMemory(entry)
  const idleMb = privateMb(entry.pid)
  const channels = Array.from({ length: CALLERS }, (_, index) => send(entry, `${name}-${index}`))
  await Promise.race([entry.exited, sleep(4_000)])
  watch.stop()
  const statuses = {}
  for (const { outcome, text } of channels) {
    const status = text === '' ? `none, channel ${outcome}` : text.slice(9, 12)
    statuses[status] = (statuses[status] ?? 0) + 1
  }
  for (const { socket } of channels) socket.destroy()
  record(`${name}: ${CALLERS} callers with ${BODY_BYTES} bytes each; memory ${Math.round(idleMb)} MB before, ${Math.round(watch.state.peakMb)} MB at its peak, limit ${MEMORY_MB} MB; ${watch.state.isKilled ? 'killed for memory' : 'lives'}; answers ${JSON.stringify(statuses)}`)
  return watch.state.isKilled
}

async function playMachine (store, index) {
  const ip = loopback(2 + index)
  const start = () => startProgram('entry', { ip, name: `edge-zadar-hall-${index + 1}`, store, memoryMb: MEMORY_MB })
  let entry = await start()
  let ends = 0
  for (let round = 1; round <= ROUNDS; round++) {
    await sleep(500)
    if (!await playRound(entry, `edge-${index + 1}-round-${round}`)) continue
    ends += 1
    await entry.exited
    if (round < ROUNDS) entry = await start()
  }
  return ends
}

await runCase(async () => {
  const store = await startStore(loopback(1))
  store.write('op/config', smallConfig())
  for (const index of [0, 1, 2]) {
    const id = `i-7f3a91c${index}`
    const replica = await startRawServer(loopback(31 + index), ({ headers, path }, socket) => {
      const own = { 'X-Request-Id': headers['x-request-id'], 'X-Response-Stamp': STAMP, 'X-Instance-Id': id }
      if (headers['x-expect-instance'] !== id) return answer(socket, 421, own, '')
      record(`replica: ${headers['x-request-id']} ${path} runs on ${id}`)
      setTimeout(() => answer(socket, 200, own, 'y'.repeat(800)), 40)
    })
    store.write(`servers/${id}`, registration(replica.address, { service: 'visionneuse' }))
  }
  const ends = await Promise.all(Array.from({ length: MACHINES }, (_, index) => playMachine(store, index)))
  record(`ends for memory, by machine: ${ends.join(', ')}`)
  return ends.some((count) => count <= ENDS_ALLOWED)
}, record)
