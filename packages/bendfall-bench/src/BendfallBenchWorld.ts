/**
 * The processes of a run: states of the unchanged reducer, joined by messages
 * with network delay, over models of engines and services.
 *
 * @module
 */
import type { Effect, Event, HomeHolder, InstanceRecord, LoadView, Reducer, State, TimerKey } from 'bendfall-core'
import { holdsRequest, loadView } from 'bendfall-core'
import type { Clock } from './BendfallBenchClock.js'
import { handleEffect } from './BendfallBenchEffects.js'
import type { Fact } from './BendfallBenchEngineSink.js'
import { LOCAL_DELAY_MS, WALL_START_MS } from './BendfallBenchDeployment.js'
import type { Deployment } from './BendfallBenchDeployment.js'
import { createConfig, createInstances } from './BendfallBenchFleet.js'
import { lostAnswer } from './BendfallBenchLostAnswers.js'
import type { AskKind } from './BendfallBenchLostAnswers.js'
import type { Policy } from './BendfallBenchPolicies.js'
import type { Tally } from './BendfallBenchTally.js'
import { createUpstream } from './BendfallBenchUpstream.js'
import type { Upstream } from './BendfallBenchUpstream.js'

/** An ask that waits for its answer. */
export interface Pending {
  readonly kind: AskKind
  readonly requestId: string
  readonly attempt: number
  readonly from: BenchProcess
}

/** One process of a run. */
export interface BenchProcess {
  readonly record: InstanceRecord
  /** Its clock shows this much more than that of the run. */
  readonly clockOffsetMs: number
  readonly upstream?: Upstream
  /** Asks at this process, by kind, request and attempt. */
  readonly pending: Map<string, Pending>
  readonly timers: Map<string, number>
  /** Loads told so far, for reports that lag. */
  readonly loads: Array<{ readonly atMs: number, readonly load: LoadView }>
  state: State
  isAlive: boolean
}

/** What a run is made of. */
export interface WorldParts {
  readonly deployment: Deployment
  readonly policy: Policy
  readonly seed: number
  readonly clock: Clock
  readonly tally: Tally
  readonly onEnd: (requestId: string) => void
  readonly onStep?: (type: Event['type'], elapsedMs: number) => void
  readonly isTracing: boolean
}

/** Changing the instance list takes this long to reach the processes. */
const INSTANCE_LAG_MS = 5_000
/** A connect to a dead instance is given up after this time. */
const CONNECT_TIMEOUT_MS = 300
/** A broken stream to a dead instance is noticed after this time, by pings. */
const PING_TIMEOUT_MS = 1_000
/** No two processes have the same clock. */
const CLOCK_STEP_MS = 10_000
/** Engines report this often. */
const REPORT_MS = 1_000
/** Holders renew their leases of key ranges this often. */
const HOME_RENEWAL_MS = 40_000
const HOME_LEASE_MS = 120_000
const HOME_SLOTS = 16
const HOME_EPOCH = 1

/** The processes of a run. */
export class World {
  readonly processes = new Map<string, BenchProcess>()
  /** Loads and reports show the state of so long ago. */
  loadLagMs = 0
  /** Share of the transfers that stall. */
  stallShare = 0
  isKeyValueDown = false
  /** Effects that nobody here carries out, by type. */
  readonly unknownEffects = new Map<string, number>()
  private readonly reducer: Reducer
  private starts = 0

  constructor (readonly parts: WorldParts) {
    this.reducer = parts.policy.createReducer()
    for (const record of createInstances(parts.deployment)) this.start(record)
    this.announceInstances()
    this.renewHomes()
    this.every(REPORT_MS, () => this.reportEngines())
    this.every(HOME_RENEWAL_MS, () => this.renewHomes())
  }

  get clock (): Clock {
    return this.parts.clock
  }

  /**
   * Feeds an event to a process and carries out the effects.
   *
   * @param process - the process
   * @param fact - the event without its time
   */
  dispatch (process: BenchProcess, fact: Fact): void {
    if (!process.isAlive) return
    const event = { ...fact, atMs: this.clock.nowMs + process.clockOffsetMs } as Event
    const step = this.reduce(process, event)
    process.state = step.state
    for (const effect of step.effects) this.carryOut(process, effect)
  }

  /**
   * Sends a message that has no answer.
   *
   * @param from - sender
   * @param to - instance of the receiver
   * @param fact - the event at the receiver
   */
  send (from: BenchProcess, to: string, fact: Fact): void {
    this.clock.after(this.delayMs(from, to), () => {
      const target = this.processes.get(to)
      if (target !== undefined) this.dispatch(target, fact)
    })
  }

