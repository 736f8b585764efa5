/**
 * Entries, sidecars with holders, an upstream and a key-value service in
 * virtual time. Sidecars can freeze between any two steps, also between the
 * decision to run a call and its sending.
 *
 * @module
 */
import type { CallAsk, CallReply, Config, Event, InstanceRecord, RequestEnd, ServiceRequest, State, TimerKey } from 'bendfall-core'
import { DEFAULT_HOME_LIMITS, createBendfallReducer, createHomeState, createInitialState } from 'bendfall-core'
import type { Clock, EventInput, HomeHolderTimes, Runtime } from '../../index.js'
import { DEFAULT_HOME_HOLDER_TIMES, createRuntime, registerHomeHolder } from '../../index.js'
import { HomeKeyValue } from './BendfallNodeHomeKeyValue.js'

export const POOL = 'booking'
export const WALL_MS = 1_000_000_000
const LIST_EVERY_MS = 1_000
const CALL_TIMEOUT_MS = 4_000
export const LIMITS = { ...DEFAULT_HOME_LIMITS, keyRetentionMs: 15_000, longestCallMs: 8_000, clockSkewMs: 500 }
const TIMES: HomeHolderTimes = {
  ...DEFAULT_HOME_HOLDER_TIMES,
  leaseTtlMs: 8_000,
  leaseMarginMs: 1_000,
  renewalMs: 1_500,
  tickMs: 500,
  watchWaitMs: 3_000,
  rereadMs: 500,
  claimStaggerMs: 500,
  goneConfirmMs: 3_000,
  handoverMs: 6_000,
  retreatMs: 2_000,
  drainWaitMs: 1_000
}
const CONFIG: Config = {
  version: 1,
  writeId: 'w',
  classes: { interactive: { firstOutputMs: 500, stepMs: 50 }, summary: { firstOutputMs: 500, stepMs: 50 } },
  models: {},
  pools: { [POOL]: { role: 'service', replicas: 3 } },
  routes: [],
  clients: {},
  links: [],
  assignments: {},
  withdrawn: []
}

/** One run of a call at the upstream. */
export interface UpstreamRun {
  readonly requestId: string
  readonly key: string
}

/** A process that can freeze, die and start again. */
export class HomeProcess {
  runtime: Runtime
  generation = 0
  isUp = true
  isListed = true
  frozenUntilMs = 0
  cutUntilMs = 0
  /** Part of the asks that a cut line loses; of the others it loses the answer. */
  cutLoss = 0.4
  readonly replies = new Map<string, (reply: CallReply) => void>()
  readonly #timers = new Map<string, () => void>()
  #parked: Array<() => void> = []
  teardown: () => Promise<void> = async () => {}

  constructor (readonly world: HomeWorld, readonly id: string, readonly role: 'entry' | 'sidecar', public skewMs: number) {
    this.runtime = this.start()
  }

  start (): Runtime {
    this.generation++
    this.isUp = true
    this.isListed = true
    const self = { instanceId: this.id, incarnation: String(this.generation), availabilityZone: 'split-hall-a', role: this.role, pool: this.role === 'entry' ? '' : POOL }
    const initial = createInitialState(self, 3)
    const state: State = initial.home === undefined ? initial : { ...initial, home: createHomeState(LIMITS) }
    this.runtime = createRuntime(createBendfallReducer(), state, this.clock())
    this.world.registerEffects(this)
    this.runtime.dispatch({ type: 'config_learned', config: CONFIG })
    this.runtime.dispatch({ type: 'instances_listed', instances: this.world.listed() })
    if (this.role === 'sidecar') {
      const identity = { holderId: this.id, incarnation: self.incarnation, address: `${this.id}:1` }
      this.teardown = registerHomeHolder(this.runtime, { keyValue: this.world.keyValue.portFor(this), self: identity, times: TIMES })
    }
    return this.runtime
  }

  clock (): Clock {
    const { generation, world } = this
    return {
      nowMs: () => world.nowMs,
      wallMs: () => world.nowMs + WALL_MS + this.skewMs,
      callAt: (atMs, callback) => {
        let isCancelled = false
        world.after(atMs - world.nowMs, () => this.deliver(() => { if (!isCancelled) callback() }, generation))
        return () => { isCancelled = true }
      }
    }
  }

