import type { EraChange, KeyValueEntry, KeyValuePort, WatchOutcome } from 'bendfall-platform'
import { createLogger, createUpdateLoop } from 'bendfall-node'
import { createRouterState, reduceRouter, TICK_MS } from 'bendfall-router'
import type { Replica, RouterConfig, RouterEffect, RouterEvent, RouterState } from 'bendfall-router'
import { Ok } from 'ts-results-es'
import { registerDirectory } from '../../directory/BendfallEdgeDirectory.js'
import { createMetrics } from '../../observe/BendfallEdgeMetrics.js'
import type { VirtualClock } from './VirtualClock.js'

/** Revisions contain the era as a multiple of this unit, as in the platform adapter. */
const ERA_UNIT = 1_000_000

const HEARTBEAT_MS = 1_200

/** Time after which a registration expires unless it is written again. */
const LEASE_MS = 3_600

/** Time for which a draining replica keeps answering before its process exits. */
const SHUTDOWN_MS = 3_000

/** Time after which a draining replica must not receive new requests. */
export const DRAIN_MS = 2_000

const SILENT = createLogger({ level: 'error', write: () => {} })
const CALL_LATENCY_MS = 4
const CALL_TIMEOUT_MS = 600

const CONFIG: RouterConfig = {
  version: 1,
  routes: [{ name: 'rate', host: 'a.example', pathPrefix: '/', kind: 'idempotent', timeoutMs: 1_000, targetLatencyMs: 100, targetGapMs: 0, patienceMs: 1_000, priority: 0, maxAttempts: 1, hasPrompt: false, isResumable: false, allowsAnonymous: false, services: [{ service: 'app', weight: 1 }] }],
  services: [{ name: 'app', maxConnections: 100 }],
  limits: { headerBytes: 4_096, bodyBytes: 4_096, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
}

interface StoredEntry extends KeyValueEntry {
  readonly expiresAtMs: number
}

interface Change {
  readonly revisionInEra: number
  readonly key: string
}

/** A simulated key-value service that holds registrations and can be restored from older backups. */
export class SimulatedStore {
  private entries = new Map<string, StoredEntry>()
  private changes: Change[] = []
  private backups: Array<{ readonly atMs: number, readonly entries: Map<string, StoredEntry>, readonly revisionInEra: number }> = []
  private readonly waiting = new Set<() => void>()
  private era = 1
  private revisionInEra = 1
  private unavailableUntilMs = -Infinity

  constructor (private readonly clock: VirtualClock) {
    this.put('config', CONFIG, Infinity)
  }

  isUnavailable (): boolean {
    return this.clock.nowMs() < this.unavailableUntilMs
  }

  put (key: string, value: unknown, expiresAtMs = this.clock.nowMs() + LEASE_MS): void {
    if (this.isUnavailable()) return
    this.recordChange(key)
    const createdRevision = this.entries.get(key)?.createdRevision ?? this.revision()
    this.entries.set(key, { key, value: JSON.stringify(value), revision: this.revision(), createdRevision, leaseId: '', expiresAtMs })
    this.changed()
  }

  remove (key: string): void {
    if (this.isUnavailable() || !this.entries.delete(key)) return
    this.recordChange(key)
    this.changed()
  }

  /** Makes the service unavailable for a time, and restores it from its backup of the given age. */
  restore (backupAgeMs: number, outageMs: number): void {
    const { nowMs } = this.clock
    const backup = this.backups.findLast(({ atMs }) => atMs <= nowMs() - backupAgeMs) ?? this.backups[0]
    this.unavailableUntilMs = nowMs() + outageMs
    this.era += 1
    this.revisionInEra = backup?.revisionInEra ?? 1
    this.backups = []
    this.changes = []
    const restoredExpiryMs = this.unavailableUntilMs + LEASE_MS
    const restored = [...backup?.entries ?? []].map(([key, entry]): [string, StoredEntry] => [key, { ...entry, revision: this.toCurrentEra(entry.revision), createdRevision: this.toCurrentEra(entry.createdRevision ?? 0), expiresAtMs: entry.expiresAtMs === Infinity ? Infinity : restoredExpiryMs }])
    this.entries = new Map(restored)
    this.changed()
  }

  join (): { readonly port: KeyValuePort, latencyMs: number } {
    const client = { port: {} as KeyValuePort, latencyMs: CALL_LATENCY_MS }
    const listeners = new Set<(change: EraChange) => void>()
    let lastEra: number | undefined
    const wait = (ms: number): Promise<void> => new Promise((resolve) => { this.clock.callAt(this.clock.nowMs() + ms, resolve) })
    const call = async <T extends { readonly type: string }>(timeoutMs: number, operation: () => Promise<T> | T): Promise<T | { type: 'unavailable', detail: string }> => {
      const timeout = wait(timeoutMs).then(() => ({ type: 'unavailable' as const, detail: 'no answer in time' }))
      return await Promise.race([respond(operation), timeout])
    }
    const respond = async <T extends { readonly type: string }>(operation: () => Promise<T> | T): Promise<T | { type: 'unavailable', detail: string }> => {
      await wait(Math.min(CALL_TIMEOUT_MS, client.latencyMs / 2))
      if (client.latencyMs > CALL_TIMEOUT_MS || this.isUnavailable()) return { type: 'unavailable', detail: 'no answer' }
      const era = this.era
      const outcome = await operation()
      await wait(client.latencyMs / 2)
      if (era < (lastEra ?? 0) || this.isUnavailable()) return { type: 'unavailable', detail: 'an answer of an earlier era' }
      const formerEra = lastEra
      lastEra = era
      if (formerEra !== undefined && formerEra < era) for (const listener of listeners) listener({ era, formerEra })
      return outcome
    }
    client.port = {
      list: async () => await call(CALL_TIMEOUT_MS, () => {
        this.removeExpired()
        return { type: 'listed', entries: [...this.entries.values()], storeRevision: this.revision() }
      }),
      watch: async (_prefix: string, since: number, waitMs: number, slackMs = CALL_TIMEOUT_MS) => await call(waitMs + slackMs, async () => await this.watch(since, waitMs)),
      onEra: (listener: (change: EraChange) => void) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      }
    } as unknown as KeyValuePort
    return client
  }

  private async watch (since: number, waitMs: number): Promise<WatchOutcome> {
    const era = this.era
    if (Math.floor(since / ERA_UNIT) !== era) return { type: 'history_lost' }
    await this.waitForChange(since, waitMs)
    if (this.era !== era) return { type: 'history_lost' }
    this.removeExpired()
    const keys = new Set(this.changes.filter(({ revisionInEra }) => this.era * ERA_UNIT + revisionInEra > since).map(({ key }) => key))
    if (keys.size === 0) return { type: 'unchanged', storeRevision: this.revision() }
    const entries = [...keys].flatMap((key) => this.entries.get(key) ?? [])
    return { type: 'changed', entries, deletedKeys: [...keys].filter((key) => !this.entries.has(key)), storeRevision: this.revision() }
  }

  private async waitForChange (since: number, waitMs: number): Promise<void> {
    this.removeExpired()
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

  /** Removes the entries that their owners have not renewed in time. */
  removeExpired (): void {
    for (const [key, { expiresAtMs }] of this.entries) if (expiresAtMs <= this.clock.nowMs()) this.remove(key)
  }

  private recordChange (key: string): void {
    this.revisionInEra += 1
    this.changes.push({ revisionInEra: this.revisionInEra, key })
  }

  private changed (): void {
    this.backups.push({ atMs: this.clock.nowMs(), entries: new Map(this.entries), revisionInEra: this.revisionInEra })
    for (const wake of this.waiting) {
      this.waiting.delete(wake)
      wake()
    }
  }

  private revision (): number {
    return this.toCurrentEra(this.revisionInEra)
  }

  private toCurrentEra (revision: number): number {
    return this.era * ERA_UNIT + revision % ERA_UNIT
  }
}

/** A simulated replica that renews its registration, drains and restarts. */
export class SimulatedReplica {
  drainingSinceMs: number | undefined
  private state: 'ready' | 'draining' | 'gone' = 'ready'
  private born = 1
  private seq = 0
  private startCount = 0

  constructor (private readonly clock: VirtualClock, private readonly store: SimulatedStore, readonly replicaId: string) {
    this.start()
  }

  drain (): void {
    if (this.state !== 'ready') return
    this.state = 'draining'
    this.drainingSinceMs = this.clock.nowMs()
    this.write()
    const { startCount } = this
    this.clock.callAt(this.clock.nowMs() + SHUTDOWN_MS, () => {
      if (startCount !== this.startCount) return
      this.state = 'gone'
      this.store.remove(this.key)
    })
  }

  start (): void {
    if (this.state === 'ready' && this.startCount > 0) return
    this.startCount += 1
    this.state = 'ready'
    this.drainingSinceMs = undefined
    this.born = this.clock.nowMs() + 1
    this.seq = 0
    this.sendHeartbeat(this.startCount)
  }

  private get key (): string {
    return `servers/${this.replicaId}`
  }

  private sendHeartbeat (startCount: number): void {
    if (startCount !== this.startCount || this.state === 'gone') return
    this.write()
    this.clock.callAt(this.clock.nowMs() + HEARTBEAT_MS, () => this.sendHeartbeat(startCount))
  }

  private write (): void {
    this.seq += 1
    this.store.put(this.key, { startedAtMs: this.born, heartbeats: this.seq, isDraining: this.state === 'draining' })
  }
}

/** A simulated entry that follows the store and routes requests one at a time. */
export class SimulatedEntry {
  readonly sends: Array<{ readonly atMs: number, readonly replicaId: string }> = []
  readonly client: ReturnType<SimulatedStore['join']>
  private readonly state: RouterState
  private nextKey = 0
  private readonly dispatch: (event: RouterEvent) => void
  private readonly closeDirectory: () => void

  constructor (private readonly clock: VirtualClock, store: SimulatedStore, seed: number) {
    this.client = store.join()
    this.state = createRouterState(seed, `entry-${seed}`)
    const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => reduceRouter(this.state, event), clock)
    this.dispatch = loop.dispatch as (event: RouterEvent) => void
    loop.registerEffect('send_run', ({ attempt, key, replicaId }) => {
      this.sends.push({ atMs: clock.nowMs(), replicaId })
      loop.dispatch({ type: 'answer_complete', key, attempt, status: 200, outputEvents: 0 })
    })
    const close = registerDirectory({
      loop,
      port: this.client.port,
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
  const registration = JSON.parse(value) as { readonly startedAtMs: number, readonly heartbeats: number, readonly isDraining: boolean }
  const replicaId = key.slice('servers/'.length)
  return { ...registration, replicaId, registeredAtRevision: createdRevision, revision, service: 'app', softwareVersion: 'v1', address: `${replicaId}:80`, availabilityZone: 'a', slots: 6, stage: 'plain' }
}

export { TICK_MS }
