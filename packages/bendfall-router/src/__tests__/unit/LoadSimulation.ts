import { DEFAULT_DECISIONS, createRouterState, loadOf, reduceLedger, reduceRouter, TICK_MS } from '../../index.js'
import type { LedgerEffect, LedgerEvent, ReplicaStage, RouterDecisions, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { AttemptRecorder } from './AttemptTally.js'
import { createLoadEngine, KV_TOKENS, prefillApart, prefillInPlace, reportOf, restart, usedTokens, wouldGrant } from './LoadEngine.js'
import type { LoadEngine, LoadRun } from './LoadEngine.js'
import { LoadProcessors } from './LoadProcessor.js'
import type { Caller, LoadResult, LoadScenario } from './LoadScenario.js'
import { customersOf, requestIdOf, tallyOf, toStreamResult } from './LoadTally.js'
import { configOf, replicaOf, summaryRoute } from './RouterSimulation.js'
import { VirtualTime } from './VirtualTime.js'

export type { LoadResult, LoadScenario, LoadTally, StreamResult } from './LoadScenario.js'

const MS_PER_OUTPUT_TOKEN = 5.3
const HOP_MS = 1
/** Time without a response after which an entry takes a ledger for lost, and what it adds to the wait for a booking. */
const LOAD_TIMEOUT_MS = 400
const CALL_SLACK_MS = 250
const TRANSFER_MS = 20
const REPORT_MS = 50
/** Mean total wait of a caller. */
const MEAN_WAIT_MS = 14_000
/** The waits of successive callers cycle through this number of steps, by this stride, so that neighbors differ. */
const WAIT_STEPS = 21
const WAIT_STRIDE = 8

/** Time without a first event after which a caller gives up the attempt. */
const FIRST_EVENT_TIMEOUT_MS = 3_600
const TARGET_MS = 900
const LESS_URGENT_TARGET_MS = 2_009
const DRAIN_MS = 15_000
const ANNOUNCED_LEAD_MS = 500
/** Pause of a caller that retries at once. */
const EAGER_RETRY_MS = 50
const MAX_EAGER_TRIES = 40
/** Share of its remaining time that a caller waits at most before it retries. */
const MAX_RETRY_SHARE = 1 / 3
/** Interval of the samples of waiting requests, and the number of replicas that are compared at most. */
const JUDGE_MS = 100
const JUDGED_REPLICAS = 48
const RETURNS_WINDOW_MS = 100
/** Reasons of refusals for lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<string> = new Set(['no_memory', 'prefill_busy', 'no_replica'])

/** Simulates a load on entries and the ledgers of their replicas, in virtual time. */
export function simulateLoad (load: LoadScenario): LoadResult {
  return new LoadSimulation(load).simulate()
}

class LoadSimulation {
  private readonly entries: RouterState[] = []
  private readonly engines = new Map<string, LoadEngine>()
  private readonly callers = new Map<string, Caller>()
  /** Entry that each attempt of a caller is sent to, by the key of the attempt. */
  private readonly entryByKey = new Map<string, RouterState>()
  /** Requests that wait at a ledger, by the id of the booking. */
  private readonly waiting = new Map<string, string>()
  private readonly queriesByKey = new Map<string, number>()
  private readonly returnsAtMs: number[] = []
  private readonly time: VirtualTime
  private readonly processors: LoadProcessors
  private readonly counts = { maxRefusalMs: 0, prefillsSent: 0, prefillsEnded: 0, refusals: 0, needlessRefusals: 0, refusedWithRoom: 0, waits: 0, needlessWaits: 0, queries: 0, maxQueries: 0, attempts: 0 }
  private readonly tries = new AttemptRecorder()
  private judged = 0

  constructor (private readonly load: LoadScenario) {
    this.time = new VirtualTime(load.seed ?? 11)
    this.processors = new LoadProcessors(this.time, load, this.entries)
    const decisions: RouterDecisions = { ...DEFAULT_DECISIONS, ...load.decisions }
    const names: Array<[string, ReplicaStage]> = [
      ...Array.from({ length: load.prefills }, (_, i): [string, ReplicaStage] => [`p${i}`, 'prefill']),
      ...Array.from({ length: load.decodes }, (_, i): [string, ReplicaStage] => [`d${i}`, 'decode'])
    ]
    const routes = load.lessUrgentPerSecond === undefined ? [summaryRoute()] : [summaryRoute({ priority: 0 }), summaryRoute({ name: 'brief', pathPrefix: '/briefs/', priority: 2, targetLatencyMs: LESS_URGENT_TARGET_MS })]
    const present = names.map(([id, stage]) => replicaOf(id, stage))
    for (let i = 0; i < (load.entries ?? 1); i++) {
      const entry = createRouterState(7 + i, `entry-${i + 1}`, decisions)
      this.entries.push(entry)
      this.dispatch({ type: 'config_learned', atMs: 0, config: { ...configOf(1, routes), customers: customersOf(load) } }, entry)
      this.dispatch({ type: 'replicas_changed', atMs: 0, present, gone: [] }, entry)
      if (load.customers !== undefined) this.dispatch({ type: 'config_proven', atMs: 0, provenAtMs: 0 }, entry)
    }
    for (const [replicaId, stage] of names) {
      this.engines.set(replicaId, createLoadEngine(replicaId, stage, decisions))
      this.report(replicaId)
    }
  }

  simulate (): LoadResult {
    for (const { atMs, replicaId, untilMs } of this.load.lost ?? []) {
      this.time.at(atMs, () => { this.findEngine(replicaId).isLost = true })
      if (untilMs !== undefined) this.time.at(untilMs, () => restart(this.findEngine(replicaId)))
    }
    for (const { atMs, replicaId, speed } of this.load.speeds ?? []) this.time.at(atMs, () => { this.findEngine(replicaId).speed = speed })
    this.load.perSecond.forEach((count, second) => this.scheduleArrivals(count, second * 1_000, false))
    this.load.floodPerSecond?.forEach((count, second) => this.scheduleArrivals(count, second * 1_000, false, true))
    this.load.lessUrgentPerSecond?.forEach((count, second) => this.scheduleArrivals(count, second * 1_000, true))
    const endMs = Math.max(this.load.perSecond.length, this.load.floodPerSecond?.length ?? 0, this.load.lessUrgentPerSecond?.length ?? 0) * 1_000 + (this.load.calmMs ?? DRAIN_MS)
    this.entries.forEach((entry, index) => {
      for (let atMs = TICK_MS * (1 + index / this.entries.length); atMs < endMs; atMs += TICK_MS) this.time.at(atMs, () => this.tick(entry))
    })
    if (this.load.isJudged === true) for (let atMs = JUDGE_MS; atMs < endMs; atMs += JUDGE_MS) this.time.at(atMs, () => this.judgeWaits())
    this.time.runUntil(endMs)
    const callers = [...this.callers.values()]
    return { ...tallyOf(callers.filter(({ isFlood, isLessUrgent }) => !isFlood && !isLessUrgent)), flood: tallyOf(callers.filter(({ isFlood }) => isFlood)), lessUrgent: tallyOf(callers.filter(({ isLessUrgent }) => isLessUrgent)), ...this.counts, maxReturns: this.maxReturns(), tries: this.tries.list(), streams: callers.map(toStreamResult), usedReplicas: this.entries[0]?.subset.size ?? 0 }
  }

  private tick (entry: RouterState): void {
    const atMs = this.time.nowMs
    if (this.load.customers !== undefined) this.dispatch({ type: 'config_proven', atMs, provenAtMs: atMs }, entry)
    this.dispatch({ type: 'time_passed', atMs }, entry)
  }

  private scheduleArrivals (count: number, fromMs: number, isLessUrgent: boolean, isFlood = false): void {
    for (let i = 0; i < count; i++) this.time.at(fromMs + this.time.draw() * 1_000, () => this.arrive(isLessUrgent, isFlood))
  }

  private arrive (isLessUrgent: boolean, isFlood: boolean): void {
    const outputTokens = Math.round(640 * Math.exp(0.6 * (this.time.draw() + this.time.draw() + this.time.draw() - 1.5) * 2) * 0.85)
    const hintTokens = Math.round(outputTokens * Math.exp((this.time.draw() - 0.5)))
    const index = this.callers.size
    const size = isLessUrgent ? this.load.lessUrgentSize ?? 1 : 1
    const isEager = isFlood ? this.load.isFloodEager === true : index * WAIT_STRIDE % WAIT_STEPS < (this.load.eagerShare ?? 0) * WAIT_STEPS
    this.submit(`${index}`, { promptTokens: Math.round((1_200 + 4_000 * this.time.draw()) * size), outputTokens, hintTokens, isLessUrgent, isFlood, customer: this.load.customers === undefined ? undefined : isFlood ? this.load.customers : index % this.load.customers, isEager, firstTryAtMs: this.time.nowMs, waitMs: this.waitOf(index), tryAtMs: this.time.nowMs, tries: 0 })
  }

  // Does not use the random generator, so that the load is the same for every spread.
  private waitOf (index: number): number {
    const position = (index * WAIT_STRIDE % WAIT_STEPS) / (WAIT_STEPS - 1)
    return MEAN_WAIT_MS * (1 + (this.load.waitSpread ?? 0) * (2 * position - 1))
  }

  private submit (name: string, caller: Caller): void {
    this.callers.set(name, caller)
    caller.tries += 1
    caller.tryAtMs = this.time.nowMs
    this.counts.attempts += 1
    if (caller.tries > 1) this.returnsAtMs.push(this.time.nowMs)
    const key = `${name}.${caller.tries}`
    const entry = this.entries[this.entries.length > 1 ? Math.floor(this.time.draw() * this.entries.length) : 0] as RouterState
    this.entryByKey.set(key, entry)
    const prompt = { promptTokens: caller.promptTokens, maxOutputTokens: 1_600, outputHintTokens: caller.hintTokens }
    const deadlineMs = caller.waitMs - (this.time.nowMs - caller.firstTryAtMs)
    this.tries.begin(key, caller.tries, deadlineMs, this.time.nowMs, caller.promptTokens)
    this.dispatch({ type: 'request_arrived', atMs: this.time.nowMs, arrival: { key, requestId: key, fingerprint: name, host: 'quotes.example', path: caller.isLessUrgent ? '/briefs/1' : '/summaries/1', deadlineMs, prompt, keyDigest: caller.customer === undefined ? undefined : `k${caller.customer}` } })
    this.time.after(FIRST_EVENT_TIMEOUT_MS, () => {
      if (caller.outcome === undefined && this.entryOf(key).requests.has(key)) this.dispatch({ type: 'caller_left', atMs: this.time.nowMs, key })
    })
  }

  private callerOf (key: string): Caller {
    return this.callers.get(key.slice(0, key.indexOf('.'))) as Caller
  }

  private entryOf (key: string): RouterState {
    return this.entryByKey.get(key) as RouterState
  }

  private dispatch (event: RouterEvent, entry: RouterState = this.entryOf('key' in event ? event.key : event.type === 'request_arrived' ? event.arrival.key : '')): void {
    this.processors.run(entry, () => {
      for (const effect of reduceRouter(entry, { ...event, atMs: this.time.nowMs })) this.handleEffect(effect, entry)
    })
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (effect: RouterEffectOf<T>, entry: RouterState) => unknown } = {
    abort_send: ({ key }) => { for (const engine of this.engines.values()) engine.runs.delete(key) },
    ask_loads: (effect, entry) => this.askLoads(effect, entry),
    announce_prefill: (effect, entry) => this.processors.isCut(entry) || this.sendToLedger(effect.replicaId, {
      type: 'memory_asked',
      atMs: 0,
      request: { ...effect, requestId: requestIdOf(effect.bookingId), hintTokens: 0, maxOutputTokens: 0, leadMs: ANNOUNCED_LEAD_MS, maxWaitMs: 0, onTimeWaitMs: 0, priority: 0, isContinuation: false, readsInPlace: false }
    }),
    confirm: ({ attempt, bookingId, key, maxWaitMs, replicaId }, entry) => {
      if (this.processors.isCut(entry)) this.time.after(maxWaitMs + CALL_SLACK_MS, () => this.dispatch({ type: 'confirm_answered', atMs: 0, key, attempt, outcome: 'unreachable' }))
      else this.sendToLedger(replicaId, { type: 'confirm_asked', atMs: 0, bookingId, maxWaitMs })
    },
    drop_hold: ({ holdId }) => this.dropHold(holdId),
    queue_prefill: (effect, entry) => this.book(effect, entry),
    refresh_replicas: (_, entry) => this.time.after(HOP_MS, () => this.dispatch({ type: 'replicas_refreshed', atMs: this.time.nowMs }, entry)),
    refuse: (effect) => this.refuse(effect),
    release: ({ bookingId, replicaId }, entry) => {
      this.waiting.delete(bookingId)
      if (!this.processors.isCut(entry)) this.sendToLedger(replicaId, { type: 'ask_withdrawn', atMs: 0, bookingId })
    },
    reserve: (effect, entry) => this.book(effect, entry),
    schedule_capacity_check: ({ attempt, inMs, key }) => this.time.after(inMs, () => this.dispatch({ type: 'capacity_check_due', atMs: this.time.nowMs, key, attempt })),
    send_prefill: (effect) => this.prefill(effect),
    send_run: (effect) => this.run(effect),
    take_hold: (effect) => this.hold(effect)
  }

  // Effects without a handler do not affect this simulation.
  private handleEffect (effect: RouterEffect, entry: RouterState): void {
    const handler = this.effects[effect.type] as ((effect: RouterEffect, entry: RouterState) => unknown) | undefined
    const sentAtMs = this.processors.sentAtMs(entry, effect)
    if (sentAtMs <= this.time.nowMs) handler?.(effect, entry)
    else this.time.at(sentAtMs, () => handler?.(effect, entry))
  }

  private book (effect: RouterEffectOf<'reserve'> | RouterEffectOf<'queue_prefill'>, entry: RouterState): void {
    if (this.processors.isCut(entry)) return this.time.after(effect.maxWaitMs + CALL_SLACK_MS, () => this.dispatch({ type: effect.type === 'reserve' ? 'reserve_answered' : 'prefill_queue_answered', atMs: 0, key: effect.key, attempt: effect.attempt, outcome: { type: 'unreachable' } }))
    const parameters = effect.type === 'reserve' ? effect : { ...effect, hintTokens: 0, maxOutputTokens: 0, isContinuation: false, readsInPlace: false }
    this.waiting.set(effect.bookingId, effect.replicaId)
    this.time.after(HOP_MS, () => {
      this.reduceLedger(this.findEngine(effect.replicaId), { type: 'memory_asked', atMs: this.time.nowMs, request: { ...parameters, requestId: requestIdOf(effect.bookingId) } })
      this.time.after(effect.maxWaitMs, () => this.reduceLedger(this.findEngine(effect.replicaId), { type: 'time_passed', atMs: this.time.nowMs }))
    })
  }

  private sendToLedger (replicaId: string, event: LedgerEvent): void {
    this.time.after(HOP_MS, () => this.reduceLedger(this.findEngine(replicaId), { ...event, atMs: this.time.nowMs }))
  }

  private reduceLedger (engine: LoadEngine, event: LedgerEvent): void {
    for (const effect of reduceLedger(engine.ledger, event)) this.handleLedgerEffect(engine, effect)
  }

  private handleLedgerEffect (engine: LoadEngine, effect: LedgerEffect): void {
    if (effect.type === 'read_report') return this.time.after(HOP_MS, () => this.readReport(engine))
    const key = requestIdOf(effect.bookingId)
    const attempt = Number(effect.bookingId.slice(effect.bookingId.lastIndexOf('/') + 1))
    this.time.after(HOP_MS, () => this.answer(engine, key, attempt, effect))
  }

  private answer (engine: LoadEngine, key: string, attempt: number, effect: Exclude<LedgerEffect, { readonly type: 'read_report' }>): void {
    const atMs = this.time.nowMs
    this.waiting.delete(effect.bookingId)
    if (effect.type === 'confirmed') return this.dispatch({ type: 'confirm_answered', atMs, key, attempt: this.entryOf(key).requests.get(key)?.attempt ?? -1, outcome: effect.isFree ? 'free' : 'occupied' })
    const outcome = effect.type === 'replica_lost' ? effect : effect.isGranted ? { type: 'granted' as const } : { type: 'refused' as const, retryAfterMs: effect.retryAfterMs }
    this.dispatch({ type: engine.stage === 'prefill' ? 'prefill_queue_answered' : 'reserve_answered', atMs, key, attempt, outcome })
  }

  private prefill ({ attempt, key, replicaId, tryTimeoutMs }: RouterEffectOf<'send_prefill'>): void {
    const engine = this.findEngine(replicaId)
    this.counts.prefillsSent += 1
    if (engine.isLost) return this.time.after(tryTimeoutMs, () => this.endPrefill({ type: 'try_timed_out', atMs: this.time.nowMs, key, attempt }))
    this.time.at(prefillApart(engine, this.callerOf(key).promptTokens, this.time.nowMs) + 2 * HOP_MS, () => this.endPrefill({ type: 'prefill_answered', atMs: this.time.nowMs, key, attempt, outcome: { type: 'read', handle: key } }))
  }

  private endPrefill (event: Extract<RouterEvent, { readonly type: 'prefill_answered' | 'try_timed_out' }>): void {
    const request = this.entryOf(event.key).requests.get(event.key)
    // The departure of the caller ends the prefill too.
    if (request === undefined || (request.phase === 'prefill' && request.attempt === event.attempt)) this.counts.prefillsEnded += 1
    this.dispatch(event)
  }

  private run ({ attempt, holdId, key, replicaId, source, tryTimeoutMs }: RouterEffectOf<'send_run'>): void {
    if (holdId !== undefined) this.dropHold(holdId)
    const engine = this.findEngine(replicaId)
    const { outputTokens, promptTokens } = this.callerOf(key)
    if (engine.isLost) {
      if (tryTimeoutMs !== undefined) this.time.after(tryTimeoutMs, () => this.dispatch({ type: 'try_timed_out', atMs: this.time.nowMs, key, attempt }))
      return
    }
    if (usedTokens(engine, this.time.nowMs) + promptTokens > KV_TOKENS) return this.time.after(HOP_MS, () => this.dispatch({ type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'not_run' }))
    const startAtMs = source === undefined ? prefillInPlace(engine, promptTokens, this.time.nowMs) : this.time.nowMs + TRANSFER_MS
    const run = { requestId: key, promptTokens, outputTokens, startAtMs, endAtMs: startAtMs + outputTokens * MS_PER_OUTPUT_TOKEN / engine.speed }
    engine.runs.set(key, run)
    const firstEventMs = Math.min(outputTokens, this.load.firstEventTokens ?? 0) * MS_PER_OUTPUT_TOKEN / engine.speed
    this.time.at(startAtMs + firstEventMs, () => this.start(engine, run, key, attempt))
  }

  private start (engine: LoadEngine, run: LoadRun, key: string, attempt: number): void {
    if (engine.runs.get(key) !== run) return
    const caller = this.callerOf(key)
    caller.outcome = this.time.nowMs - caller.firstTryAtMs <= (caller.isLessUrgent ? LESS_URGENT_TARGET_MS : TARGET_MS) ? 'on_time' : 'late'
    this.tries.end(key, 'served', this.time.nowMs)
    this.dispatch({ type: 'answer_started', atMs: this.time.nowMs, key, attempt })
    this.finish(engine, run, key, attempt)
  }

  private finish (engine: LoadEngine, run: LoadRun, key: string, attempt: number): void {
    this.time.at(run.endAtMs, () => {
      if (engine.runs.get(key) !== run) return
      if (run.endAtMs > this.time.nowMs) return this.finish(engine, run, key, attempt)
      engine.runs.delete(key)
      this.dispatch({ type: 'answer_complete', atMs: this.time.nowMs, key, attempt, status: 200, outputEvents: 71 })
    })
  }

  private refuse ({ key, reason, retryAfterMs = 0 }: RouterEffectOf<'refuse'>): void {
    const caller = this.callerOf(key)
    this.tries.end(key, 'refused', this.time.nowMs)
    this.counts.maxRefusalMs = Math.max(this.counts.maxRefusalMs, this.time.nowMs - caller.tryAtMs)
    if (this.hasRoomFor(caller)) this.counts.refusedWithRoom += 1
    if (CAPACITY_REASONS.has(reason)) this.judgeRefusal(caller, reason === 'prefill_busy' ? 'prefill' : 'decode')
    const remainingMs = caller.waitMs - (this.time.nowMs - caller.firstTryAtMs)
    const isLast = caller.isEager ? caller.tries > MAX_EAGER_TRIES || remainingMs < EAGER_RETRY_MS : caller.tries > 1
    if (isLast) caller.outcome = 'unserved'
    else this.time.after((caller.isEager ? EAGER_RETRY_MS : Math.min(retryAfterMs, MAX_RETRY_SHARE * remainingMs)) + 2 * HOP_MS, () => this.submit(key.slice(0, key.indexOf('.')), caller))
  }

  private hasRoomFor ({ hintTokens, promptTokens }: Caller): boolean {
    return [...this.engines.values()].some(({ isLost, ledger, replicaId, stage }) => stage === 'decode' && !isLost && (loadOf(ledger, replicaId, this.time.nowMs).roomTokens[0] ?? 0) >= promptTokens + hintTokens)
  }

  private judgeRefusal (caller: Caller, stage: ReplicaStage): void {
    this.counts.refusals += 1
    if (this.load.isJudged === true && this.hasCapacity(caller, stage)) this.counts.needlessRefusals += 1
  }

  private judgeWaits (): void {
    for (const [bookingId, replicaId] of this.waiting) {
      const engine = this.findEngine(replicaId)
      if (!engine.ledger.waiting.some((pending) => pending.bookingId === bookingId)) continue
      this.counts.waits += 1
      if (this.hasCapacity(this.callerOf(bookingId), engine.stage)) this.counts.needlessWaits += 1
    }
  }

  // Of a large fleet only some replicas are compared, others each time.
  private hasCapacity (caller: Caller, stage: ReplicaStage): boolean {
    const engines = [...this.engines.values()].filter((engine) => engine.stage === stage)
    this.judged += 1
    const compared = Array.from({ length: Math.min(JUDGED_REPLICAS, engines.length) }, (_, i) => engines[(this.judged * JUDGED_REPLICAS + i) % engines.length] as LoadEngine)
    return compared.some((engine) => wouldGrant(engine, caller, this.time.nowMs))
  }

  private maxReturns (): number {
    const times = this.returnsAtMs
    return times.reduce((most, atMs, i) => Math.max(most, i + 1 - times.findIndex((other) => other > atMs - RETURNS_WINDOW_MS)), 0)
  }

  private report (replicaId: string): void {
    this.readReport(this.findEngine(replicaId))
    this.time.after(REPORT_MS, () => this.report(replicaId))
  }

  private readReport (engine: LoadEngine): void {
    if (engine.isLost) return this.reduceLedger(engine, { type: 'report_failed', atMs: this.time.nowMs })
    this.reduceLedger(engine, { type: 'report_read', atMs: this.time.nowMs, askedAtMs: this.time.nowMs, report: reportOf(engine, this.time.nowMs) })
  }

  // A replica holds memory while a ledger is not available, as a run that ends by itself.
  private hold ({ attempt, key, replicaId, tokens, ttlMs }: RouterEffectOf<'take_hold'>): void {
    const engine = this.findEngine(replicaId)
    const holdId = `hold-${key}/${attempt}`
    const hasRoom = !engine.isLost && usedTokens(engine, this.time.nowMs) + tokens <= KV_TOKENS
    if (hasRoom) {
      engine.runs.set(holdId, { requestId: holdId, promptTokens: tokens, outputTokens: 0, startAtMs: this.time.nowMs, endAtMs: this.time.nowMs + ttlMs })
      this.time.after(ttlMs, () => this.dropHold(holdId))
    }
    this.time.after(2 * HOP_MS, () => this.dispatch({ type: 'hold_answered', atMs: 0, key, attempt, outcome: hasRoom ? { type: 'held', holdId } : { type: 'refused' } }))
  }

  private dropHold (holdId: string): void {
    for (const { runs } of this.engines.values()) runs.delete(holdId)
  }

  private askCutLedgers ({ replicaIds, request }: RouterEffectOf<'ask_loads'>, entry: RouterState): void {
    if (request !== undefined) this.time.after(request.maxWaitMs, () => this.dispatch({ type: 'loads_answered', atMs: 0, key: request.key, attempt: request.attempt }))
    for (const replicaId of replicaIds) this.time.after(LOAD_TIMEOUT_MS, () => this.dispatch({ type: 'ledger_lost', atMs: 0, replicaId }, entry))
  }

  private askLoads ({ replicaIds, request }: RouterEffectOf<'ask_loads'>, entry: RouterState): void {
    if (this.processors.isCut(entry)) return this.askCutLedgers({ type: 'ask_loads', replicaIds, request }, entry)
    const key = request?.key ?? ''
    const queries = (this.queriesByKey.get(key) ?? 0) + replicaIds.length
    this.queriesByKey.set(key, queries)
    this.counts.queries += replicaIds.length
    if (request !== undefined) this.counts.maxQueries = Math.max(this.counts.maxQueries, queries)
    this.time.after(2 * HOP_MS, () => {
      for (const replicaId of replicaIds) this.dispatch({ type: 'load_learned', atMs: this.time.nowMs, load: loadOf(this.findEngine(replicaId).ledger, replicaId, this.time.nowMs) }, entry)
      if (request !== undefined) this.dispatch({ type: 'loads_answered', atMs: this.time.nowMs, key: request.key, attempt: request.attempt })
    })
  }

  private findEngine (replicaId: string): LoadEngine {
    return this.engines.get(replicaId) as LoadEngine
  }
}
