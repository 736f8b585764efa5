import type { CompareAndSwap, EraChange, KeyValueEntry, KeyValuePort, LeaseOutcome } from 'bendfall-platform'
import type { VirtualClock } from './VirtualClock.js'

const ERA_UNIT = 1_000_000

/** A simulated key-value service in virtual time that can be restored from an older backup. */
export interface EraStore {
  /**
   * Begins a new era: all leases and the entries bound to them are gone, the other entries are
   * restored. Revisions and lease numbers are reused.
   */
  readonly restore: () => void
  /** @returns the connection of one process to the service */
  readonly join: () => EraStoreClient
}

/** Connection of one process to the service. */
export interface EraStoreClient {
  readonly port: KeyValuePort
  /** Latency of further calls; `Infinity`: calls get no response. */
  latencyMs: number
}

/** Creates the service. */
export function createEraStore (clock: VirtualClock): EraStore {
  const leases = new Map<string, { readonly ttlMs: number, untilMs: number }>()
  const entries = new Map<string, KeyValueEntry>()
  let era = 1
  let revisionInEra = 7
  let nextLease = 1

  function expire (): void {
    for (const [id, { untilMs }] of leases) if (clock.nowMs() >= untilMs) leases.delete(id)
    for (const [key, { leaseId }] of entries) if (leaseId !== '' && !leases.has(leaseId)) entries.delete(key)
  }

  function join (): EraStoreClient {
    const listeners = new Set<(change: EraChange) => void>()
    let lastEra: number | undefined
    const client: { port: KeyValuePort, latencyMs: number } = { port: {} as KeyValuePort, latencyMs: 4 }

    function observeEra (responseEra: number): void {
      const formerEra = lastEra
      if (formerEra !== undefined && responseEra <= formerEra) return
      lastEra = responseEra
      if (formerEra !== undefined) for (const listener of listeners) listener({ era: responseEra, formerEra })
    }

    // The operation takes effect after half of the latency. A response from an era before the latest observed one is rejected.
    async function call<T extends { readonly type: string }> (operation: () => T): Promise<T | { type: 'unavailable', detail: string }> {
      const { latencyMs } = client
      if (latencyMs === Infinity) {
        await wait(600)
        return { type: 'unavailable', detail: 'no answer' }
      }
      await wait(latencyMs / 2)
      expire()
      const responseEra = era
      const outcome = operation()
      await wait(latencyMs / 2)
      if (responseEra < (lastEra ?? 0)) return { type: 'unavailable', detail: 'an answer of an earlier era' }
      observeEra(responseEra)
      return outcome
    }

    const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.callAt(clock.nowMs() + ms, resolve) })
    const isFromEarlierEra = (leaseId: string): boolean => Number(leaseId.split(':')[0]) !== lastEra

    async function renew (leaseId: string): Promise<LeaseOutcome> {
      if (isFromEarlierEra(leaseId)) return { type: 'lapsed' }
      return await call<LeaseOutcome>(() => {
        const lease = leases.get(leaseId)
        if (lease === undefined) return { type: 'lapsed' }
        lease.untilMs = clock.nowMs() + lease.ttlMs
        return { type: 'granted', leaseId, ttlMs: lease.ttlMs }
      })
    }

    client.port = {
      get: async (key: string) => await call(() => {
        const entry = entries.get(key)
        return entry === undefined ? { type: 'missing', storeRevision: era * ERA_UNIT + revisionInEra } : { type: 'found', entry }
      }),
      grantLease: async (ttlMs: number) => await call(() => {
        const leaseId = `${era}:${nextLease++}`
        leases.set(leaseId, { ttlMs, untilMs: clock.nowMs() + ttlMs })
        return { type: 'granted', leaseId, ttlMs }
      }),
      renewLease: renew,
      revokeLease: async (leaseId: string) => isFromEarlierEra(leaseId)
        ? { type: 'lapsed' }
        : await call(() => {
          leases.delete(leaseId)
          expire()
          return { type: 'granted', leaseId, ttlMs: 0 }
        }),
      compareAndSwap: async ({ expectedRevision, key, leaseId, value }: CompareAndSwap) => leaseId !== '' && isFromEarlierEra(leaseId)
        ? { type: 'conflict', currentRevision: 0 }
        : await call(() => {
          const currentRevision = entries.get(key)?.revision ?? 0
          if (currentRevision !== expectedRevision || (leaseId !== '' && !leases.has(leaseId))) return { type: 'conflict', currentRevision }
          revisionInEra += 1
          const revision = era * ERA_UNIT + revisionInEra
          entries.set(key, { key, value: value ?? '', revision, leaseId })
          return { type: 'applied', revision }
        }),
      era: () => lastEra ?? 0,
      onEra: (listener: (change: EraChange) => void) => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      }
    } as unknown as KeyValuePort
    return client
  }

  return {
    restore: () => {
      era += 1
      revisionInEra = 7
      nextLease = 1
      leases.clear()
      expire()
    },
    join
  }
}
