import { createRouterState, DEFAULT_DECISIONS, reduceRouter, TICK_MS } from '../../index.js'
import type { BudgetLimits, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { configOf, loadOf, plainRoute, replicaOf, summaryRoute } from './RouterSimulation.js'
import { VirtualTime } from './VirtualTime.js'

/** Scenario of entries that send to replicas which refuse a share of the work, in virtual time. */
export interface RefusalScenario {
  readonly entries: number
  readonly seconds: number
  readonly perSecond: (atMs: number) => number
  /** Share of the prompts and runs that the replicas refuse as not run. */
  readonly refusedShare: (atMs: number) => number
  /** Share for runs, if it differs from that for prompts. */
  readonly refusedRuns?: (atMs: number) => number
  readonly limits: BudgetLimits
  readonly seed: number
}

/** Traffic of one service, counted at its replicas. */
export interface ServiceTraffic {
  /** Arrival times of the requests of callers. */
  readonly requests: readonly number[]
  /** Times of the sends after the first of each request, without the one prefill per request that the budget does not charge. */
  readonly extraSends: readonly number[]
}

/** Result of a scenario. */
export interface RefusalResult {
  readonly prompts: ServiceTraffic
  readonly calls: ServiceTraffic
  readonly asked: number
  readonly repeats: number
  readonly served: number
  readonly promptsProcessed: number
  readonly promptsUsed: number
}

interface Arrival { readonly atMs: number, readonly isFreePrefill: boolean }

const HOP_MS = 2
const PREFILL_MS = 110
const FIRST_EVENT_MS = 25
const RESPONSE_MS = 400
const DRAIN_MS = 4_000

/** Simulates a refusal scenario. Counts what reaches the replicas, independently of the entries' own accounts. */
export function simulateRefusals (scenario: RefusalScenario): RefusalResult {
  return new RefusalSimulation(scenario).simulate()
}

class RefusalSimulation {
  private readonly entries: RouterState[]
  private readonly time: VirtualTime
  private readonly arrivals = new Map<string, Arrival[]>()
  private readonly requests = { prompts: [] as number[], calls: [] as number[] }
  private served = 0
  private promptsProcessed = 0
  private promptsUsed = 0

  constructor (private readonly scenario: RefusalScenario) {
    this.time = new VirtualTime(scenario.seed)
    const replicas = [...['p1', 'p2'].map((id) => replicaOf(id, 'prefill')), ...['d1', 'd2', 'd3', 'd4'].map((id) => replicaOf(id, 'decode')), ...['a1', 'a2', 'a3'].map((id) => replicaOf(id, 'plain'))]
    this.entries = Array.from({ length: scenario.entries }, (_, i) => createRouterState(scenario.seed + i, `entry-${i}`, DEFAULT_DECISIONS, scenario.limits))
    for (let i = 0; i < scenario.entries; i++) {
      this.reduce(i, { type: 'config_learned', atMs: 0, config: configOf(1, [summaryRoute({ maxAttempts: 3, isResumable: true }), plainRoute()]) })
      this.reduce(i, { type: 'replicas_changed', atMs: 0, present: replicas, gone: [] })
      for (let atMs = TICK_MS; atMs < scenario.seconds * 1_000 + DRAIN_MS; atMs += TICK_MS) this.time.at(atMs, () => this.reduce(i, { type: 'time_passed', atMs: this.time.nowMs }))
    }
  }

  simulate (): RefusalResult {
    for (let second = 0; second < this.scenario.seconds; second++) {
      for (let i = 0; i < this.scenario.perSecond(second * 1_000); i++) this.time.at((second + this.time.draw()) * 1_000, () => this.arrive())
    }
    this.time.runUntil(this.scenario.seconds * 1_000 + DRAIN_MS)
    const prompts = { requests: this.requests.prompts, extraSends: this.extraSendTimes('prompts') }
    const calls = { requests: this.requests.calls, extraSends: this.extraSendTimes('calls') }
    return { prompts, calls, asked: prompts.requests.length + calls.requests.length, repeats: prompts.extraSends.length + calls.extraSends.length, served: this.served, promptsProcessed: this.promptsProcessed, promptsUsed: this.promptsUsed }
  }

  private extraSendTimes (kind: 'prompts' | 'calls'): number[] {
    return [...this.arrivals].flatMap(([key, all]) => {
      if (!key.endsWith(kind)) return []
      const free = all.findIndex(({ isFreePrefill }) => isFreePrefill)
      return all.filter((_, index) => index !== free).slice(1).map(({ atMs }) => atMs)
    })
  }

  private arrive (): void {
    const entry = Math.floor(this.time.draw() * this.entries.length)
    const hasPrompt = this.time.draw() < 0.5
    const kind = hasPrompt ? 'prompts' : 'calls'
    const key = `${entry}.${this.requests[kind].length}.${kind}`
    this.requests[kind].push(this.time.nowMs)
    const prompt = hasPrompt ? { promptTokens: 2_000, maxOutputTokens: 600, outputHintTokens: 300 } : undefined
    this.reduce(entry, { type: 'request_arrived', atMs: this.time.nowMs, arrival: { key, requestId: key, fingerprint: key, host: 'quotes.example', path: hasPrompt ? '/summaries/1' : '/rates/1', deadlineMs: 3_000, prompt } })
  }

  private reduce (entry: number, event: RouterEvent): void {
    for (const effect of reduceRouter(this.entries[entry] as RouterState, event)) this.effects[effect.type]?.(entry, effect as never)
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (entry: number, effect: RouterEffectOf<T>) => void } = {
    ask_loads: (entry, { replicaIds, request }) => {
      for (const replicaId of replicaIds) this.reduce(entry, { type: 'load_learned', atMs: this.time.nowMs, load: loadOf(replicaId, replicaId.startsWith('p') ? 'prefill' : 'decode', 30_000) })
      if (request !== undefined) this.reduce(entry, { type: 'loads_answered', atMs: this.time.nowMs, key: request.key, attempt: request.attempt })
    },
    confirm: (entry, { attempt, key }) => this.time.after(HOP_MS, () => this.reduce(entry, { type: 'confirm_answered', atMs: this.time.nowMs, key, attempt, outcome: 'free' })),
    queue_prefill: (entry, { attempt, key }) => this.time.after(HOP_MS, () => this.reduce(entry, { type: 'prefill_queue_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'granted' } })),
    reserve: (entry, { attempt, key }) => this.time.after(HOP_MS, () => this.reduce(entry, { type: 'reserve_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'granted' } })),
    send_prefill: (entry, { attempt, key }) => this.prefill(entry, key, attempt),
    send_run: (entry, effect) => this.run(entry, effect),
    wake_plain: (entry, { inMs, service }) => this.time.after(inMs, () => this.reduce(entry, { type: 'plain_wake_due', atMs: this.time.nowMs, service }))
  }

  private prefill (entry: number, key: string, attempt: number): void {
    const isRefused = this.isRefused(this.scenario.refusedShare)
    this.recordArrival(key, !isRefused)
    if (isRefused) return this.time.after(HOP_MS, () => this.reduce(entry, { type: 'prefill_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'failed', failure: 'not_run' } }))
    this.promptsProcessed += 1
    this.time.after(PREFILL_MS, () => this.reduce(entry, { type: 'prefill_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'read', handle: key } }))
  }

  private run (entry: number, { attempt, key, source }: RouterEffectOf<'send_run'>): void {
    this.recordArrival(key, false)
    if (this.isRefused(this.scenario.refusedRuns ?? this.scenario.refusedShare)) return this.time.after(HOP_MS, () => this.reduce(entry, { type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'not_run' }))
    if (source !== undefined) this.promptsUsed += 1
    this.served += 1
    this.time.after(FIRST_EVENT_MS, () => this.reduce(entry, { type: 'answer_started', atMs: this.time.nowMs, key, attempt }))
    this.time.after(RESPONSE_MS, () => this.reduce(entry, { type: 'answer_complete', atMs: this.time.nowMs, key, attempt, status: 200, outputEvents: 30 }))
  }

  private recordArrival (key: string, isFreePrefill: boolean): void {
    const arrivals = this.arrivals.get(key) ?? []
    arrivals.push({ atMs: this.time.nowMs, isFreePrefill })
    this.arrivals.set(key, arrivals)
  }

  private isRefused (shareAt: (atMs: number) => number): boolean {
    return this.time.draw() < shareAt(this.time.nowMs)
  }
}