  /**
   * Sends a message that wants an answer. A dead receiver leads to the event
   * that the transport makes of it.
   *
   * @param pending - the ask
   * @param to - instance of the receiver
   * @param fact - the event at the receiver
   */
  ask (pending: Pending, to: string, fact: Fact): void {
    this.clock.after(this.delayMs(pending.from, to), () => {
      const target = this.processes.get(to)
      if (target === undefined || !target.isAlive) {
        this.clock.after(CONNECT_TIMEOUT_MS, () => this.dispatch(pending.from, lostAnswer(pending, to, false)))
        return
      }
      target.pending.set(keyOf(pending), pending)
      this.dispatch(target, fact)
    })
  }

  /**
   * Sends an answer to whoever asked.
   *
   * @param process - the process that answers
   * @param key - kind, request and attempt of the ask
   * @param fact - the event at the process that asked
   * @param load - load that rides on the answer
   */
  reply (process: BenchProcess, key: Omit<Pending, 'from'>, fact: Fact, load?: LoadView): void {
    const pending = process.pending.get(keyOf(key))
    if (pending === undefined) return
    process.pending.delete(keyOf(key))
    const { instanceId } = pending.from.record
    if (load !== undefined) this.send(process, instanceId, this.loadSeen(process, load))
    this.send(process, instanceId, fact)
  }

  /**
   * Sends a part of an answer to whoever asked.
   *
   * @param process - the process that answers
   * @param key - kind, request and attempt of the ask
   * @param fact - the event at the process that asked
   */
  relay (process: BenchProcess, key: Omit<Pending, 'from'>, fact: Fact): void {
    const pending = process.pending.get(keyOf(key))
    if (pending !== undefined) this.send(process, pending.from.record.instanceId, fact)
  }

  /**
   * Renews leases; the answer names those that are no longer held, and tells
   * the load when none is named.
   *
   * @param from - entry that renews
   * @param to - instance of the sidecar
   * @param requestIds - requests whose leases are renewed
   */
  renew (from: BenchProcess, to: string, requestIds: readonly string[]): void {
    const entryId = from.record.instanceId
    this.clock.after(this.delayMs(from, to), () => {
      const target = this.processes.get(to)
      if (target === undefined || !target.isAlive) return
      this.dispatch(target, { type: 'leases_renewed', entryId, requestIds })
      const refused = requestIds.filter((requestId) => !holdsRequest(target.state, requestId))
      if (requestIds.length === 0) this.tellLoad(target, entryId)
      if (refused.length > 0) this.send(target, entryId, { type: 'leases_refused', instanceId: to, requestIds: refused })
    })
  }

  /** Sets a timer of a process. */
  setTimer (process: BenchProcess, timer: TimerKey, atMs: number): void {
    const key = `${timer.kind}/${timer.id}`
    const version = ++this.starts
    process.timers.set(key, version)
    this.clock.after(atMs - process.clockOffsetMs - this.clock.nowMs, () => {
      if (process.timers.get(key) !== version) return
      process.timers.delete(key)
      this.dispatch(process, { type: 'timer_fired', timer })
    })
  }

  /**
   * Shows a load as a receiver sees it: as it was `loadLagMs` ago.
   *
   * @param process - the process that tells it
   * @param load - the load of now
   * @returns the load to send
   */
  lagLoad (process: BenchProcess, load: LoadView): LoadView {
    process.loads.push({ atMs: this.clock.nowMs, load })
    if (this.loadLagMs === 0) return load
    const seen = process.loads.findLast(({ atMs }) => atMs <= this.clock.nowMs - this.loadLagMs)
    return (seen ?? process.loads[0]).load
  }

  /** Ends a process and its upstream without warning. */
  kill (instanceId: string): void {
    const process = this.processes.get(instanceId)
    if (process === undefined) return
    process.isAlive = false
    process.upstream?.kill()
    this.clock.after(PING_TIMEOUT_MS, () => {
      for (const pending of process.pending.values()) this.dispatch(pending.from, lostAnswer(pending, instanceId, true))
    })
    this.announceLater()
  }

  /** Starts a process again that was ended, with a fresh state and upstream. */
  restart (instanceId: string): void {
    const process = this.processes.get(instanceId)
    if (process === undefined) return
    this.start(process.record)
    this.renewHomes()
    this.announceLater()
  }

