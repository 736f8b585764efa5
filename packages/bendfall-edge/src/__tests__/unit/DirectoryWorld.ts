import type { EraChange, KeyValueEntry, KeyValuePort, WatchOutcome } from 'bendfall-platform'
import { createLogger, createUpdateLoop } from 'bendfall-node'
import { createRouterState, reduceRouter, TICK_MS } from 'bendfall-router'
import type { Replica, RouterConfig, RouterEffect, RouterEvent, RouterState } from 'bendfall-router'
import { Ok } from 'ts-results-es'
import { registerDirectory } from '../../directory/BendfallEdgeDirectory.js'
import { createMetrics } from '../../observe/BendfallEdgeMetrics.js'
import type { VirtualClock } from './VirtualClock.js'

/** Eras are told apart in revisions as in the adapter. */
const ERA_UNIT = 1_000_000

const HEARTBEAT_MS = 1_200

/** A registration that is not written again lapses after this. */
const LEASE_MS = 3_600

/** Time in which a replica that leaves answers on before its process ends. */
const LEAVING_MS = 3_000

/** Time after which a replica that leaves must get no new work. */
export const DRAIN_MS = 2_000

const SILENT = createLogger({ level: 'error', write: () => {} })
const CALL_MS = 4
const NO_ANSWER_MS = 600

