/**
 * Faults of a run, by name.
 *
 * @module
 */
import { decodePool } from './BendfallBenchFleet.js'
import type { World } from './BendfallBenchWorld.js'

/** Name of a fault. */
export type FaultName = 'none' | 'decode_dies' | 'transfer_stalls' | 'stale_loads' | 'key_value_outage' | 'upstream_down'

/** Stretch of a run. */
export interface Stretch {
  readonly fromMs: number
  readonly toMs: number
}

/** A fault. */
export interface Fault {
  /** Schedules the fault. */
  readonly schedule: (world: World, measured: Stretch) => void
  /** Time of decode engines that the fault takes away while the run is measured. */
  readonly lostDecodeSeconds: (decodeReplicas: number, measured: Stretch) => number
}

/** The fault begins when this share of the measured stretch is over. */
const BEGIN_SHARE = 0.25
/** One transfer in twenty: far more than any network should show. */
const STALL_SHARE = 0.05
/** Reports of ten seconds ago: longer than a request stays. */
const STALE_LOAD_MS = 10_000
const KEY_VALUE_OUTAGE_MS = 60_000
/** How long all decode replicas are down before the retry storm. */
export const UPSTREAM_DOWN_MS = 30_000

const loseNothing = () => 0

/** All faults. */
export const FAULTS: Readonly<Record<FaultName, Fault>> = {
  none: { schedule: () => {}, lostDecodeSeconds: loseNothing },
  decode_dies: {
    schedule: (world, measured) => {
      world.clock.after(beginMs(measured), () => world.kill(`${decodePool(world.parts.deployment)}-1`))
    },
    lostDecodeSeconds: (_replicas, measured) => (measured.toMs - beginMs(measured)) / 1000
  },
  transfer_stalls: {
    schedule: (world) => { world.stallShare = STALL_SHARE },
    lostDecodeSeconds: loseNothing
  },
  stale_loads: {
    schedule: (world) => { world.loadLagMs = STALE_LOAD_MS },
    lostDecodeSeconds: loseNothing
  },
  key_value_outage: {
    schedule: (world, measured) => {
      world.clock.after(beginMs(measured), () => { world.isKeyValueDown = true })
      world.clock.after(beginMs(measured) + KEY_VALUE_OUTAGE_MS, () => { world.isKeyValueDown = false })
    },
    lostDecodeSeconds: loseNothing
  },
  upstream_down: {
    schedule: (world, measured) => {
      const pool = decodePool(world.parts.deployment)
      const names = world.find((record) => record.pool === pool).map(({ record }) => record.instanceId)
      world.clock.after(beginMs(measured), () => names.forEach((name) => world.kill(name)))
      world.clock.after(beginMs(measured) + UPSTREAM_DOWN_MS, () => names.forEach((name) => world.restart(name)))
    },
    lostDecodeSeconds: (replicas) => replicas * UPSTREAM_DOWN_MS / 1000
  }
}

/**
 * Tells when a fault begins.
 *
 * @param measured - the measured stretch
 * @returns time of the run in milliseconds
 */
export function beginMs (measured: Stretch): number {
  return measured.fromMs + BEGIN_SHARE * (measured.toMs - measured.fromMs)
}
