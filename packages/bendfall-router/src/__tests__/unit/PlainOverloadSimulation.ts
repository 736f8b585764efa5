import { createRouterState, DEFAULT_DECISIONS, reduceRouter, TICK_MS } from '../../index.js'
import type { RouterDecisions, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { AttemptRecorder } from './AttemptTally.js'
import type { Attempt } from './AttemptTally.js'
import { configOf, plainRoute, replicaOf } from './RouterSimulation.js'
import { VirtualTime } from './VirtualTime.js'

/** Scenario of entries that share plain replicas, in virtual time. */
export interface PlainScenario {
  readonly entries: number
  /** Speed of each replica; a service takes the mean time divided by it. */
  readonly speeds: readonly number[]
  readonly seconds: number
  /** First tries of callers after a warm-up of six seconds, as a multiple of the capacity of all replicas at speed 1. */
  readonly load: (atMs: number) => number
  /** Replicas that are registered at a time; each is down while it is not. Absent: all are, always. */
  readonly isUp?: (replica: number, atMs: number) => boolean
  /** Share of the callers that return at once, three times. */
  readonly impatientShare?: number
  readonly decisions?: Partial<RouterDecisions>
  readonly seed: number
}

/** What callers and replicas got. */
export interface PlainResult {
  readonly callers: number
  /** Share of the callers that were answered in time after their first try. */
  readonly onTime: number
  readonly late: number
  readonly never: number
  /** Share of the sends that replicas refused. */
  readonly refusedShare: number
  /** The same refusals as a share of the calls that arrived at the entries. */
  readonly refusedOfCalls: number
  /** Share of the time of the slots that was used, from the warm-up to the end of the load. */
  readonly usedShare: number
  /** Largest number of returns in 100 ms. */
  readonly returnsPeak: number
  /** Answers of entries, by reason. */
  readonly reasons: Readonly<Record<string, number>>
  /** Calls that ran more than once and must not, or were refused with 503 and ran. */
  readonly violations: number
  /** Calls that were sent after the caller's deadline. */
  readonly sentTooLate: number
  readonly maxWaiting: number
  readonly extraSends: number
  /** Calls that each replica ran. */
  readonly ran: readonly number[]
  /** Every attempt of a caller after the warm-up. */
  readonly tries: readonly Attempt[]
}

interface Caller {
  readonly firstAtMs: number
  readonly mayRepeat: boolean
  returnsLeft: number
  readonly isImpatient: boolean
  answeredAtMs?: number
  tries: number
}

interface Call {
  readonly caller: Caller
  readonly entry: number
  readonly deadlineAtMs: number
  runs: number
  sends: number
}

interface Running {
  readonly entry: number
  readonly key: string
  readonly attempt: number
}

interface Replica {
  isUp: boolean
  incarnation: number
  running: number
  readonly queue: Running[]
  usedMs: number
  ran: number
}

const SLOTS = 6
const QUEUE = 20
const MEAN_SERVICE_MS = 21
const LONG_SHARE = 0.15
const LONG_FACTOR = 5
const SHORT_MS = MEAN_SERVICE_MS / (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR)
const HOP_MS = 1
const TARGET_MS = 146
const CALLER_WAIT_MS = 1_500
const TIMEOUT_MS = 800
const DRAIN_MS = 3_000
const IMPATIENT_RETURNS = 3
const ONCE_SHARE = 0.6
const BUDGET_SLACK = 90
const WARM_UP_MS = 6_000
const WARM_UP_LOAD = 0.5

/** Calls per second that one replica at speed 1 serves. */
export const REPLICA_PER_S = SLOTS * 1_000 / MEAN_SERVICE_MS

/** Simulates callers, entries and replicas. */
export function simulatePlain (scenario: PlainScenario): PlainResult {
  return new PlainSimulation(scenario).simulate()
}

class PlainSimulation {
  private readonly time: VirtualTime
  private readonly entries: RouterState[]
  private readonly replicas: Replica[]
  private readonly calls = new Map<string, Call>()
  private readonly callers: Caller[] = []
  private readonly returns = new Map<number, number>()
  private readonly reasons: Record<string, number> = {}
  private readonly tries = new AttemptRecorder()
  private keys = 0
  private sends = 0
  private refused = 0
  private extraSends = 0
  private violations = 0
  private sentTooLate = 0
  private maxWaiting = 0

  constructor (private readonly scenario: PlainScenario) {
    this.time = new VirtualTime(scenario.seed)
    this.replicas = scenario.speeds.map(() => ({ isUp: true, incarnation: 0, running: 0, queue: [], usedMs: 0, ran: 0 }))
    const decisions = { ...DEFAULT_DECISIONS, ...scenario.decisions }
    const limits = { ratio: 0.2, reserve: BUDGET_SLACK / scenario.entries, windowMs: 10_000 }
    const routes = [plainRoute({ name: 'repeatable', pathPrefix: '/rates/', timeoutMs: TIMEOUT_MS, targetLatencyMs: TARGET_MS }), plainRoute({ name: 'once', pathPrefix: '/orders/', kind: 'non_idempotent', maxAttempts: 1, timeoutMs: TIMEOUT_MS, targetLatencyMs: TARGET_MS })]
    this.entries = Array.from({ length: scenario.entries }, (_, i) => createRouterState(scenario.seed * 1_000 + i, `entry-${i}`, decisions, limits))
    for (let i = 0; i < scenario.entries; i++) {
      this.reduce(i, { type: 'config_learned', atMs: 0, config: configOf(1, routes) })
      const offsetMs = TICK_MS * i / scenario.entries
      for (let atMs = offsetMs; atMs < this.endMs() + DRAIN_MS; atMs += TICK_MS) this.time.at(atMs, () => this.reduce(i, { type: 'time_passed', atMs: this.time.nowMs }))
    }
    scenario.speeds.forEach((_, replica) => { this.register(replica) })
  }

  simulate (): PlainResult {
    const { load, speeds } = this.scenario
    const capacityPerMs = speeds.length * REPLICA_PER_S / 1_000
    for (let atMs = 0; atMs < this.endMs();) {
      atMs += -Math.log(1 - this.time.draw()) / ((atMs < WARM_UP_MS ? WARM_UP_LOAD : load(atMs)) * capacityPerMs)
      this.time.at(atMs, () => this.arrive())
    }
    for (let atMs = 50; atMs < this.endMs(); atMs += 50) this.time.at(atMs, () => this.applyMembership())
    this.time.runUntil(this.endMs() + DRAIN_MS)
    return this.result()
  }

  private endMs (): number {
    return this.scenario.seconds * 1_000
  }

  private result (): PlainResult {
    const callers = this.callers.filter(({ firstAtMs }) => firstAtMs >= WARM_UP_MS)
    const share = (count: number): number => count / callers.length
    const onTime = callers.filter(({ answeredAtMs = Infinity, firstAtMs }) => answeredAtMs - firstAtMs <= TARGET_MS).length
    const never = callers.filter(({ answeredAtMs }) => answeredAtMs === undefined).length
    let upMs = 0
    this.replicas.forEach((_, i) => { for (let atMs = WARM_UP_MS; atMs < this.endMs(); atMs += 50) upMs += this.isUp(i, atMs) ? 50 : 0 })
    return {
      callers: callers.length,
      onTime: share(onTime),
      late: share(callers.length - onTime - never),
      never: share(never),
      refusedShare: this.refused / this.sends,
      refusedOfCalls: this.refused / this.calls.size,
      usedShare: this.replicas.reduce((sum, { usedMs }) => sum + usedMs, 0) / (SLOTS * upMs),
      returnsPeak: Math.max(0, ...this.returns.values()),
      reasons: this.reasons,
      violations: this.violations,
      sentTooLate: this.sentTooLate,
      maxWaiting: this.maxWaiting,
      extraSends: this.extraSends,
      ran: this.replicas.map(({ ran }) => ran),
      tries: this.tries.list().filter(({ startedAtMs }) => startedAtMs >= WARM_UP_MS)
    }
  }

  private isUp (replica: number, atMs: number): boolean {
    return this.scenario.isUp?.(replica, atMs) ?? true
  }

  // A replica that leaves fails what it runs, and is removed from the registrations.
  private applyMembership (): void {
    this.replicas.forEach((replica, i) => {
      const isUp = this.isUp(i, this.time.nowMs)
      if (isUp === replica.isUp) return
      replica.isUp = isUp
      replica.incarnation += 1
      replica.running = 0
      for (const waiting of replica.queue.splice(0)) this.fail(waiting, 'connection_lost')
      if (isUp) this.register(i)
      else this.entries.forEach((_, entry) => this.reduce(entry, { type: 'replicas_changed', atMs: this.time.nowMs, present: [], gone: [`a${i}`] }))
    })
  }

  private register (replica: number): void {
    const { incarnation } = this.replicas[replica] as Replica
    const registration = replicaOf(`a${replica}`, 'plain', { startedAtMs: incarnation + 1, revision: incarnation + 1, registeredAtRevision: incarnation + 1 })
    this.entries.forEach((_, entry) => this.reduce(entry, { type: 'replicas_changed', atMs: this.time.nowMs, present: [registration], gone: [] }))
  }

  private arrive (): void {
    const isImpatient = this.time.draw() < (this.scenario.impatientShare ?? 0)
    const caller = { firstAtMs: this.time.nowMs, mayRepeat: this.time.draw() >= ONCE_SHARE, returnsLeft: isImpatient ? IMPATIENT_RETURNS : 1, isImpatient, tries: 0 }
    this.callers.push(caller)
    this.call(caller)
  }

  private call (caller: Caller, previousEntry?: number): void {
    const count = this.entries.length
    let entry = Math.floor(this.time.draw() * count)
    if (entry === previousEntry) entry = (entry + 1) % count
    this.keys += 1
    const key = String(this.keys)
    const { nowMs } = this.time
    caller.tries += 1
    const deadlineMs = caller.firstAtMs + CALLER_WAIT_MS - nowMs
    this.calls.set(key, { caller, entry, deadlineAtMs: nowMs + Math.min(TIMEOUT_MS, deadlineMs), runs: 0, sends: 0 })
    this.tries.begin(key, caller.tries, deadlineMs, nowMs)
    this.reduce(entry, { type: 'request_arrived', atMs: nowMs, arrival: { key, requestId: key, fingerprint: key, host: 'quotes.example', path: caller.mayRepeat ? '/rates/1' : '/orders/1', deadlineMs } })
  }

  private reduce (entry: number, event: RouterEvent): void {
    const state = this.entries[entry] as RouterState
    for (const effect of reduceRouter(state, event)) this.effects[effect.type]?.(entry, effect as never)
    for (const { waiting } of state.plainQueues.values()) this.maxWaiting = Math.max(this.maxWaiting, waiting.length)
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (entry: number, effect: RouterEffectOf<T>) => void } = {
    deliver: (_, { key }) => {
      const { caller } = this.calls.get(key) as Call
      caller.answeredAtMs ??= this.time.nowMs
      this.tries.end(key, 'served', this.time.nowMs)
    },
    refuse: (entry, { key, reason, retryAfterMs, status }) => this.handleRefusal(entry, key, status, reason, retryAfterMs),
    send_run: (entry, { attempt, key, replicaId }) => this.send(Number(replicaId.slice(1)), { entry, key, attempt }),
    set_deadline: (entry, { inMs, key }) => this.time.after(inMs, () => this.reduce(entry, { type: 'deadline_passed', atMs: this.time.nowMs, key })),
    wake_plain: (entry, { inMs, service }) => this.time.after(inMs, () => this.reduce(entry, { type: 'plain_wake_due', atMs: this.time.nowMs, service }))
  }

  private handleRefusal (entry: number, key: string, status: number, reason: string, retryAfterMs: number | undefined): void {
    const { caller, runs } = this.calls.get(key) as Call
    const label = `${status} ${reason}`
    this.tries.end(key, 'refused', this.time.nowMs)
    this.reasons[label] = (this.reasons[label] ?? 0) + 1
    if (status === 503 && runs > 0) this.violations += 1
    if (caller.returnsLeft === 0 || (status !== 503 && !caller.mayRepeat)) return
    caller.returnsLeft -= 1
    const remainingMs = caller.firstAtMs + CALLER_WAIT_MS - this.time.nowMs
    const inMs = caller.isImpatient ? 0 : Math.min(remainingMs / 3, retryAfterMs ?? 0)
    if (inMs >= remainingMs) return
    this.time.after(inMs + HOP_MS, () => {
      const bucket = Math.floor(this.time.nowMs / 100)
      this.returns.set(bucket, (this.returns.get(bucket) ?? 0) + 1)
      this.call(caller, entry)
    })
  }

  private send (index: number, running: Running): void {
    const call = this.calls.get(running.key) as Call
    call.sends += 1
    this.sends += 1
    if (call.sends > 1) this.extraSends += 1
    if (this.time.nowMs > call.deadlineAtMs) this.sentTooLate += 1
    this.time.after(HOP_MS, () => this.receive(index, running, call))
  }

  private receive (index: number, running: Running, call: Call): void {
    const replica = this.replicas[index] as Replica
    if (!replica.isUp) return this.fail(running, 'not_sent')
    if (replica.running >= SLOTS && replica.queue.length >= QUEUE) {
      this.refused += 1
      return this.fail(running, 'not_run')
    }
    call.runs += 1
    if (call.runs > 1 && !call.caller.mayRepeat) this.violations += 1
    replica.queue.push(running)
    this.startNext(index)
  }

  private startNext (index: number): void {
    const replica = this.replicas[index] as Replica
    if (replica.running >= SLOTS) return
    const next = replica.queue.shift()
    if (next === undefined) return
    replica.running += 1
    replica.ran += 1
    const { incarnation } = replica
    const serviceMs = SHORT_MS * (this.time.draw() < LONG_SHARE ? LONG_FACTOR : 1) / (this.scenario.speeds[index] as number)
    if (this.time.nowMs >= WARM_UP_MS) replica.usedMs += Math.max(0, Math.min(serviceMs, this.endMs() - this.time.nowMs))
    this.time.after(serviceMs, () => {
      if (replica.incarnation !== incarnation) return this.fail(next, 'connection_lost')
      replica.running -= 1
      this.time.after(HOP_MS, () => this.reduce(next.entry, { type: 'answer_complete', atMs: this.time.nowMs, key: next.key, attempt: next.attempt, status: 200, outputEvents: 0 }))
      this.startNext(index)
    })
  }

  private fail ({ attempt, entry, key }: Running, failure: 'connection_lost' | 'not_run' | 'not_sent'): void {
    this.time.after(HOP_MS, () => this.reduce(entry, { type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure }))
  }
}