const CONFIG: RouterConfig = {
  version: 1,
  routes: [{ name: 'rate', host: 'a.example', pathPrefix: '/', kind: 'idempotent', timeoutMs: 1_000, targetLatencyMs: 100, targetGapMs: 0, patienceMs: 1_000, priority: 0, maxAttempts: 1, hasPrompt: false, isResumable: false, allowsAnonymous: false, services: [{ service: 'app', weight: 1 }] }],
  services: [{ name: 'app', maxConnections: 100 }],
  limits: { headerBytes: 4_096, bodyBytes: 4_096, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
}

interface Written extends KeyValueEntry {
  readonly lapsesAtMs: number
}

interface Change {
  readonly number: number
  readonly key: string
}

/** Store that comes back from older copies, with registrations in it. */
export class DrillStore {
  private entries = new Map<string, Written>()
  private changes: Change[] = []
  private copies: Array<{ readonly atMs: number, readonly entries: Map<string, Written>, readonly number: number }> = []
  private readonly waiting = new Set<() => void>()
  private era = 1
  private number = 1
  private awayUntilMs = -Infinity

  constructor (private readonly clock: VirtualClock) {
    this.put('config', CONFIG, Infinity)
  }

  isAway (): boolean {
    return this.clock.nowMs() < this.awayUntilMs
  }

  put (key: string, value: unknown, lapsesAtMs = this.clock.nowMs() + LEASE_MS): void {
    if (this.isAway()) return
    this.note(key)
    const createdRevision = this.entries.get(key)?.createdRevision ?? this.revision()
    this.entries.set(key, { key, value: JSON.stringify(value), revision: this.revision(), createdRevision, leaseId: '', lapsesAtMs })
    this.changed()
  }

  remove (key: string): void {
    if (this.isAway() || !this.entries.delete(key)) return
    this.note(key)
    this.changed()
  }

  /** Is away for a time, and goes on from its copy of some time ago. */
  restore (copyAgeMs: number, awayMs: number): void {
    const { nowMs } = this.clock
    const copy = this.copies.findLast(({ atMs }) => atMs <= nowMs() - copyAgeMs) ?? this.copies[0]
    this.awayUntilMs = nowMs() + awayMs
    this.era += 1
    this.number = copy?.number ?? 1
    this.copies = []
    this.changes = []
    const untilMs = this.awayUntilMs + LEASE_MS
    const kept = [...copy?.entries ?? []].map(([key, entry]): [string, Written] => [key, { ...entry, revision: this.eraOf(entry.revision), createdRevision: this.eraOf(entry.createdRevision ?? 0), lapsesAtMs: entry.lapsesAtMs === Infinity ? Infinity : untilMs }])
    this.entries = new Map(kept)
    this.changed()
  }

  join (): { readonly port: KeyValuePort, latencyMs: number } {
    const way = { port: {} as KeyValuePort, latencyMs: CALL_MS }
    const listeners = new Set<(change: EraChange) => void>()
    let seen: number | undefined
    const wait = (ms: number): Promise<void> => new Promise((resolve) => { this.clock.callAt(this.clock.nowMs() + ms, resolve) })
    const call = async <T extends { readonly type: string }>(timeoutMs: number, act: () => Promise<T> | T): Promise<T | { type: 'unavailable', detail: string }> => {
      const late = wait(timeoutMs).then(() => ({ type: 'unavailable' as const, detail: 'no answer in time' }))
      return await Promise.race([answer(act), late])
    }
    const answer = async <T extends { readonly type: string }>(act: () => Promise<T> | T): Promise<T | { type: 'unavailable', detail: string }> => {
      await wait(Math.min(NO_ANSWER_MS, way.latencyMs / 2))
      if (way.latencyMs > NO_ANSWER_MS || this.isAway()) return { type: 'unavailable', detail: 'no answer' }
      const era = this.era
      const outcome = await act()
      await wait(way.latencyMs / 2)
      if (era < (seen ?? 0) || this.isAway()) return { type: 'unavailable', detail: 'an answer of an earlier era' }
      const formerEra = seen
      seen = era
      if (formerEra !== undefined && formerEra < era) for (const listener of listeners) listener({ era, formerEra })
      return outcome
    }
    way.port = {
      list: async () => await call(NO_ANSWER_MS, () => {
        this.lapse()
        return { type: 'listed', entries: [...this.entries.values()], storeRevision: this.revision() }
      }),
      watch: async (_prefix: string, since: number, waitMs: number, slackMs = NO_ANSWER_MS) => await call(waitMs + slackMs, async () => await this.watch(since, waitMs)),
      onEra: (listener: (change: EraChange) => void) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      }
    } as unknown as KeyValuePort
    return way
  }

  private async watch (since: number, waitMs: number): Promise<WatchOutcome> {
    const era = this.era
    if (Math.floor(since / ERA_UNIT) !== era) return { type: 'history_lost' }
    await this.untilChanged(since, waitMs)
    if (this.era !== era) return { type: 'history_lost' }
    this.lapse()
    const keys = new Set(this.changes.filter(({ number }) => this.era * ERA_UNIT + number > since).map(({ key }) => key))
    if (keys.size === 0) return { type: 'unchanged', storeRevision: this.revision() }
    const entries = [...keys].flatMap((key) => this.entries.get(key) ?? [])
    return { type: 'changed', entries, deletedKeys: [...keys].filter((key) => !this.entries.has(key)), storeRevision: this.revision() }
  }

  private async untilChanged (since: number, waitMs: number): Promise<void> {
    this.lapse()
    if (this.revision() > since) return
    await new Promise<void>((resolve) => {
      const cancel = this.clock.callAt(this.clock.nowMs() + waitMs, () => {
        this.waiting.delete(wake)
        resolve()
      })
      const wake = (): void => {
        cancel()
        resolve()
      }
      this.waiting.add(wake)
    })
  }

  /** Removes what its owners did not write again. */
  lapse (): void {
    for (const [key, { lapsesAtMs }] of this.entries) if (lapsesAtMs <= this.clock.nowMs()) this.remove(key)
  }

  private note (key: string): void {
    this.number += 1
    this.changes.push({ number: this.number, key })
  }

  private changed (): void {
    this.copies.push({ atMs: this.clock.nowMs(), entries: new Map(this.entries), number: this.number })
    for (const wake of this.waiting) {
      this.waiting.delete(wake)
      wake()
    }
  }

  private revision (): number {
    return this.eraOf(this.number)
  }

  private eraOf (revision: number): number {
    return this.era * ERA_UNIT + revision % ERA_UNIT
  }
}

/** A replica that keeps its registration up, leaves and starts again. */
export class DrillReplica {
  leftAtMs: number | undefined
  private state: 'ready' | 'draining' | 'gone' = 'ready'
  private born = 1
  private seq = 0
  private life = 0

