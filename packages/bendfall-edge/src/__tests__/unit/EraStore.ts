import type { CompareAndSwap, EraChange, KeyValueEntry, KeyValuePort, LeaseOutcome } from 'bendfall-platform'
import type { VirtualClock } from './VirtualClock.js'

const ERA_UNIT = 1_000_000

/** A service that may come back from an older copy, in virtual time. */
export interface EraStore {
  /** Goes back: all leases and what is bound to them are gone, the copy has the rest; revisions are given out again. */
  readonly restore: () => void
  /** @returns a process's way to it */
  readonly join: () => EraStorePort
}

/** A process's way to the service. */
export interface EraStorePort {
  readonly port: KeyValuePort
  /** Answers take this long from now on; `Infinity`: there are none. */
  latencyMs: number
}

/** Makes the service. */
export function createEraStore (clock: VirtualClock): EraStore {
  const leases = new Map<string, number>()
  const entries = new Map<string, KeyValueEntry>()
  let era = 1
  let number = 7
  let nextLease = 1

  function expire (): void {
    for (const [id, untilMs] of leases) if (clock.nowMs() >= untilMs) leases.delete(id)
    for (const [key, { leaseId }] of entries) if (leaseId !== '' && !leases.has(leaseId)) entries.delete(key)
  }

  function join (): EraStorePort {
    const listeners = new Set<(change: EraChange) => void>()
    let seen: number | undefined
    const way: { port: KeyValuePort, latencyMs: number } = { port: {} as KeyValuePort, latencyMs: 4 }

    function see (answered: number): void {
      const formerEra = seen
      if (formerEra !== undefined && answered <= formerEra) return
      seen = answered
      if (formerEra !== undefined) for (const listener of listeners) listener({ era: answered, formerEra })
    }

    // The call is carried out half-way; an answer of an earlier era than one that was seen is not believed.
    async function call<T extends { readonly type: string }> (act: () => T): Promise<T | { type: 'unavailable', detail: string }> {
      const { latencyMs } = way
      if (latencyMs === Infinity) {
        await wait(600)
        return { type: 'unavailable', detail: 'no answer' }
      }
      await wait(latencyMs / 2)
      expire()
      const answered = era
      const outcome = act()
      await wait(latencyMs / 2)
      if (answered < (seen ?? 0)) return { type: 'unavailable', detail: 'an answer of an earlier era' }
      see(answered)
      return outcome
    }

    const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.callAt(clock.nowMs() + ms, resolve) })
    const isOld = (leaseId: string): boolean => Number(leaseId.split(':')[0]) !== seen

    async function renew (leaseId: string): Promise<LeaseOutcome> {
      if (isOld(leaseId)) return { type: 'lapsed' }
      return await call<LeaseOutcome>(() => {
        if (!leases.has(leaseId)) return { type: 'lapsed' }
        leases.set(leaseId, clock.nowMs() + 3_000)
        return { type: 'granted', leaseId, ttlMs: 3_000 }
      })
    }

    way.port = {
      get: async (key: string) => await call(() => {
        const entry = entries.get(key)
        return entry === undefined ? { type: 'missing', storeRevision: era * ERA_UNIT + number } : { type: 'found', entry }
      }),
      grantLease: async () => await call(() => {
        const leaseId = `${era}:${nextLease++}`
        leases.set(leaseId, clock.nowMs() + 3_000)
        return { type: 'granted', leaseId, ttlMs: 3_000 }
      }),
      renewLease: renew,
      revokeLease: async (leaseId: string) => isOld(leaseId)
        ? { type: 'lapsed' }
        : await call(() => {
          leases.delete(leaseId)
          expire()
          return { type: 'granted', leaseId, ttlMs: 0 }
        }),
      compareAndSwap: async ({ expectedRevision, key, leaseId, value }: CompareAndSwap) => leaseId !== '' && isOld(leaseId)
        ? { type: 'conflict', currentRevision: 0 }
        : await call(() => {
          const currentRevision = entries.get(key)?.revision ?? 0
          if (currentRevision !== expectedRevision || (leaseId !== '' && !leases.has(leaseId))) return { type: 'conflict', currentRevision }
          number += 1
          const revision = era * ERA_UNIT + number
          entries.set(key, { key, value: value ?? '', revision, leaseId })
          return { type: 'applied', revision }
        }),
      era: () => seen ?? 0,
      onEra: (listener: (change: EraChange) => void) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      }
    } as unknown as KeyValuePort
    return way
  }

  return {
    restore: () => {
      era += 1
      number = 7
      nextLease = 1
      leases.clear()
      expire()
    },
    join
  }
}
