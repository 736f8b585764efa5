/**
 * End-to-end bench across processes on loopback (`npm run bench:path`): measures
 * the latency that bendfall adds to a direct call, and the tokens relayed per
 * second of CPU time.
 *
 * @module
 */
import { readFile } from 'node:fs/promises'
import type { Intent } from 'bendfall-core'
import { createHttpEngine } from 'bendfall-upstream'
import { request } from 'undici'
import { streamChat } from './BendfallFakesDemoCalls.js'
import { confirmIntent } from './BendfallFakesDemoOperator.js'
import type { ListeningProcess } from './BendfallFakesDemoProcess.js'
import { startFleet, waitUntilInForce } from './BendfallFakesDemoSetup.js'
import type { Fleet, FleetPlan, UpstreamPlan } from './BendfallFakesDemoSetup.js'

const MODEL = 'bench'
const CLIENT = 'bench'
const ZONE = 'zone-a'
const PROMPT = 'Rate of lane Split to Ancona?'
const WARM_UP_CALLS = 200
const MEASURED_CALLS = 1_000
const DECODE_ENGINES = 4
const STREAMS = 200
const STREAM_TOKENS = 250
const STEP_MS = 10
const RELAY_ROUNDS = 3
const TAIL_CHARS = 400
const MS_PER_CPU_TICK = 10

const ENGINE = { prefillTokensPerSecond: 1_000_000, totalKvBytes: 1e15, evictsInMs: 10_000, progressMs: 1, stepMs: STEP_MS }

const FLEET: FleetPlan = {
  upstreams: [
    engine('prefill-1', 'prefill'),
    ...Array.from({ length: DECODE_ENGINES }, (_, index) => engine(`decode-${index + 1}`, 'decode')),
    { instanceId: 'service-1', availabilityZone: ZONE, pool: 'service', kind: 'service', options: {} }
  ],
  entries: [{ instanceId: 'entry-1', availabilityZone: ZONE }]
}

const INTENT: Intent = {
  classes: { interactive: { firstOutputMs: 30_000, stepMs: 1_000 }, summary: { firstOutputMs: 30_000, stepMs: 1_000 } },
  models: { [MODEL]: { version: '1', adapters: [], kvBytesPerToken: 100_000, weightBytes: 1 } },
  pools: {
    prefill: { role: 'prefill', model: MODEL, replicas: 1 },
    decode: { role: 'decode', model: MODEL, replicas: DECODE_ENGINES },
    service: { role: 'service', replicas: 1 }
  },
  routes: [{ pathPrefix: '/rates', pool: 'service', trafficClass: 'interactive', repeatableMethods: ['GET'] }],
  clients: {},
  links: [],
  withdrawn: []
}

/** Makes one call, direct or routed; resolves to its latency in milliseconds. */
type Call = (index: number) => Promise<number>

function engine (instanceId: string, pool: string): UpstreamPlan {
  return { instanceId, availabilityZone: ZONE, pool, kind: 'engine', options: ENGINE }
}

async function main (): Promise<void> {
  const fleet = await startFleet(FLEET)
  try {
    const { version } = await confirmIntent(fleet, INTENT)
    await waitUntilInForce(fleet, version)
    await measureService(fleet)
    await measureFirstOutput(fleet)
    for (let round = 1; round <= RELAY_ROUNDS; round += 1) await measureRelay(fleet, round)
  } finally {
    await fleet.stop()
  }
}

async function measureService (fleet: Fleet): Promise<void> {
  const direct = urlOf(fleet, 'service-1')
  const routed = `http://${callerAddress(fleet)}`
  await compare('plain service, complete response', () => timeGet(`${direct}/rates/1`), () => timeGet(`${routed}/rates/1`))
}

async function timeGet (url: string): Promise<number> {
  const startedAtMs = performance.now()
  const response = await request(url)
  await response.body.dump()
  if (response.statusCode !== 200) throw new Error(`unexpected status ${response.statusCode}`)
  return performance.now() - startedAtMs
}

