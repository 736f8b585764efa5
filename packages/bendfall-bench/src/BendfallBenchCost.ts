/**
 * Time for a decision at an entry with many replicas in its state. Sidecars
 * are stood in for by answers that grant and serve everything at once.
 *
 * @module
 */
import type { Effect, Event, LoadView, Reducer, State } from 'bendfall-core'
import { CADASTRE } from './BendfallBenchDeployment.js'
import type { Deployment } from './BendfallBenchDeployment.js'
import type { Fact } from './BendfallBenchEngineSink.js'
import { createConfig, createInstances } from './BendfallBenchFleet.js'
import { createTimes } from './BendfallBenchTimes.js'
import type { TimeSummary } from './BendfallBenchTimes.js'
import type { Policy } from './BendfallBenchPolicies.js'
import { createArrivals } from './BendfallBenchWorkload.js'
import type { LanguageArrival } from './BendfallBenchWorkload.js'

/** Replicas in state, half of them prefill and half decode. */
export const COST_REPLICAS = [50, 125, 250, 500, 1000] as const

/** Events that take a decision; the others only follow one up. */
const DECIDING: ReadonlySet<Event['type']> = new Set(['language_request_arrived', 'reserve_replied', 'prefill_replied'])

/** Requests between arrival and end: a few seconds' worth of an entry's traffic. */
const OPEN_REQUESTS = 100
/** Requests for the compiler to settle, not measured. */
const WARM_UP_REQUESTS = 1_000
const MEASURED_REQUESTS = 3_000
const REQUESTS_PER_SECOND = 27
const SEED = 1
const LEASE_MS = 5_000
const ENTRY_ID = 'entry-1'

/** Cost with a number of replicas in state. */
export interface Cost {
  readonly replicas: number
  readonly decision: TimeSummary
}

interface Bench {
  readonly reducer: Reducer
  readonly note: (type: Event['type'], elapsedMs: number) => void
  /** Answers on their way, oldest first. */
  readonly queue: Fact[]
  readonly byId: ReadonlyMap<string, LanguageArrival>
  state: State
  atMs: number
}

/**
 * Measures the time for a decision.
 *
 * @param policy - the decision logic
 * @param replicas - replicas in state
 * @returns the cost
 */
export function measureCost (policy: Policy, replicas: number): Cost {
  const deployment: Deployment = { ...CADASTRE, prefillReplicas: replicas / 2, decodeReplicas: replicas / 2 }
  const endMs = (WARM_UP_REQUESTS + MEASURED_REQUESTS) / REQUESTS_PER_SECOND * 1000
  const arrivals = createArrivals({ deployment, seed: SEED, languagePerSecond: REQUESTS_PER_SECOND, callsPerSecond: 1, endMs })
  const language = arrivals.filter((arrival) => arrival.kind === 'language')
  const times = createTimes()
  let isMeasuring = false
  const bench: Bench = {
    reducer: policy.createReducer(),
    note: (type, elapsedMs) => { if (isMeasuring && DECIDING.has(type)) times.record(elapsedMs) },
    queue: [],
    byId: new Map(language.map((arrival) => [arrival.request.requestId, arrival])),
    state: policy.createState({ instanceId: ENTRY_ID, incarnation: '1', availabilityZone: deployment.availabilityZones[0], role: 'entry', pool: '' }, SEED),
    atMs: 0
  }
  learnFleet(bench, deployment)
  for (const [index, arrival] of language.entries()) {
    isMeasuring = index >= WARM_UP_REQUESTS
    bench.atMs = arrival.atMs
    dispatch(bench, { type: 'language_request_arrived', request: arrival.request })
    answerUntilOpen(bench)
  }
  return { replicas, decision: times.summarize() }
}

function learnFleet (bench: Bench, deployment: Deployment): void {
  const instances = createInstances(deployment)
  dispatch(bench, { type: 'config_learned', config: createConfig(deployment) })
  dispatch(bench, { type: 'instances_listed', instances })
  for (const { instanceId } of instances) dispatch(bench, { type: 'load_seen', instanceId, load: idleLoad(deployment) })
}

function idleLoad ({ engine }: Deployment): LoadView {
  return {
    freeKvBytes: engine.decodeKvBytes,
    totalKvBytes: engine.decodeKvBytes,
    activeRequests: 0,
    queuedPrefillTokens: 0,
    urgentPrefillTokens: 0,
    prefillTokensPerSecond: engine.prefillTokensPerSecond,
    stepMs: engine.stepBaseMs,
    readyInMs: 0,
    draining: false,
    configVersion: 1
  }
}

function dispatch (bench: Bench, fact: Fact): void {
  const event = { ...fact, atMs: bench.atMs } as Event
  const startedAtMs = performance.now()
  const step = bench.reducer(bench.state, event)
  bench.note(event.type, performance.now() - startedAtMs)
  bench.state = step.state
  for (const effect of step.effects) bench.queue.push(...answersTo(bench, effect))
}

function answerUntilOpen (bench: Bench): void {
  while (bench.queue.length > OPEN_REQUESTS) dispatch(bench, bench.queue.shift() as Fact)
}

/** What a fleet with room for all would answer. */
function answersTo (bench: Bench, effect: Effect): Fact[] {
  if (effect.type === 'set_timer' && effect.timer.kind === 'prefill_start') return [{ type: 'timer_fired', timer: effect.timer }]
  if (effect.type !== 'send_reserve' && effect.type !== 'send_prefill' && effect.type !== 'send_decode') return []
  const { instanceId } = effect
  const { requestId, attempt } = effect.ask
  const name = { requestId, attempt, instanceId }
  const load = idleLoad(CADASTRE)
  const seen: Fact = { type: 'load_seen', instanceId, load }
  if (effect.type === 'send_reserve') {
    return [seen, { type: 'reserve_replied', ...name, reply: { type: 'granted', readyInMs: 0, leaseMs: LEASE_MS, fencingToken: 1, load } }]
  }
  if (effect.type === 'send_prefill') {
    const kvBytes = effect.ask.promptTokens * CADASTRE.engine.kvBytesPerToken
    const evictsInMs = CADASTRE.engine.resultLifeMs
    return [seen, { type: 'prefill_replied', ...name, reply: { type: 'done', handle: `${instanceId}/${requestId}/${attempt}`, exportUrl: instanceId, kvBytes, cachedTokens: 0, evictsInMs, load } }]
  }
  const tokens = Array.from({ length: bench.byId.get(requestId)?.outputTokens ?? 1 }, () => 't')
  return [
    { type: 'tokens_arrived', ...name, index: 0, tokens },
    seen,
    { type: 'decode_ended', ...name, end: { type: 'finished', tokenCount: tokens.length, load } }
  ]
}