  /** Runs a step now, or after the freeze; never in a later process. */
  deliver (action: () => void, generation = this.generation): void {
    if (!this.isUp || generation !== this.generation) return
    if (this.world.nowMs >= this.frozenUntilMs) return action()
    this.#parked.push(() => this.deliver(action, generation))
  }

  dispatch (event: EventInput): void {
    const { generation } = this
    this.deliver(() => this.runtime.dispatch(event), generation)
  }

  setTimer (timer: TimerKey, atMs: number): void {
    this.clearTimer(timer)
    const cancel = this.clock().callAt(atMs, () => this.runtime.dispatch({ type: 'timer_fired', timer }))
    this.#timers.set(`${timer.kind}/${timer.id}`, cancel)
  }

  clearTimer (timer: TimerKey): void {
    this.#timers.get(`${timer.kind}/${timer.id}`)?.()
  }

  freeze (durationMs: number): void {
    this.frozenUntilMs = this.world.nowMs + durationMs
    this.world.after(durationMs, () => {
      const parked = this.#parked
      this.#parked = []
      for (const action of parked) action()
    })
  }

  isCut (): boolean {
    return this.world.nowMs < this.cutUntilMs
  }

  crash (): void {
    this.isUp = false
    this.frozenUntilMs = 0
    this.#parked = []
    for (const reply of this.replies.values()) this.world.after(1, () => reply({ type: 'unreachable', reached: true }))
    this.replies.clear()
  }
}

export class HomeWorld {
  nowMs = 0
  readonly times = TIMES
  readonly keyValue = new HomeKeyValue(this)
  readonly sidecars: readonly HomeProcess[]
  readonly entries: readonly HomeProcess[]
  readonly runs: UpstreamRun[] = []
  readonly ends = new Map<string, RequestEnd[]>()
  readonly answers = new Map<string, string>()
  readonly violations: string[] = []
  netCutUntilMs = 0
  #seed: number
  /** Last first; of two at the same time the later one goes first. */
  readonly #queue: Array<{ readonly atMs: number, readonly action: () => void }> = []

  constructor (seed: number, readonly hasFaults: boolean) {
    this.#seed = seed
    this.sidecars = []
    this.entries = []
    const skewMs = (): number => this.random() * LIMITS.clockSkewMs
    this.sidecars = ['a', 'b', 'c'].map((id) => new HomeProcess(this, id, 'sidecar', skewMs()))
    this.entries = ['e1', 'e2'].map((id) => new HomeProcess(this, id, 'entry', skewMs()))
    this.#sendLists()
  }

  random (): number {
    this.#seed = (Math.imul(this.#seed, 1664525) + 1013904223) >>> 0
    return this.#seed / 0x100000000
  }

  /** A random time; 0 in a world without faults, so that its order is known. */
  jitter (longestMs: number): number {
    return this.hasFaults ? this.random() * longestMs : 0
  }

