import { createRouterState, reduceRouter, TICK_MS } from '../../index.js'
import type { CrashReport, Replica, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { configOf, plainRoute, replicaOf } from './RouterWorld.js'
import { VirtualTime } from './VirtualTime.js'

/** Entries before replicas that crash, in virtual time. */
export interface CrashPlay {
  readonly seed: number
  readonly entries: number
  readonly replicas: number
  readonly seconds: number
  /** Requests of all callers a second: half of them for one path, half each for its own. */
  readonly perSecond: number
  /** Request that crashes what runs it: times between two of its arrivals. */
  readonly poisonEachMs?: number
  /** Of these some arrive at once, at different entries. */
  readonly poisonsAtOnce?: number
  /** Time between two crashes that no request causes. */
  readonly crashEachMs?: number
  /** When a third of the replicas crash at once. */
  readonly zoneLostAtMs?: number
  /** How much later than the first half of that third the second half crashes. */
  readonly zoneStepMs?: number
  /** Longest way of a report. */
  readonly reportMs?: number
}

/** What came of a play. */
export interface CrashOutcome {
  readonly asked: number
  /** Requests other than the one that crashes replicas, refused as if they did. */
  readonly wronglyRefused: number
  /** Sends of that one later than the time in which all know of its third crash. */
  readonly lateSends: number
  /** Replicas that ended while they ran it, whatever the cause. */
  readonly poisonCrashes: number
  /** Reports that entries wrote. */
  readonly reports: number
}

const POISON = 'poison'
const CONTACT_MS = 3_000
const LIMIT = 3
const WARM_UP_MS = 1_000
const BEGIN_MS = 40
const ANSWER_MS = 60
const CALL_MS = 5
const BACK_MS = 2_000
const LAPSE_MS = 2_500
const TOLD_MS = 50
const WATCH_MS = 700

interface Running { readonly entry: number, readonly key: string, readonly attempt: number }

interface Process { readonly replica: Replica, readonly running: Set<Running>, hasEnded: boolean }

/** Plays it. */
export function playCrashes (play: CrashPlay): CrashOutcome {
  return new CrashWorld(play).play()
}

class CrashWorld {
  private readonly entries: RouterState[]
  private readonly time: VirtualTime
  private readonly processes = new Map<string, Process>()
  private readonly poisonSends: number[] = []
  private readonly poisonCrashes: number[] = []
  private readonly wronglyRefused = new Set<string>()
  private nextReplica = 0
  private asked = 0
  private reports = 0

  constructor (private readonly plan: CrashPlay) {
    this.time = new VirtualTime(plan.seed)
    this.entries = Array.from({ length: plan.entries }, (_, i) => createRouterState(plan.seed + i, `entry-${i}`))
    const config = configOf(1, [plainRoute({ maxAttempts: 2 })])
    const first = Array.from({ length: plan.replicas }, () => this.createProcess())
    for (let i = 0; i < plan.entries; i++) {
      this.reduce(i, { type: 'config_learned', atMs: 0, config })
      this.reduce(i, { type: 'replicas_changed', atMs: 0, present: first, gone: [] })
      for (let atMs = TICK_MS; atMs < plan.seconds * 1_000; atMs += TICK_MS) this.time.at(atMs, () => this.reduce(i, { type: 'time_passed', atMs: this.time.nowMs }))
    }
  }

  play (): CrashOutcome {
    const { crashEachMs, perSecond, poisonEachMs, poisonsAtOnce = 1, seconds, zoneLostAtMs, zoneStepMs = 0 } = this.plan
    const endMs = seconds * 1_000
    for (let i = 0; i < perSecond * seconds; i++) this.time.at(this.time.draw() * endMs, () => this.ask(i % 2 === 0 ? 'polled' : `own-${i}`))
    this.repeat(poisonEachMs, () => { for (let i = 0; i < poisonsAtOnce; i++) this.ask(POISON) })
    this.repeat(crashEachMs, () => this.crash(this.drawProcess()))
    if (zoneLostAtMs !== undefined) this.time.at(zoneLostAtMs, () => this.loseZone(zoneStepMs))
    this.time.playUntil(endMs)
    const knownAtMs = (this.poisonCrashes[LIMIT - 1] ?? Infinity) + CONTACT_MS
    return {
      asked: this.asked,
      wronglyRefused: this.wronglyRefused.size,
      lateSends: this.poisonSends.filter((atMs) => atMs > knownAtMs).length,
      poisonCrashes: this.poisonCrashes.length,
      reports: this.reports
    }
  }

  private loseZone (stepMs: number): void {
    const lost = this.alive().filter((_, i) => i % 3 === 0)
    for (const [i, one] of lost.entries()) this.time.after(i % 2 === 0 ? 0 : stepMs, () => this.crash(one))
  }

  private repeat (eachMs: number | undefined, act: () => void): void {
    if (eachMs === undefined) return
    for (let atMs = WARM_UP_MS; atMs < this.plan.seconds * 1_000; atMs += eachMs) this.time.at(atMs, act)
  }

  private ask (fingerprint: string): void {
    const entry = Math.floor(this.time.draw() * this.entries.length)
    const key = `${fingerprint}.${this.asked}`
    this.asked += 1
    this.reduce(entry, { type: 'request_arrived', atMs: this.time.nowMs, arrival: { key, requestId: key, fingerprint, host: 'quotes.example', path: '/rates/1', deadlineMs: 3_000 } })
  }

  private reduce (entry: number, event: RouterEvent): void {
    for (const effect of reduceRouter(this.entries[entry] as RouterState, event)) this.effects[effect.type]?.(entry, effect as never)
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (entry: number, effect: RouterEffectOf<T>) => void } = {
    check_replica: (entry, { replicaId, startedAtMs }) => this.time.after(CALL_MS, () => {
      this.reduce(entry, { type: 'replica_checked', atMs: this.time.nowMs, replicaId, startedAtMs, outcome: this.processes.get(replicaId)?.hasEnded === true ? 'ended' : 'alive' })
    }),
    publish_crashes: (entry, { report }) => this.tell(entry, report),
    refuse: (_, { key, reason }) => {
      if (reason === 'crashes_replicas' && !key.startsWith(POISON)) this.wronglyRefused.add(key)
    },
    send_run: (entry, effect) => this.run(entry, effect)
  }

  private run (entry: number, { attempt, key, replicaId }: RouterEffectOf<'send_run'>): void {
    const process = this.processes.get(replicaId) as Process
    if (process.hasEnded) return this.time.after(CALL_MS, () => this.reduce(entry, { type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'not_sent' }))
    const running = { entry, key, attempt }
    process.running.add(running)
    if (key.startsWith(POISON)) {
      this.poisonSends.push(this.time.nowMs)
      return this.time.after(BEGIN_MS, () => this.crash(process))
    }
    this.time.after(ANSWER_MS, () => {
      if (process.running.delete(running)) this.reduce(entry, { type: 'answer_complete', atMs: this.time.nowMs, key, attempt, status: 200, outputEvents: 0 })
    })
  }

  private crash (process: Process | undefined): void {
    if (process === undefined || process.hasEnded) return
    process.hasEnded = true
    if ([...process.running].some(({ key }) => key.startsWith(POISON))) this.poisonCrashes.push(this.time.nowMs)
    for (const { attempt, entry, key } of process.running) this.reduce(entry, { type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'connection_lost' })
    process.running.clear()
    this.time.after(BACK_MS, () => this.tellReplicas([this.createProcess()], []))
    this.time.after(LAPSE_MS, () => this.tellReplicas([], [process.replica.replicaId]))
  }

  private tellReplicas (present: readonly Replica[], gone: readonly string[]): void {
    for (let i = 0; i < this.entries.length; i++) this.time.after(this.time.draw() * WATCH_MS, () => this.reduce(i, { type: 'replicas_changed', atMs: this.time.nowMs, present, gone }))
  }

  private tell (from: number, report: CrashReport): void {
    this.reports += 1
    const { reportMs = WATCH_MS } = this.plan
    for (let i = 0; i < this.entries.length; i++) {
      if (i !== from) this.time.after(TOLD_MS + this.time.draw() * reportMs, () => this.reduce(i, { type: 'crash_report_learned', atMs: this.time.nowMs, reporter: `entry-${from}`, report }))
    }
  }

  private createProcess (): Replica {
    const replicaId = `r${this.nextReplica++}`
    const replica = replicaOf(replicaId, 'plain', { startedAtMs: Math.round(this.time.nowMs), registeredAtRevision: this.nextReplica, revision: this.nextReplica })
    this.processes.set(replicaId, { replica, running: new Set(), hasEnded: false })
    return replica
  }

  private alive (): Process[] {
    return [...this.processes.values()].filter(({ hasEnded }) => !hasEnded)
  }

  private drawProcess (): Process | undefined {
    const alive = this.alive()
    return alive[Math.floor(this.time.draw() * alive.length)]
  }
}
