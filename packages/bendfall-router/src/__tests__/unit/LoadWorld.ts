import { createLedgerState, createRouterState, DEFAULT_DECISIONS, loadOf, reduceLedger, reduceRouter } from '../../index.js'
import type { LedgerEffect, LedgerEvent, LedgerState, ReplicaStage, RouterDecisions, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { configOf, replicaOf, summaryRoute } from './RouterWorld.js'
import { VirtualTime } from './VirtualTime.js'

/** Load that is played: streams of 3,200 prompt tokens on average and 640 of output. */
export interface Load {
  readonly prefills: number
  readonly decodes: number
  /** Streams a second, by the second of the load. */
  readonly perSecond: readonly number[]
  readonly decisions?: Partial<RouterDecisions>
  /** Seed of arrivals and sizes; 11 when absent. */
  readonly seed?: number
  /** Part of their mean wait by which callers wait for more or less; 0 when absent. */
  readonly waitSpread?: number
  /** Replicas that go silent for good, and when. */
  readonly lost?: ReadonlyArray<{ readonly replicaId: string, readonly atMs: number }>
}

/** What callers got. */
export interface LoadResult {
  readonly asked: number
  /** First events within the target, counted from the first try. */
  readonly onTime: number
  readonly late: number
  /** Neither served at once nor when they came back. */
  readonly unserved: number
  /** Longest time that a try was held before it was refused. */
  readonly longestRefusalMs: number
  /** Prompts sent to be read, and those whose answer or timeout the entry took. */
  readonly prefillsSent: number
  readonly prefillsEnded: number
}

interface Run {
  readonly requestId: string
  readonly promptTokens: number
  readonly outputTokens: number
  startAtMs: number
  endAtMs: number
}

interface Engine {
  readonly replicaId: string
  readonly stage: ReplicaStage
  readonly ledger: LedgerState
  readonly runs: Map<string, Run>
  busyUntilMs: number
  isLost: boolean
}

interface Caller {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly hintTokens: number
  readonly firstTryAtMs: number
  /** Time that it waits in all. */
  readonly waitMs: number
  tryAtMs: number
  tries: number
  outcome?: 'on_time' | 'late' | 'unserved'
}

const KV_TOKENS = 41_000
const PREFILL_TOKENS_PER_MS = 33
const IN_PLACE_TOKENS_PER_MS = 16.7
const MS_PER_OUTPUT_TOKEN = 5.3
const HOP_MS = 1
const TRANSFER_MS = 20
const REPORT_MS = 50
const PATIENCE_MS = 14_000
/** Waits of callers that come one after the other differ: so many steps, a stride from one to the next. */
const WAIT_STEPS = 21
const WAIT_STRIDE = 8

const QUIET_MS = 3_600
const TARGET_MS = 900
const END_MS = 15_000
const ANNOUNCED_MS = 500

/** Plays a load on one entry and the ledgers of its replicas, in virtual time. */
export function playLoad (load: Load): LoadResult {
  return new LoadWorld(load).play()
}

class LoadWorld {
  private readonly entry: RouterState
  private readonly engines = new Map<string, Engine>()
  private readonly callers = new Map<string, Caller>()
  private readonly time: VirtualTime
  private longestRefusalMs = 0
  private prefillsSent = 0
  private prefillsEnded = 0

  constructor (private readonly load: Load) {
    this.time = new VirtualTime(load.seed ?? 11)
    const decisions = { ...DEFAULT_DECISIONS, ...load.decisions }
    this.entry = createRouterState(7, 'entry-1', decisions)
    const names: Array<[string, ReplicaStage]> = [
      ...Array.from({ length: load.prefills }, (_, i): [string, ReplicaStage] => [`p${i}`, 'prefill']),
      ...Array.from({ length: load.decodes }, (_, i): [string, ReplicaStage] => [`d${i}`, 'decode'])
    ]
    this.route({ type: 'config_learned', atMs: 0, config: configOf(1, [summaryRoute()]) })
    this.route({ type: 'replicas_changed', atMs: 0, present: names.map(([id, stage]) => replicaOf(id, stage)), gone: [] })
    for (const [replicaId, stage] of names) {
      this.engines.set(replicaId, { replicaId, stage, ledger: createLedgerState(decisions), runs: new Map(), busyUntilMs: 0, isLost: false })
      this.report(replicaId)
    }
  }

  play (): LoadResult {
    for (const { atMs, replicaId } of this.load.lost ?? []) this.time.at(atMs, () => { this.engineAt(replicaId).isLost = true })
    this.load.perSecond.forEach((count, second) => this.planArrivals(count, second * 1_000))
    const endMs = this.load.perSecond.length * 1_000 + END_MS
    this.time.playUntil(endMs)
    const outcomes = [...this.callers.values()].map(({ outcome }) => outcome ?? 'unserved')
    const countOf = (outcome: string): number => outcomes.filter((one) => one === outcome).length
    return { asked: outcomes.length, onTime: countOf('on_time'), late: countOf('late'), unserved: countOf('unserved'), longestRefusalMs: this.longestRefusalMs, prefillsSent: this.prefillsSent, prefillsEnded: this.prefillsEnded }
  }

  private planArrivals (count: number, fromMs: number): void {
    for (let i = 0; i < count; i++) this.time.at(fromMs + this.time.draw() * 1_000, () => this.arrive())
  }

  private arrive (): void {
    const outputTokens = Math.round(640 * Math.exp(0.6 * (this.time.draw() + this.time.draw() + this.time.draw() - 1.5) * 2) * 0.85)
    const hintTokens = Math.round(outputTokens * Math.exp((this.time.draw() - 0.5)))
    const caller = { promptTokens: Math.round(1_200 + 4_000 * this.time.draw()), outputTokens, hintTokens, firstTryAtMs: this.time.nowMs, waitMs: this.waitOf(this.callers.size), tryAtMs: this.time.nowMs, tries: 0 }
    this.ask(`${this.callers.size}`, caller)
  }

  // Not drawn, so that the load stays the same.
  private waitOf (index: number): number {
    const place = (index * WAIT_STRIDE % WAIT_STEPS) / (WAIT_STEPS - 1)
    return PATIENCE_MS * (1 + (this.load.waitSpread ?? 0) * (2 * place - 1))
  }

  private ask (name: string, caller: Caller): void {
    this.callers.set(name, caller)
    caller.tries += 1
    caller.tryAtMs = this.time.nowMs
    const key = `${name}.${caller.tries}`
    const prompt = { promptTokens: caller.promptTokens, maxOutputTokens: 1_600, outputHintTokens: caller.hintTokens }
    const deadlineMs = caller.waitMs - (this.time.nowMs - caller.firstTryAtMs)
    this.route({ type: 'request_arrived', atMs: this.time.nowMs, arrival: { key, requestId: key, fingerprint: name, host: 'quotes.example', path: '/summaries/1', deadlineMs, prompt } })
    this.time.after(QUIET_MS, () => {
      if (caller.outcome === undefined && this.entry.requests.has(key)) this.route({ type: 'caller_left', atMs: this.time.nowMs, key })
    })
  }

  private callerOf (key: string): Caller {
    return this.callers.get(key.slice(0, key.indexOf('.'))) as Caller
  }

  private route (event: RouterEvent): void {
    for (const effect of reduceRouter(this.entry, event)) this.carryOut(effect)
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (effect: RouterEffectOf<T>) => void } = {
    abort_send: ({ key }) => { for (const engine of this.engines.values()) engine.runs.delete(key) },
    ask_loads: (effect) => this.askLoads(effect),
    announce_prefill: (effect) => this.tellLedger(effect.replicaId, {
      type: 'memory_asked',
      atMs: 0,
      request: { ...effect, requestId: requestOf(effect.bookingId), hintTokens: 0, maxOutputTokens: 0, leadMs: ANNOUNCED_MS, maxWaitMs: 0, priority: 0, targetMs: 0, readsInPlace: false }
    }),
    confirm: ({ bookingId, maxWaitMs, replicaId }) => this.tellLedger(replicaId, { type: 'confirm_asked', atMs: 0, bookingId, maxWaitMs }),
    queue_prefill: (effect) => this.book(effect),
    refresh_replicas: () => this.time.after(HOP_MS, () => this.route({ type: 'replicas_refreshed', atMs: this.time.nowMs })),
    refuse: (effect) => this.refuse(effect),
    release: ({ bookingId, replicaId }) => this.tellLedger(replicaId, { type: 'ask_withdrawn', atMs: 0, bookingId }),
    reserve: (effect) => this.book(effect),
    send_prefill: (effect) => this.prefill(effect),
    send_run: (effect) => this.run(effect)
  }

  // What is not in the table changes nothing in this world.
  private carryOut (effect: RouterEffect): void {
    const act = this.effects[effect.type] as ((effect: RouterEffect) => void) | undefined
    act?.(effect)
  }

  private book (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>): void {
    const ask = effect.type === 'reserve' ? effect : { ...effect, hintTokens: 0, maxOutputTokens: 0, readsInPlace: false }
    this.time.after(HOP_MS, () => {
      this.reduceLedger(this.engineAt(effect.replicaId), { type: 'memory_asked', atMs: this.time.nowMs, request: { ...ask, requestId: requestOf(effect.bookingId) } })
      this.time.after(effect.maxWaitMs, () => this.reduceLedger(this.engineAt(effect.replicaId), { type: 'time_passed', atMs: this.time.nowMs }))
    })
  }

  private tellLedger (replicaId: string, event: LedgerEvent): void {
    this.time.after(HOP_MS, () => this.reduceLedger(this.engineAt(replicaId), { ...event, atMs: this.time.nowMs }))
  }

  private reduceLedger (engine: Engine, event: LedgerEvent): void {
    for (const effect of reduceLedger(engine.ledger, event)) this.carryOutLedger(engine, effect)
  }

  private carryOutLedger (engine: Engine, effect: LedgerEffect): void {
    if (effect.type === 'read_report') return this.time.after(HOP_MS, () => this.readReport(engine))
    const key = requestOf(effect.bookingId)
    const attempt = Number(effect.bookingId.slice(effect.bookingId.lastIndexOf('/') + 1))
    this.time.after(HOP_MS, () => this.answer(engine, key, attempt, effect))
  }

  private answer (engine: Engine, key: string, attempt: number, effect: Exclude<LedgerEffect, { readonly type: 'read_report' }>): void {
    const atMs = this.time.nowMs
    if (effect.type === 'confirmed') return this.route({ type: 'confirm_answered', atMs, key, attempt: this.entry.requests.get(key)?.attempt ?? -1, outcome: effect.isFree ? 'free' : 'occupied' })
    const outcome = effect.type === 'replica_lost' ? effect : effect.isGranted ? { type: 'granted' as const } : { type: 'refused' as const, retryAfterMs: effect.retryAfterMs }
    this.route({ type: engine.stage === 'prefill' ? 'prefill_queue_answered' : 'reserve_answered', atMs, key, attempt, outcome })
  }

  private prefill ({ attempt, key, replicaId, tryTimeoutMs }: RouterEffectOf<'send_prefill'>): void {
    const engine = this.engineAt(replicaId)
    this.prefillsSent += 1
    if (engine.isLost) return this.time.after(tryTimeoutMs, () => this.endPrefill({ type: 'try_timed_out', atMs: this.time.nowMs, key, attempt }))
    engine.busyUntilMs = Math.max(this.time.nowMs, engine.busyUntilMs) + this.callerOf(key).promptTokens / PREFILL_TOKENS_PER_MS
    this.time.at(engine.busyUntilMs + 2 * HOP_MS, () => this.endPrefill({ type: 'prefill_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'read', handle: key } }))
  }

  private endPrefill (event: Extract<RouterEvent, { readonly type: 'prefill_answered' | 'try_timed_out' }>): void {
    const request = this.entry.requests.get(event.key)
    // A caller that left ended it as well.
    if (request === undefined || (request.phase === 'prefill' && request.attempt === event.attempt)) this.prefillsEnded += 1
    this.route(event)
  }

  private run ({ attempt, key, replicaId, source, tryTimeoutMs }: RouterEffectOf<'send_run'>): void {
    const engine = this.engineAt(replicaId)
    const { outputTokens, promptTokens } = this.callerOf(key)
    if (engine.isLost) {
      if (tryTimeoutMs !== undefined) this.time.after(tryTimeoutMs, () => this.route({ type: 'try_timed_out', atMs: this.time.nowMs, key, attempt }))
      return
    }
    if (this.usedTokens(engine) + promptTokens > KV_TOKENS) return this.time.after(HOP_MS, () => this.route({ type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'not_run' }))
    const startAtMs = source === undefined ? this.readInPlace(engine, promptTokens) : this.time.nowMs + TRANSFER_MS
    const run = { requestId: key, promptTokens, outputTokens, startAtMs, endAtMs: startAtMs + outputTokens * MS_PER_OUTPUT_TOKEN }
    engine.runs.set(key, run)
    this.time.at(startAtMs, () => this.start(engine, run, key, attempt))
  }

  // Its other requests make a quarter of their progress meanwhile.
  private readInPlace (engine: Engine, promptTokens: number): number {
    const readMs = promptTokens / IN_PLACE_TOKENS_PER_MS * 1.3
    const fromMs = Math.max(this.time.nowMs, engine.busyUntilMs)
    for (const run of engine.runs.values()) run.endAtMs += 0.75 * readMs
    engine.busyUntilMs = fromMs + readMs
    return engine.busyUntilMs
  }

  private start (engine: Engine, run: Run, key: string, attempt: number): void {
    if (engine.runs.get(key) !== run) return
    const caller = this.callerOf(key)
    caller.outcome = this.time.nowMs - caller.firstTryAtMs <= TARGET_MS ? 'on_time' : 'late'
    this.route({ type: 'answer_started', atMs: this.time.nowMs, key, attempt })
    this.finish(engine, run, key, attempt)
  }

  private finish (engine: Engine, run: Run, key: string, attempt: number): void {
    this.time.at(run.endAtMs, () => {
      if (engine.runs.get(key) !== run) return
      if (run.endAtMs > this.time.nowMs) return this.finish(engine, run, key, attempt)
      engine.runs.delete(key)
      this.route({ type: 'answer_complete', atMs: this.time.nowMs, key, attempt, status: 200, outputEvents: 71 })
    })
  }

  private refuse ({ key, retryAfterMs = 0 }: RouterEffectOf<'refuse'>): void {
    const caller = this.callerOf(key)
    this.longestRefusalMs = Math.max(this.longestRefusalMs, this.time.nowMs - caller.tryAtMs)
    if (caller.tries > 1) caller.outcome = 'unserved'
    else this.time.after(retryAfterMs + 2 * HOP_MS, () => this.ask(key.slice(0, key.indexOf('.')), caller))
  }

  private report (replicaId: string): void {
    this.readReport(this.engineAt(replicaId))
    this.time.after(REPORT_MS, () => this.report(replicaId))
  }

  private readReport (engine: Engine): void {
    if (engine.isLost) return this.reduceLedger(engine, { type: 'report_failed', atMs: this.time.nowMs })
    const runs = [...engine.runs.values()].map((run) => ({ requestId: run.requestId, tokensInMemory: Math.round(this.tokensOf(run)), eventsMade: this.time.nowMs >= run.startAtMs ? 1 : 0 }))
    const report = { stage: engine.stage, usedTokens: Math.round(this.usedTokens(engine)), capacityTokens: KV_TOKENS, queued: 0, active: runs.length, isSwitching: false, runs }
    this.reduceLedger(engine, { type: 'report_read', atMs: this.time.nowMs, askedAtMs: this.time.nowMs, report })
  }

  private askLoads ({ replicaIds, request }: RouterEffectOf<'ask_loads'>): void {
    this.time.after(2 * HOP_MS, () => {
      for (const replicaId of replicaIds) this.route({ type: 'load_learned', atMs: this.time.nowMs, load: loadOf(this.engineAt(replicaId).ledger, replicaId, this.time.nowMs) })
      if (request !== undefined) this.route({ type: 'loads_answered', atMs: this.time.nowMs, key: request.key, attempt: request.attempt })
    })
  }

  private usedTokens (engine: Engine): number {
    let tokens = 0
    for (const run of engine.runs.values()) tokens += this.tokensOf(run)
    return tokens
  }

  private tokensOf ({ endAtMs, outputTokens, promptTokens, startAtMs }: Run): number {
    const share = Math.max(0, Math.min(1, (this.time.nowMs - startAtMs) / (endAtMs - startAtMs)))
    return promptTokens + share * outputTokens
  }

  private engineAt (replicaId: string): Engine {
    return this.engines.get(replicaId) as Engine
  }
}

function requestOf (bookingId: string): string {
  return bookingId.slice(0, bookingId.lastIndexOf('/'))
}