  /** Instances of a kind, in the order of their names. */
  find (matches: (record: InstanceRecord) => boolean): BenchProcess[] {
    return [...this.processes.values()].filter(({ record }) => matches(record))
  }

  private start (record: InstanceRecord): void {
    const { policy, seed, deployment } = this.parts
    const order = ++this.starts
    const role = record.kind === 'entry' ? 'entry' : 'sidecar'
    const self = { instanceId: record.instanceId, incarnation: `${order}`, availabilityZone: record.availabilityZone, role, pool: record.pool } as const
    const process: BenchProcess = {
      record,
      clockOffsetMs: order * CLOCK_STEP_MS,
      upstream: createUpstream(this, record),
      pending: new Map(),
      timers: new Map(),
      loads: [],
      state: policy.createState(self, seed * CLOCK_STEP_MS + order),
      isAlive: true
    }
    this.processes.set(record.instanceId, process)
    this.dispatch(process, { type: 'config_learned', config: createConfig(deployment) })
    this.dispatch(process, { type: 'instances_listed', instances: this.listInstances() })
  }

  private reduce (process: BenchProcess, event: Event): ReturnType<Reducer> {
    const { onStep } = this.parts
    if (onStep === undefined) return this.reducer(process.state, event)
    const startedAtMs = performance.now()
    const step = this.reducer(process.state, event)
    onStep(event.type, performance.now() - startedAtMs)
    return step
  }

  private carryOut (process: BenchProcess, effect: Effect): void {
    if (!handleEffect(this, process, effect)) {
      this.unknownEffects.set(effect.type, (this.unknownEffects.get(effect.type) ?? 0) + 1)
    }
  }

  private tellLoad (process: BenchProcess, entryId: string): void {
    const load = loadView(process.state, this.clock.nowMs + process.clockOffsetMs)
    this.send(process, entryId, this.loadSeen(process, this.lagLoad(process, load)))
  }

  private loadSeen (process: BenchProcess, load: LoadView): Fact {
    return { type: 'load_seen', instanceId: process.record.instanceId, load, incarnation: process.state.self.incarnation }
  }

  private delayMs (from: BenchProcess, to: string): number {
    const zone = this.processes.get(to)?.record.availabilityZone
    return zone === from.record.availabilityZone ? LOCAL_DELAY_MS : this.parts.deployment.zoneDelayMs
  }

  private listInstances (): InstanceRecord[] {
    return this.find(() => true).filter(({ isAlive }) => isAlive).map(({ record }) => record)
  }

  private announceLater (): void {
    this.clock.after(INSTANCE_LAG_MS, () => this.announceInstances())
  }

  private announceInstances (): void {
    const instances = this.listInstances()
    for (const process of this.processes.values()) this.dispatch(process, { type: 'instances_listed', instances })
  }

  private reportEngines (): void {
    for (const process of this.processes.values()) {
      const report = process.upstream?.report()
      if (report === undefined) continue
      this.clock.after(REPORT_MS / 2 + this.loadLagMs, () => this.dispatch(process, { type: 'engine_reported', report }))
    }
  }

  private renewHomes (): void {
    for (const process of this.processes.values()) this.renewHome(process)
  }

  private renewHome (process: BenchProcess): void {
    const { servicePool } = this.parts.deployment
    const { pool, instanceId } = process.record
    if (pool !== servicePool || this.isKeyValueDown) return
    const holders = createHolders(this.find((record) => record.pool === servicePool))
    const slots = holders.filter(({ holderId }) => holderId === instanceId).map(({ slot, epoch }) => ({ slot, epoch, sinceWallMs: 0 }))
    const validUntilMs = this.clock.nowMs + process.clockOffsetMs + HOME_LEASE_MS
    this.dispatch(process, { type: 'home_lease_changed', pool, slots, holders, validUntilMs, wallMs: WALL_START_MS + this.clock.nowMs })
  }

  private every (periodMs: number, run: () => void): void {
    this.clock.after(periodMs, () => {
      run()
      this.every(periodMs, run)
    })
  }
}

function createHolders (processes: readonly BenchProcess[]): HomeHolder[] {
  return Array.from({ length: HOME_SLOTS }, (_, slot) => ({
    slot,
    holderId: processes[slot % processes.length].record.instanceId,
    epoch: HOME_EPOCH
  }))
}

function keyOf (key: Omit<Pending, 'from'>): string {
  return `${key.kind}/${key.requestId}/${key.attempt}`
}