async function measureFirstOutput (fleet: Fleet): Promise<void> {
  const prefill = createHttpEngine({ origin: urlOf(fleet, 'prefill-1') })
  const decode = createHttpEngine({ origin: urlOf(fleet, 'decode-1') })
  const direct: Call = async (index) => {
    const { signal } = new AbortController()
    const ref = { requestId: `direct-${index}`, attempt: 1, model: MODEL, prompt: PROMPT, priority: 0 }
    const startedAtMs = performance.now()
    const done = await prefill.prefill({ ...ref, promptTokens: 9, prefixHashes: [] }, signal)
    if (done.type === 'failed') throw new Error(done.detail)
    await decode.importKv({ ...ref, ...done }, () => {}, signal)
    let firstOutputMs = 0
    await decode.decode({ ...ref, maxOutputTokens: 1, resumeTokens: [] }, () => { firstOutputMs ||= performance.now() - startedAtMs }, signal)
    await decode.cancel(ref)
    return firstOutputMs
  }
  const routed: Call = async () => {
    const response = await streamChat(callerAddress(fleet), { model: MODEL, prompt: PROMPT, maxTokens: 1, trafficClass: 'interactive', client: CLIENT })
    if (!response.isComplete) throw new Error(response.refusal)
    return response.firstOutputMs
  }
  await compare('chat, first output (prefill, transfer, one step)', direct, routed)
  await Promise.all([prefill.close(), decode.close()])
}

async function compare (name: string, direct: Call, routed: Call): Promise<void> {
  for (let index = 0; index < WARM_UP_CALLS; index += 1) {
    await direct(-index - 1)
    await routed(-index - 1)
  }
  const directMs: number[] = []
  const routedMs: number[] = []
  for (let index = 0; index < MEASURED_CALLS; index += 1) {
    directMs.push(await direct(index))
    routedMs.push(await routed(index))
  }
  const row = (share: number): string => {
    const [baselineMs, viaRouterMs] = [quantile(directMs, share), quantile(routedMs, share)]
    return `direct ${baselineMs.toFixed(2)} ms, routed ${viaRouterMs.toFixed(2)} ms, added ${(viaRouterMs - baselineMs).toFixed(2)} ms`
  }
  console.log(`${name} (${MEASURED_CALLS} calls each, alternating)\n  p50: ${row(0.5)}\n  p99: ${row(0.99)}`)
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]
}

async function measureRelay (fleet: Fleet, round: number): Promise<void> {
  const entries = fleet.entries.map(({ process }) => process)
  const sidecars = fleet.sidecars.filter(({ record }) => record.pool === 'decode').map(({ process }) => process)
  const before = await Promise.all([cpuMs(entries), cpuMs(sidecars)])
  const startedAtMs = performance.now()
  const outcomes = await Promise.all(Array.from({ length: STREAMS }, () => drainStream(callerAddress(fleet))))
  const wallMs = performance.now() - startedAtMs
  const after = await Promise.all([cpuMs(entries), cpuMs(sidecars)])
  const refusals = outcomes.filter((outcome) => outcome !== '')
  const tokens = (STREAMS - refusals.length) * STREAM_TOKENS
  const perCpuSecond = (usedMs: number): number => Math.round(tokens / usedMs * 1_000)
  const [entryMs, sidecarsMs] = [after[0] - before[0], after[1] - before[1]]
  console.log(`relay, round ${round}: ${tokens} tokens, ${STREAMS} streams of one token every ${STEP_MS} ms, ${Math.round(tokens / wallMs * 1_000)} tokens/s`)
  console.log(`  tokens per CPU second: entry ${perCpuSecond(entryMs)}, sidecars ${perCpuSecond(sidecarsMs)}, combined ${perCpuSecond(entryMs + sidecarsMs)}`)
  if (refusals.length > 0) console.log(`  ${refusals.length} of ${STREAMS} streams failed, the first with: ${refusals[0]}`)
}

/** Reads a stream to its end; returns an empty text on success, otherwise the status and the last characters received. */
async function drainStream (address: string): Promise<string> {
  const response = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'bendfall-class': 'summary' },
    body: JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: PROMPT }], max_tokens: STREAM_TOKENS, stream: true })
  })
  let tail = ''
  for await (const chunk of response.body) tail = `${tail}${chunk}`.slice(-TAIL_CHARS)
  return tail.includes('[DONE]') ? '' : `${response.statusCode} ${tail}`
}

async function cpuMs (processes: readonly ListeningProcess[]): Promise<number> {
  const times = await Promise.all(processes.map(({ pid }) => readCpuMs(pid)))
  return times.reduce((sum, timeMs) => sum + timeMs, 0)
}

// Fields 14 and 15 of the file are the user and system time of the process in clock ticks.
async function readCpuMs (pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_CPU_TICK
}

function urlOf (fleet: Fleet, instanceId: string): string {
  return fleet.upstreams.get(instanceId)?.listening.url ?? ''
}

function callerAddress (fleet: Fleet): string {
  return fleet.entries[0].process.listening.callers
}

await main()
