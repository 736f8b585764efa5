/**
 * Entry point of `npm run demo`: runs streamed chat completions and a booking
 * through a fleet of separate processes on loopback, and prints the timeline.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { Intent } from 'bendfall-core'
import { createConnections, formatTimeline, mergeTimelines } from 'bendfall-node'
import { callService, streamChat } from './BendfallFakesDemoCalls.js'
import type { StreamedResponse } from './BendfallFakesDemoCalls.js'
import { confirmIntent } from './BendfallFakesDemoOperator.js'
import { startFleet, waitUntilHomesHeld, waitUntilInForce } from './BendfallFakesDemoSetup.js'
import type { Fleet, FleetPlan } from './BendfallFakesDemoSetup.js'

const MODEL = 'tender-digest'
const SERVICE_POOL = 'freight'
const CLIENT = 'jadranka-dispatch'
const ZONES = ['split-hall-a', 'split-hall-b'] as const
const LONG_PROMPT_CHARS = 24_000
const SUMMARY_TOKENS = 300
const CONNECT_TIMEOUT_MS = 2_000

const FLEET: FleetPlan = {
  upstreams: ZONES.flatMap((availabilityZone, index) => [
    { instanceId: `prefill-${index + 1}`, availabilityZone, pool: 'digest-prefill', kind: 'engine', options: { prefillTokensPerSecond: 20_000 } },
    { instanceId: `decode-${index + 1}`, availabilityZone, pool: 'digest-decode', kind: 'engine', options: { totalKvBytes: 4_000_000_000, stepMs: 5 } },
    { instanceId: `freight-${index + 1}`, availabilityZone, pool: SERVICE_POOL, kind: 'service', options: {} }
  ] as const),
  entries: ZONES.map((availabilityZone, index) => ({ instanceId: `entry-${index + 1}`, availabilityZone }))
}

const INTENT: Intent = {
  classes: { interactive: { firstOutputMs: 2_000, stepMs: 50 }, summary: { firstOutputMs: 10_000, stepMs: 100 } },
  models: { [MODEL]: { version: '1', adapters: [], kvBytesPerToken: 100_000, weightBytes: 1_000_000_000 } },
  pools: {
    'digest-prefill': { role: 'prefill', model: MODEL, replicas: 2 },
    'digest-decode': { role: 'decode', model: MODEL, replicas: 2 },
    [SERVICE_POOL]: { role: 'service', replicas: 2 }
  },
  routes: [{ pathPrefix: '/freight', pool: SERVICE_POOL, trafficClass: 'interactive', repeatableMethods: ['GET'] }],
  clients: { [CLIENT]: { shareWeight: 1 } },
  links: [{ from: ZONES[0], to: ZONES[1], bytesPerSecond: 1_000_000_000 }],
  withdrawn: []
}

async function main (): Promise<void> {
  const startedAtMs = performance.now()
  const fleet = await startFleet(FLEET)
  try {
    const { planText, confirmText, version } = await confirmIntent(fleet, INTENT)
    print('plan', planText)
    print('confirmation', confirmText)
    await waitUntilInForce(fleet, version)
    const addresses = fleet.entries.map(({ process }) => process.listening.callers)
    await Promise.all([waitUntilHomesHeld(fleet, SERVICE_POOL), runChats(addresses)])
    await runBooking(addresses)
  } finally {
    print('timeline', await readTimeline(fleet))
    await fleet.stop()
  }
  print('done', `all processes exited with code 0 after ${Math.round(performance.now() - startedAtMs)} ms`)
}

async function runChats ([first, second]: readonly string[]): Promise<void> {
  const prompt = 'Tender 4711, Ploče to Bari, 22 pallets of olive oil. '.repeat(LONG_PROMPT_CHARS / 50)
  const summary = await streamChat(first, { model: MODEL, prompt, maxTokens: SUMMARY_TOKENS, trafficClass: 'summary', client: CLIENT })
  printStream('summary, streamed', summary)
  const short = await streamChat(second, { model: MODEL, prompt: 'Rate of lane Split to Ancona?', maxTokens: 12, trafficClass: 'interactive', client: CLIENT })
  printStream('interactive, streamed', short)
}

async function runBooking ([first, second]: readonly string[]): Promise<void> {
  const booking = { method: 'POST', path: '/freight/bookings', body: { truck: 'ST-204-KV', quay: 3 }, idempotencyKey: randomUUID(), keyIssuedAtMs: Date.now(), client: CLIENT } as const
  const booked = await callService(first, booking)
  print('booking, non-idempotent', `status ${booked.status} ${booked.body}`)
  const repeated = await callService(second, booking)
  print('same booking, repeated through the other entry', `status ${repeated.status} ${repeated.body}`)
  if (booked.status !== 200 || repeated.body !== booked.body) throw new Error('the booking failed, or its repetition returned a different response')
}

function printStream (title: string, response: StreamedResponse): void {
  if (!response.isComplete) throw new Error(`${title}: status ${response.status} ${response.refusal}`)
  const { text, chunkCount, firstOutputMs, totalMs } = response
  print(title, `${text}\n(${chunkCount} chunks, first after ${Math.round(firstOutputMs)} ms, last after ${Math.round(totalMs)} ms)`)
}

async function readTimeline (fleet: Fleet): Promise<string> {
  const connections = createConnections(CONNECT_TIMEOUT_MS)
  const responses = await Promise.all([...fleet.entries, ...fleet.sidecars].map(({ record }) => connections.to(record.address).peer.timeline({})))
  connections.close()
  return formatTimeline(mergeTimelines(responses.flatMap((response) => response.events)))
}

function print (title: string, text: string): void {
  console.log(`== ${title}\n${text}`)
}

await main()
