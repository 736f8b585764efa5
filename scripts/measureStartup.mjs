// Measures the start of the bundled service, from the start of the process to its log line "started":
// wall time, processor time of all threads, and memory; for the entry, both times also until it has served a
// first request, which is sent at once; then processor time and peak of the memory a second later.
// The role "none" is Node.js itself, which tells how much the load of the machine inflates the times.
// Usage: node scripts/measureStartup.mjs [runs] [bundle]; needs `npm run build` and `npm run bundle`.
import { spawn } from 'node:child_process'
import { request as httpRequest } from 'node:http'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { startFleetReplica } from '../packages/bendfall-fakes/dist/fleet/BendfallFakesFleetReplica.js'
import { startFleetStore } from '../packages/bendfall-fakes/dist/fleet/BendfallFakesFleetStore.js'

const ROOT = new URL('..', import.meta.url).pathname
const RUNS = Number(process.argv[2] ?? 10)
const BUNDLE = process.argv[3] ?? join(ROOT, 'target', 'bendfall.mjs')
const CALLERS_PORT = 17_381
const SETTLE_MS = 1_000
const NS_PER_MS = 1e6
const RETRY_MS = 5
const MAX_SERVE_MS = 10_000

const IDLE_PROGRAM = "setInterval(() => {}, 1000); console.log('event=started')"

// The options of deploy/system.toml.
const OPTIONS = {
  none: ['--max-old-space-size=120', '--max-semi-space-size=4'],
  entry: ['--max-old-space-size=120', '--max-semi-space-size=4'],
  sidecar: ['--max-old-space-size=80', '--max-semi-space-size=2']
}

/** Processor time of all threads. */
function readProcessorMs (pid) {
  const threads = readdirSync(`/proc/${pid}/task`)
  return threads.reduce((sum, thread) => sum + Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]), 0) / NS_PER_MS
}

/** A field of the process's status, in MB. */
function readMemoryMb (pid, field) {
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024
}

/** Sends a request to the entry; returns whether it was served. */
function send (requestId) {
  return new Promise((resolve) => {
    const request = httpRequest({ host: ip, port: CALLERS_PORT, path: '/r/1', agent: false, headers: { host: 'rates.example', 'x-request-id': requestId, 'x-deadline-ms': '1200' } }, (response) => {
      response.once('close', () => resolve(response.complete && response.statusCode === 200)).resume()
    })
    request.once('error', () => resolve(false)).end()
  })
}

/** Sends requests until one is served. */
async function serveFirst () {
  const endMs = performance.now() + MAX_SERVE_MS
  for (let sent = 1; !await send(`first-${sent}`); sent++) {
    if (performance.now() > endMs) throw new Error('the entry served no request')
    await sleep(RETRY_MS)
  }
}

async function measure (role, settingsPath) {
  const startedMs = performance.now()
  const program = role === 'none' ? ['-e', IDLE_PROGRAM] : [BUNDLE, role]
  const child = spawn(process.execPath, [...OPTIONS[role], ...program], { cwd: ROOT, env: { ...process.env, BENDFALL_BOOT: settingsPath } })
  let output = ''
  child.stderr.pipe(process.stderr)
  const result = await new Promise((resolve, reject) => {
    child.once('exit', () => reject(new Error(`${role} ended before it started: ${output}`)))
    child.stdout.on('data', (chunk) => {
      output += chunk
      if (!output.includes('event=started')) return
      child.stdout.removeAllListeners('data').resume()
      resolve({ wallMs: performance.now() - startedMs, processorMs: readProcessorMs(child.pid), rssMb: readMemoryMb(child.pid, 'VmRSS') })
    })
  })
  if (role === 'entry') {
    await serveFirst()
    Object.assign(result, { servedWallMs: performance.now() - startedMs, servedProcessorMs: readProcessorMs(child.pid) })
  }
  await sleep(SETTLE_MS)
  const peakMb = readMemoryMb(child.pid, 'VmHWM')
  const settledProcessorMs = readProcessorMs(child.pid)
  child.removeAllListeners('exit')
  const exit = new Promise((resolve) => { child.once('exit', resolve) })
  child.kill('SIGKILL')
  await exit
  return { ...result, settledProcessorMs, peakMb }
}

function median (values) {
  const sorted = values.toSorted((a, b) => a - b)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}

const directory = mkdtempSync(join(tmpdir(), 'bendfall-startup-'))
const ip = '127.9.9.1'
const store = await startFleetStore(ip)
const replica = await startFleetReplica({ host: '127.9.9.2', replicaId: 'i-plain' })
store.put('op/config', {
  version: 1,
  routes: [{ name: 'rate', host: 'rates.example', 'path-prefix': '/r/', kind: 'idempotent', 'timeout-ms': 1200, 'target-latency-ms': 150, priority: 2, service: 'app', 'max-attempts': 2 }],
  services: [{ name: 'app', 'max-connections': 110 }],
  limits: { 'max-header-bytes': 4096, 'max-body-bytes': 100000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
})
store.put('servers/i-plain', { service: 'app', address: replica.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, seq: 1 })
const settingsPath = join(directory, 'settings.json')
writeFileSync(settingsPath, JSON.stringify({
  instanceId: 'entry-1',
  availabilityZone: 'a',
  ip,
  callersListen: `${ip}:${CALLERS_PORT}`,
  readyListen: `${ip}:17382`,
  replicaAddress: replica.address,
  peerPorts: [17380, 17389],
  keyValueAddress: store.address,
  poolsFile: 'deploy/pools.json',
  stopGraceS: 1
}))
try {
  for (const role of Object.keys(OPTIONS)) {
    const results = []
    for (let run = 0; run < RUNS; run++) results.push(await measure(role, settingsPath))
    const text = Object.keys(results[0]).map((field) => `${field}=${median(results.map((result) => result[field])).toFixed(1)}`)
    console.log(`role=${role} runs=${RUNS} ${text.join(' ')}`)
  }
} finally {
  rmSync(directory, { recursive: true })
  await replica.close()
  await store.close()
}
