/**
 * Key-value service in memory, in virtual time, with leases and cut lines.
 *
 * @module
 */
import type { CompareAndSwap, KeyValueEntry, KeyValuePort, LeaseOutcome, ListOutcome, ReadOutcome, WatchOutcome, WriteOutcome } from 'bendfall-platform'
import type { HomeProcess, HomeWorld } from './BendfallNodeHomeWorld.js'

const LATE_WRITE_MS = 3_000
const SLOW_ANSWER_MS = 500

export class HomeKeyValue {
  reads = 0
  writes = 0
  readonly entries = new Map<string, KeyValueEntry>()
  readonly #leases = new Map<string, number>()
  readonly #changes: Array<{ revision: number, key: string }> = []
  readonly #watchers = new Set<() => void>()
  readonly #world: HomeWorld
  #revision = 0

  constructor (world: HomeWorld) {
    this.#world = world
  }

  portFor (process: HomeProcess): KeyValuePort {
    const read = <T>(ask: () => T, lost: T): Promise<T> => this.#call(process, 'reads', ask, lost)
    const write = <T>(ask: () => T, lost: T): Promise<T> => this.#call(process, 'writes', ask, lost)
    const unavailable = { type: 'unavailable', detail: '' } as const
    return {
      get: (key) => read<ReadOutcome>(() => {
        const entry = this.entries.get(key)
        return entry === undefined ? { type: 'missing', storeRevision: this.#revision } : { type: 'found', entry }
      }, unavailable),
      list: (prefix) => read<ListOutcome>(() => {
        const entries = [...this.entries.values()].filter((entry) => entry.key.startsWith(prefix))
        return { type: 'listed', entries, storeRevision: this.#revision }
      }, unavailable),
      compareAndSwap: (swap) => write<WriteOutcome>(() => this.#swap(swap), { type: 'unknown', detail: '' }),
      grantLease: (ttlMs) => write<LeaseOutcome>(() => this.#renew(`lease-${++this.#revision}`, ttlMs), unavailable),
      renewLease: (leaseId) => write<LeaseOutcome>(() => this.#leases.has(leaseId) ? this.#renew(leaseId, this.#world.times.leaseTtlMs) : { type: 'lapsed' }, unavailable),
      revokeLease: (leaseId) => write<LeaseOutcome>(() => this.#lapse(leaseId), unavailable),
      watch: (prefix, since, waitMs) => this.#watch(process, prefix, since, waitMs),
      close: async () => {}
    }
  }

  // A cut line loses the ask, or the answer, or brings the ask late.
  #call<T> (process: HomeProcess, kind: 'reads' | 'writes', ask: () => T, lost: T): Promise<T> {
    this[kind]++
    const world = this.#world
    return new Promise((resolve) => {
      const answer = (result: T, afterMs: number): void => { world.after(afterMs, () => process.deliver(() => resolve(result))) }
      if (!process.isCut()) return world.after(1, () => answer(ask(), 1 + world.jitter(world.random() < 0.2 ? SLOW_ANSWER_MS : 3)))
      const fate = world.random()
      if (fate > process.cutLoss) world.after(fate > 0.7 ? 1 : LATE_WRITE_MS * fate, ask)
      answer(lost, 200)
    })
  }

  #swap ({ key, expectedRevision, value, leaseId }: CompareAndSwap): WriteOutcome {
    const currentRevision = this.entries.get(key)?.revision ?? 0
    const isRefused = currentRevision !== expectedRevision || (leaseId !== '' && !this.#leases.has(leaseId))
    if (isRefused) return { type: 'conflict', currentRevision }
    return { type: 'applied', revision: this.#set(key, value, leaseId) }
  }

  #set (key: string, value: string | null, leaseId: string): number {
    const revision = ++this.#revision
    if (value === null) this.entries.delete(key)
    else this.entries.set(key, { key, value, revision, leaseId })
    this.#changes.push({ revision, key })
    for (const wake of [...this.#watchers]) wake()
    return revision
  }

  #renew (leaseId: string, ttlMs: number): LeaseOutcome {
    const untilMs = this.#world.nowMs + ttlMs
    this.#leases.set(leaseId, untilMs)
    this.#world.after(ttlMs, () => { if (this.#leases.get(leaseId) === untilMs) this.#lapse(leaseId) })
    return { type: 'granted', leaseId, ttlMs }
  }

  #lapse (leaseId: string): LeaseOutcome {
    this.#leases.delete(leaseId)
    const keys = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId).map(({ key }) => key)
    for (const key of keys) this.#set(key, null, '')
    return { type: 'lapsed' }
  }

  #watch (process: HomeProcess, prefix: string, since: number, waitMs: number): Promise<WatchOutcome> {
    const world = this.#world
    this.reads++
    return new Promise((resolve) => {
      const answer = (outcome: WatchOutcome): void => {
        this.#watchers.delete(look)
        world.after(1, () => process.deliver(() => resolve(outcome)))
      }
      const look = (): void => {
        const keys = new Set(this.#changes.filter(({ revision, key }) => revision > since && key.startsWith(prefix)).map(({ key }) => key))
        if (keys.size === 0) return
        const entries = [...keys].map((key) => this.entries.get(key)).filter((entry) => entry !== undefined)
        const deletedKeys = [...keys].filter((key) => !this.entries.has(key))
        if (!process.isCut()) answer({ type: 'changed', entries, deletedKeys, storeRevision: this.#revision })
      }
      this.#watchers.add(look)
      look()
      world.after(waitMs, () => {
        if (this.#watchers.has(look)) answer(process.isCut() ? { type: 'unavailable', detail: '' } : { type: 'unchanged', storeRevision: this.#revision })
      })
    })
  }
}
