import { createRouterState, reduceRouter, TICK_MS } from '../../index.js'
import type { CrashReport, Replica, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'
import { configOf, plainRoute, replicaOf } from './RouterSimulation.js'
import { VirtualTime } from './VirtualTime.js'

/** Scenario of entries that send requests to crashing replicas, in virtual time. */
export interface CrashScenario {
  readonly seed: number
  readonly entries: number
  readonly replicas: number
  readonly seconds: number
  /** Requests per second of all callers: half of them share one fingerprint, the others each have their own. */
  readonly perSecond: number
  /** Interval between the arrivals of a request that crashes every replica that runs it. */
  readonly poisonIntervalMs?: number
  /** Number of copies of that request that arrive at the same time, at randomly chosen entries. */
  readonly poisonsPerInterval?: number
  /** Number of prompt parts that crash replicas; the crashing requests then differ and have one of them, in turn. */
  readonly badParts?: number
  /** Number of prompt parts that the regular requests have in second place, chosen at random. */
  readonly sessions?: number
  /** Interval between crashes that no request causes. */
  readonly crashIntervalMs?: number
  /** Time at which a third of the replicas crash. */
  readonly zoneLostAtMs?: number
  /** Delay between the crashes of the first and the second half of that third. */
  readonly zoneStepMs?: number
  /** Maximum additional delay of a crash report between entries. */
  readonly reportMs?: number
}

/** Result of a scenario. */
export interface CrashOutcome {
  readonly asked: number
  /** Requests that were refused as a cause of crashes although they cause none. */
  readonly wronglyRefused: number
  /** Sends of the crashing requests after the time by which all entries must know of their last tolerated crash. */
  readonly lateSends: number
  /** Replicas that crashed while they ran the crashing request, whatever the cause. */
  readonly poisonCrashes: number
  /** Crash reports published by the entries. */
  readonly reports: number
}

const POISON = 'poison'
/** Part that half of the regular requests and all crashing ones begin with. */
const SHARED_PART = 'shared'
/** Time after the last tolerated crash by which all entries must refuse the crashing requests. */
const KNOWN_WITHIN_MS = 3_000
/** Crashes that are tolerated of one request, and of different requests with one part. */
const MAX_CRASHES = 3
const MAX_PART_CRASHES = 5
const WARM_UP_MS = 1_000
const CRASH_DELAY_MS = 40
const RESPONSE_MS = 60
const CALL_MS = 5
const RESTART_MS = 2_000
const REGISTRATION_TTL_MS = 2_500
const MIN_REPORT_DELAY_MS = 50
const MAX_WATCH_DELAY_MS = 700

interface Running { readonly entry: number, readonly key: string, readonly attempt: number }

interface Process { readonly replica: Replica, readonly running: Set<Running>, hasEnded: boolean }

/** Simulates a crash scenario. */
export function simulateCrashes (scenario: CrashScenario): CrashOutcome {
  return new CrashSimulation(scenario).simulate()
}

class CrashSimulation {
  private readonly entries: RouterState[]
  private readonly time: VirtualTime
  private readonly processes = new Map<string, Process>()
  private readonly poisonSends = new Map<string, number[]>()
  private readonly poisonCrashes = new Map<string, number[]>()
  private readonly wronglyRefused = new Set<string>()
  private nextReplica = 0
  private asked = 0
  private reports = 0

  constructor (private readonly scenario: CrashScenario) {
    this.time = new VirtualTime(scenario.seed)
    this.entries = Array.from({ length: scenario.entries }, (_, i) => createRouterState(scenario.seed + i, `entry-${i}`))
    const config = configOf(1, [plainRoute({ maxAttempts: 2 })])
    const first = Array.from({ length: scenario.replicas }, () => this.createProcess())
    for (let i = 0; i < scenario.entries; i++) {
      this.reduce(i, { type: 'config_learned', atMs: 0, config })
      this.reduce(i, { type: 'replicas_changed', atMs: 0, present: first, gone: [] })
      for (let atMs = TICK_MS; atMs < scenario.seconds * 1_000; atMs += TICK_MS) this.time.at(atMs, () => this.reduce(i, { type: 'time_passed', atMs: this.time.nowMs }))
    }
  }

  simulate (): CrashOutcome {
    const { crashIntervalMs, perSecond, poisonIntervalMs, poisonsPerInterval = 1, seconds, zoneLostAtMs, zoneStepMs = 0 } = this.scenario
    const endMs = seconds * 1_000
    for (let i = 0; i < perSecond * seconds; i++) this.time.at(this.time.draw() * endMs, () => this.submitRegular(i))
    this.repeat(poisonIntervalMs, () => { for (let i = 0; i < poisonsPerInterval; i++) this.submitPoison() })
    this.repeat(crashIntervalMs, () => this.crash(this.pickProcess()))
    if (zoneLostAtMs !== undefined) this.time.at(zoneLostAtMs, () => this.crashZone(zoneStepMs))
    this.time.runUntil(endMs)
    return {
      asked: this.asked,
      wronglyRefused: this.wronglyRefused.size,
      lateSends: Math.max(0, ...[...this.poisonSends].map(([name, sends]) => sends.filter((atMs) => atMs > this.knownAtMs(name)).length)),
      poisonCrashes: Math.max(0, ...[...this.poisonCrashes.values()].map(({ length }) => length)),
      reports: this.reports
    }
  }

  private knownAtMs (name: string): number {
    const tolerated = this.scenario.badParts === undefined ? MAX_CRASHES : MAX_PART_CRASHES
    return (this.poisonCrashes.get(name)?.[tolerated - 1] ?? Infinity) + KNOWN_WITHIN_MS
  }

  private submitRegular (index: number): void {
    const { sessions } = this.scenario
    const fingerprint = index % 2 === 0 && sessions === undefined ? 'polled' : `own-${index}`
    if (sessions === undefined) return this.submit(fingerprint)
    this.submit(fingerprint, [index % 2 === 0 ? SHARED_PART : 'other', `session-${Math.floor(this.time.draw() * sessions)}`, fingerprint])
  }

  private submitPoison (): void {
    const { badParts } = this.scenario
    if (badParts === undefined) return this.submit(POISON)
    const name = `${POISON}-${this.asked % badParts}`
    this.submit(`${name}-${this.asked}`, [SHARED_PART, name, `own-${this.asked}`])
  }

  private crashZone (delayMs: number): void {
    const crashed = this.alive().filter((_, i) => i % 3 === 0)
    for (const [i, process] of crashed.entries()) this.time.after(i % 2 === 0 ? 0 : delayMs, () => this.crash(process))
  }

  private repeat (intervalMs: number | undefined, run: () => void): void {
    if (intervalMs === undefined) return
    for (let atMs = WARM_UP_MS; atMs < this.scenario.seconds * 1_000; atMs += intervalMs) this.time.at(atMs, run)
  }

  private submit (fingerprint: string, partIds?: readonly string[]): void {
    const entry = Math.floor(this.time.draw() * this.entries.length)
    const key = `${fingerprint}.${this.asked}`
    this.asked += 1
    this.reduce(entry, { type: 'request_arrived', atMs: this.time.nowMs, arrival: { key, requestId: key, fingerprint, host: 'quotes.example', path: '/rates/1', deadlineMs: 3_000, prompt: partIds === undefined ? undefined : { promptTokens: 100, maxOutputTokens: 10, partIds } } })
  }

  private reduce (entry: number, event: RouterEvent): void {
    for (const effect of reduceRouter(this.entries[entry] as RouterState, event)) this.effects[effect.type]?.(entry, effect as never)
  }

  private readonly effects: { readonly [T in RouterEffect['type']]?: (entry: number, effect: RouterEffectOf<T>) => void } = {
    check_replica: (entry, { replicaId, startedAtMs }) => this.time.after(CALL_MS, () => {
      this.reduce(entry, { type: 'replica_checked', atMs: this.time.nowMs, replicaId, startedAtMs, outcome: this.processes.get(replicaId)?.hasEnded === true ? 'ended' : 'alive' })
    }),
    publish_crashes: (entry, { report }) => this.publishReport(entry, report),
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
      addTo(this.poisonSends, poisonNameOf(key), this.time.nowMs)
      return this.time.after(CRASH_DELAY_MS, () => this.crash(process))
    }
    this.time.after(RESPONSE_MS, () => {
      if (process.running.delete(running)) this.reduce(entry, { type: 'answer_complete', atMs: this.time.nowMs, key, attempt, status: 200, outputEvents: 0 })
    })
  }

  private crash (process: Process | undefined): void {
    if (process === undefined || process.hasEnded) return
    process.hasEnded = true
    for (const name of new Set([...process.running].filter(({ key }) => key.startsWith(POISON)).map(({ key }) => poisonNameOf(key)))) addTo(this.poisonCrashes, name, this.time.nowMs)
    for (const { attempt, entry, key } of process.running) this.reduce(entry, { type: 'run_failed', atMs: this.time.nowMs, key, attempt, failure: 'connection_lost' })
    process.running.clear()
    this.time.after(RESTART_MS, () => this.updateReplicas([this.createProcess()], []))
    this.time.after(REGISTRATION_TTL_MS, () => this.updateReplicas([], [process.replica.replicaId]))
  }

  private updateReplicas (present: readonly Replica[], gone: readonly string[]): void {
    for (let i = 0; i < this.entries.length; i++) this.time.after(this.time.draw() * MAX_WATCH_DELAY_MS, () => this.reduce(i, { type: 'replicas_changed', atMs: this.time.nowMs, present, gone }))
  }

  private publishReport (from: number, report: CrashReport): void {
    this.reports += 1
    const { reportMs = MAX_WATCH_DELAY_MS } = this.scenario
    for (let i = 0; i < this.entries.length; i++) {
      if (i !== from) this.time.after(MIN_REPORT_DELAY_MS + this.time.draw() * reportMs, () => this.reduce(i, { type: 'crash_report_learned', atMs: this.time.nowMs, reporter: `entry-${from}`, report }))
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

  private pickProcess (): Process | undefined {
    const alive = this.alive()
    return alive[Math.floor(this.time.draw() * alive.length)]
  }
}

// Copies of a crashing request, or different requests with the same bad part, have one name.
function poisonNameOf (key: string): string {
  return key.split('.')[0]?.split('-').slice(0, 2).join('-') ?? key
}

function addTo (all: Map<string, number[]>, name: string, atMs: number): void {
  all.set(name, [...all.get(name) ?? [], atMs])
}
