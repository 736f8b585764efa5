/**
 * In-memory key-value service for tests, which can inject a fault into each call.
 *
 * @module
 */
import type { CompareAndSwap, KeyValueEntry, KeyValuePort, LeaseOutcome, WriteOutcome } from 'bendfall-platform'

/** Fault injected into one write; a write with `lost_late` takes effect at the next read. */
export type WriteFault = 'none' | 'lost_applied' | 'lost_not_applied' | 'lost_late' | 'unavailable'

/** The service with the faults to inject. */
export interface KeyValueMemory extends KeyValuePort {
  /** Faults of the next writes, in order; writes beyond them succeed. */
  readonly writeFaults: WriteFault[]
  /** For each of the next reads of a single key, whether it fails. */
  readonly readFaults: boolean[]
  /** Called before each write is processed. */
  beforeWrite: (() => void) | undefined
  /** Writes that took effect, in order. */
  readonly applied: CompareAndSwap[]
  readonly put: (key: string, value: string) => void
}

const NO_LEASE = async (): Promise<LeaseOutcome> => ({ type: 'unavailable', detail: 'not here' })

/** Creates a service without entries or faults. */
export function createKeyValueMemory (): KeyValueMemory {
  const entries = new Map<string, KeyValueEntry>()
  const late: CompareAndSwap[] = []
  let storeRevision = 0

  function apply (write: CompareAndSwap): WriteOutcome {
    const currentRevision = entries.get(write.key)?.revision ?? 0
    if (currentRevision !== write.expectedRevision) return { type: 'conflict', currentRevision }
    memory.put(write.key, write.value ?? '')
    memory.applied.push(write)
    return { type: 'applied', revision: storeRevision }
  }

  const lost = { type: 'unknown', detail: 'connection reset' } as const
  const faults: Record<WriteFault, (write: CompareAndSwap) => WriteOutcome> = {
    none: apply,
    lost_applied: (write) => { apply(write); return lost },
    lost_not_applied: () => lost,
    lost_late: (write) => { late.push(write); return lost },
    unavailable: () => ({ type: 'unavailable', detail: 'outage' })
  }

  const memory: KeyValueMemory = {
    writeFaults: [],
    readFaults: [],
    beforeWrite: undefined,
    applied: [],
    put: (key, value) => {
      storeRevision += 1
      entries.set(key, { key, value, revision: storeRevision, leaseId: '' })
    },
    get: async (key) => {
      for (const write of late.splice(0)) apply(write)
      if (memory.readFaults.shift() === true) return { type: 'unavailable', detail: 'outage' }
      const entry = entries.get(key)
      return entry === undefined ? { type: 'missing', storeRevision } : { type: 'found', entry }
    },
    compareAndSwap: async (write) => {
      memory.beforeWrite?.()
      return faults[memory.writeFaults.shift() ?? 'none'](write)
    },
    list: async () => ({ type: 'unavailable', detail: 'not here' }),
    watch: async () => ({ type: 'unavailable', detail: 'not here' }),
    grantLease: NO_LEASE,
    renewLease: NO_LEASE,
    revokeLease: NO_LEASE,
    close: async () => {}
  }
  return memory
}