  constructor (private readonly clock: VirtualClock, private readonly store: DrillStore, readonly replicaId: string) {
    this.start()
  }

  leave (): void {
    if (this.state !== 'ready') return
    this.state = 'draining'
    this.leftAtMs = this.clock.nowMs()
    this.write()
    const { life } = this
    this.clock.callAt(this.clock.nowMs() + LEAVING_MS, () => {
      if (life !== this.life) return
      this.state = 'gone'
      this.store.remove(this.key)
    })
  }

  start (): void {
    if (this.state === 'ready' && this.life > 0) return
    this.life += 1
    this.state = 'ready'
    this.leftAtMs = undefined
    this.born = this.clock.nowMs() + 1
    this.seq = 0
    this.beat(this.life)
  }

  private get key (): string {
    return `servers/${this.replicaId}`
  }

  private beat (life: number): void {
    if (life !== this.life || this.state === 'gone') return
    this.write()
    this.clock.callAt(this.clock.nowMs() + HEARTBEAT_MS, () => this.beat(life))
  }

  private write (): void {
    this.seq += 1
    this.store.put(this.key, { startedAtMs: this.born, heartbeats: this.seq, isDraining: this.state === 'draining' })
  }
}

/** An entry that follows the store, with one call after the other. */
export class DrillEntry {
  readonly sends: Array<{ readonly atMs: number, readonly replicaId: string }> = []
  readonly way: ReturnType<DrillStore['join']>
  private readonly state: RouterState
  private nextKey = 0
  private readonly dispatch: (event: RouterEvent) => void
  private readonly closeDirectory: () => void

  constructor (private readonly clock: VirtualClock, store: DrillStore, seed: number) {
    this.way = store.join()
    this.state = createRouterState(seed, `entry-${seed}`)
    const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => reduceRouter(this.state, event), clock)
    this.dispatch = loop.dispatch as (event: RouterEvent) => void
    loop.registerEffect('send_run', ({ attempt, key, replicaId }) => {
      this.sends.push({ atMs: clock.nowMs(), replicaId })
      loop.dispatch({ type: 'answer_complete', key, attempt, status: 200, outputEvents: 0 })
    })
    const close = registerDirectory({
      loop,
      port: this.way.port,
      logger: SILENT,
      metrics: createMetrics(),
      drainMs: DRAIN_MS,
      configApplyMs: DRAIN_MS,
      revokedWithinMs: 2 * DRAIN_MS,
      onReplicasChanged: () => {},
      onConfigProcessed: () => {},
      onRouterDocuments: () => {},
      onRegistrationsRead: () => {},
      dialect: {
        sharedPrefix: '',
        configPrefix: 'config',
        replicaPrefix: 'servers/',
        readConfig: ({ value }) => new Ok(JSON.parse(value) as RouterConfig),
        readReplicaId: (key) => key.slice('servers/'.length),
        readReplica: (entry) => new Ok(toReplica(entry))
      }
    })
    this.closeDirectory = () => { close() }
  }

  call (): void {
    this.nextKey += 1
    const key = String(this.nextKey)
    this.dispatch({ type: 'request_arrived', arrival: { key, requestId: key, host: 'a.example', path: '/', deadlineMs: 1_000 } } as RouterEvent)
  }

  tick (): void {
    this.dispatch({ type: 'time_passed' } as RouterEvent)
  }

  close (): void {
    this.closeDirectory()
  }
}

function toReplica ({ createdRevision = 0, key, revision, value }: KeyValueEntry): Replica {
  const told = JSON.parse(value) as { readonly startedAtMs: number, readonly heartbeats: number, readonly isDraining: boolean }
  const replicaId = key.slice('servers/'.length)
  return { ...told, replicaId, registeredAtRevision: createdRevision, revision, service: 'app', address: `${replicaId}:80`, availabilityZone: 'a', slots: 6, stage: 'plain' }
}

export { TICK_MS }