  after (delayMs: number, action: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs)
    let [low, high] = [0, this.#queue.length]
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#queue[middle].atMs > atMs) low = middle + 1
      else high = middle
    }
    this.#queue.splice(low, 0, { atMs, action })
  }

  async run (untilMs: number): Promise<void> {
    for (let next = this.#queue.at(-1); next !== undefined && next.atMs <= untilMs; next = this.#queue.at(-1)) {
      this.#queue.pop()
      this.nowMs = next.atMs
      next.action()
      await new Promise(setImmediate)
    }
    this.nowMs = untilMs
  }

  listed (): readonly InstanceRecord[] {
    const ids = this.sidecars.length === 0 ? ['a', 'b', 'c'] : this.sidecars.filter((one) => one.isListed).map(({ id }) => id)
    return ids.map((instanceId) => ({ instanceId, availabilityZone: 'split-hall-a', address: `${instanceId}:1`, kind: 'upstream', pool: POOL, state: 'live' }))
  }

  #sendLists (): void {
    const instances = this.listed()
    const lagMs = this.jitter(2_000)
    for (const process of [...this.sidecars, ...this.entries]) {
      this.after(lagMs, () => process.dispatch({ type: 'instances_listed', instances }))
    }
    this.after(LIST_EVERY_MS, () => this.#sendLists())
  }

  registerEffects (process: HomeProcess): void {
    const { runtime, generation } = process
    runtime.registerEffect('set_timer', ({ timer, atMs }) => process.setTimer(timer, atMs))
    runtime.registerEffect('clear_timer', ({ timer }) => process.clearTimer(timer))
    runtime.registerEffect('send_call', ({ instanceId, ask }) => this.#sendCall(process, instanceId, ask))
    runtime.registerEffect('service_call', ({ ask }) => {
      this.after(this.jitter(3), () => process.deliver(() => this.#runCall(process, ask), generation))
    })
    runtime.registerEffect('reply_call', ({ requestId, attempt, reply }) => this.#reply(process, `${requestId}/${attempt}`, reply))
    runtime.registerEffect('emit_answer', ({ requestId, body }) => this.answers.set(requestId, new TextDecoder().decode(body)))
    runtime.registerEffect('end_request', ({ end }) => this.ends.set(end.requestId, [...this.ends.get(end.requestId) ?? [], end]))
  }

  arrive (entry: number, request: ServiceRequest): void {
    this.entries[entry].dispatch({ type: 'service_request_arrived', request })
  }

  #sendCall (entry: HomeProcess, instanceId: string, ask: CallAsk): void {
    let isSettled = false
    const settle = (reply: CallReply): void => {
      if (isSettled) return
      isSettled = true
      entry.dispatch({ type: 'call_replied', requestId: ask.requestId, attempt: ask.attempt, instanceId, reply })
    }
    const target = this.sidecars.find((one) => one.id === instanceId)
    const isLost = this.#isNetCut() && this.random() < 0.5
    this.after(CALL_TIMEOUT_MS, () => settle({ type: 'unreachable', reached: true }))
    this.after(1 + this.jitter(3), () => {
      if (isLost) return
      if (target?.isUp !== true) return settle({ type: 'unreachable', reached: false })
      target.replies.set(`${ask.requestId}/${ask.attempt}`, settle)
      target.dispatch({ type: 'call_asked', ask })
    })
  }

  #reply (process: HomeProcess, callId: string, reply: CallReply): void {
    const settle = process.replies.get(callId)
    process.replies.delete(callId)
    if (reply.type === 'refused' && reply.outcome === 'not_run' && reply.reason !== 'key_conflict') this.#checkNotRun(callId)
    const isLost = this.#isNetCut() && this.random() < 0.5
    if (settle !== undefined && !isLost) this.after(1 + this.jitter(20), () => settle(reply))
  }

  // A home that says not_run says it of the key, whichever request ran it.
  #checkNotRun (callId: string): void {
    const key = callId.split(':')[0]
    if (key !== '' && this.runs.some((run) => run.key === key)) this.violations.push(`home said not_run of ${key}, which ran`)
  }

  #runCall (process: HomeProcess, ask: CallAsk): void {
    const { generation } = process
    const isReached = !this.hasFaults || this.random() > 0.1
    const isFailed = this.hasFaults && this.random() < 0.1
    const tookMs = this.random() * 50 + (this.random() < 0.1 ? this.jitter(5_000) : 0)
    if (isReached) this.runs.push({ requestId: ask.requestId, key: ask.idempotencyKey })
    const body = new TextEncoder().encode(`${ask.bodyDigest} run ${this.runs.length}`)
    const result = isReached && !isFailed ? { type: 'answered', status: 200, contentType: '', body } as const : { type: 'failed', reached: isReached } as const
    const event: EventInput & Pick<Event, 'type'> = { type: 'service_replied', requestId: ask.requestId, attempt: ask.attempt, result }
    this.after(isReached ? tookMs : 1, () => process.deliver(() => process.runtime.dispatch(event), generation))
  }

  #isNetCut (): boolean {
    return this.nowMs < this.netCutUntilMs
  }
}
