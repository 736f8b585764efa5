import { createFleetConfig } from '../../fleet/BendfallFakesFleetConfig.js'
import type { FleetReplica, FleetReplicaOptions, SeenRequest } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startCrashEntry } from './CrashHarness.js'
import type { CrashEntry } from './CrashHarness.js'
import { ip, registrationOf } from './EntryHarness.js'

/** Host of the routes. */
export const PART_HOST = 'parts.example'

const ENTRIES = 3
const PREFILL_REPLICAS = 3
const DECODE_REPLICAS = 10
const FIRST_REPLICA_OCTET = 20
const RESTART_DELAY_MS = 3_000
const REGISTRATION_LAPSE_MS = 2_000

/** How the replicas respond before they crash. */
export type CrashingReplica = Pick<FleetReplicaOptions, 'isCloseDelimited' | 'responseBeforeCrash'>

/** Entries in front of prefill and decode replicas that restart under new ids some time after they crash. */
export interface PartFleet {
  readonly entries: readonly CrashEntry[]
  /** Monotonic times of the crashes under each bad part. */
  readonly crashesAtMs: ReadonlyMap<string, readonly number[]>
  /** Crashes a random decode replica. */
  readonly crashAny: () => void
  /** Returns the requests that reached replicas with a part in their prompts. */
  readonly sendsWith: (part: string) => SeenRequest[]
  readonly close: () => Promise<void>
}

/** Starts the fleet, whose decode replicas crash when they begin to respond to one of the bad parts. */
export async function startPartFleet (badParts: readonly string[], behavior: CrashingReplica = {}): Promise<PartFleet> {
  const store = await startFleetStore(ip(1))
  store.put('op/config', createFleetConfig({ host: PART_HOST, timeoutMs: 5_000, handleTtlS: 0.5, maxBodyBytes: 100_000 }))
  const replicas = new PartReplicas(store, badParts, behavior)
  await replicas.startAll()
  const entries = await Promise.all(Array.from({ length: ENTRIES }, (_, index) => startCrashEntry(store, ip(2 + index), `entry-${index}`)))
  return {
    entries,
    crashesAtMs: replicas.crashesAtMs,
    crashAny: () => replicas.crashAny(),
    sendsWith: (part) => replicas.sendsWith(part),
    close: async () => {
      replicas.isClosed = true
      for (const { stop } of entries) await stop()
      await replicas.close()
      await store.close()
    }
  }
}

class PartReplicas {
  readonly crashesAtMs: ReadonlyMap<string, number[]>
  isClosed = false
  private readonly all: FleetReplica[] = []
  private readonly decoding = new Set<FleetReplica>()
  private nextId = 1

  constructor (private readonly store: FleetStore, badParts: readonly string[], private readonly behavior: CrashingReplica) {
    this.crashesAtMs = new Map(badParts.map((part) => [part, []]))
  }

  async startAll (): Promise<void> {
    for (let i = 0; i < PREFILL_REPLICAS; i++) await this.start(i, 'prefill')
    for (let i = 0; i < DECODE_REPLICAS; i++) await this.start(PREFILL_REPLICAS + i, 'decode')
  }

  crashAny (): void {
    const running = [...this.decoding]
    running[Math.floor(Math.random() * running.length)]?.crash()
  }

  sendsWith (part: string): SeenRequest[] {
    return this.all.flatMap(({ seen }) => seen.filter((request) => partsOf(request).includes(part)))
  }

  async close (): Promise<void> {
    for (const replica of this.all) await replica.close()
  }

  private async start (index: number, stage: 'prefill' | 'decode'): Promise<void> {
    const replicaId = `i-${this.nextId++}`
    let isCrashing = false
    const replica = await startFleetReplica({
      ...this.behavior,
      host: ip(FIRST_REPLICA_OCTET + index),
      replicaId,
      stage,
      crashesOn: (request) => {
        const bad = partsOf(request).filter((part) => this.crashesAtMs.has(part))
        if (!isCrashing) for (const part of bad) this.crashesAtMs.get(part)?.push(performance.now())
        isCrashing ||= bad.length > 0
        return bad.length > 0
      },
      onCrash: () => this.handleCrash(replica, replicaId, index, stage)
    })
    this.all.push(replica)
    if (stage === 'decode') this.decoding.add(replica)
    this.store.put(`servers/${replicaId}`, registrationOf(replica, { service: 'llm', stage, slots: 64, born: replica.startedAtMs() + index }))
  }

  private handleCrash (replica: FleetReplica, replicaId: string, index: number, stage: 'prefill' | 'decode'): void {
    this.decoding.delete(replica)
    setTimeout(() => { if (!this.isClosed) this.store.remove(`servers/${replicaId}`) }, REGISTRATION_LAPSE_MS).unref()
    setTimeout(() => { if (!this.isClosed) this.start(index, stage).catch((error: unknown) => { throw error }) }, RESTART_DELAY_MS).unref()
  }
}

function partsOf ({ headers }: SeenRequest): string[] {
  return String(headers['x-prompt-prefix'] ?? '').split(',').map((part) => part.split(':')[0] as string)
}
