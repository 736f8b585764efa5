/**
 * Injects faults into a cluster for the process tests and the soak, and clears
 * them again.
 *
 * @module
 */
import { drawIndex } from 'bendfall-core'
import type { Cluster } from './BendfallFakesCluster.js'
import type { Fault } from './BendfallFakesFaults.js'
import { eventually } from './BendfallFakesClusterWait.js'

/** Faults that can be injected into a cluster. */
export type ClusterFaultKind =
  | 'cancel_lost' | 'engine_crash' | 'half_answer' | 'kill' | 'key_value_lost_answer' | 'key_value_outage'
  | 'pause' | 'slow_upstream' | 'stalled_transfer' | 'stop'

/** A fault of one instance or of the platform. */
export interface ClusterFault {
  readonly kind: ClusterFaultKind
  /** Affected instance; empty for the platform. */
  readonly instanceId: string
}

/** Clears an injected fault. */
export type ClearFault = () => Promise<void>

type InjectFault = (cluster: Cluster, instanceId: string) => Promise<ClearFault>

const SLOW_MS = 500
const STOP_TIMEOUT_MS = 35_000

function atStandIn (fault: Fault, standIn?: string): InjectFault {
  return async (cluster, instanceId) => {
    const name = standIn ?? instanceId
    await cluster.injectFault(name, fault)
    return () => cluster.clearFaults(name)
  }
}

const INJECTORS: Readonly<Record<ClusterFaultKind, InjectFault>> = {
  cancel_lost: atStandIn({ mode: 'lose_cancel' }),
  engine_crash: atStandIn({ mode: 'crash_decode', count: 1 }),
  half_answer: atStandIn({ mode: 'half_answer', count: 2 }),
  key_value_lost_answer: atStandIn({ mode: 'lose_answer_after_write' }, 'key-value'),
  key_value_outage: atStandIn({ mode: 'outage' }, 'key-value'),
  kill: async (cluster, instanceId) => {
    await cluster.kill(instanceId)
    return () => cluster.restart(instanceId)
  },
  pause: async (cluster, instanceId) => {
    cluster.signal(instanceId, 'SIGSTOP')
    return async () => cluster.signal(instanceId, 'SIGCONT')
  },
  slow_upstream: atStandIn({ mode: 'slow', delayMs: SLOW_MS, count: 5 }),
  stalled_transfer: atStandIn({ mode: 'stall_transfer', count: 1 }),
  stop: async (cluster, instanceId) => {
    const ended = cluster.terminate(instanceId)
    return async () => {
      const { value: exitCode } = await eventually(`${instanceId} to stop`, async () => await ended, STOP_TIMEOUT_MS)
      if (exitCode !== 0) throw new Error(`${instanceId} stopped with exit code ${exitCode}`)
      await cluster.restart(instanceId)
    }
  }
}

const ANY_PROCESS: readonly ClusterFaultKind[] = ['kill', 'pause', 'stop']
const PLATFORM: readonly ClusterFaultKind[] = ['key_value_lost_answer', 'key_value_outage']

const FAULTS_OF_POOL: Readonly<Record<string, readonly ClusterFaultKind[]>> = {
  '': ANY_PROCESS,
  decode: [...ANY_PROCESS, 'cancel_lost', 'engine_crash', 'stalled_transfer'],
  freight: [...ANY_PROCESS, 'half_answer', 'slow_upstream'],
  prefill: [...ANY_PROCESS, 'half_answer', 'stalled_transfer']
}

/**
 * Lists the faults that can be injected into a cluster.
 *
 * @param cluster - a running cluster
 * @returns faults of every process and of the platform
 */
export function possibleFaults (cluster: Cluster): readonly ClusterFault[] {
  const atInstances = cluster.instanceIds.flatMap((instanceId) => {
    const kinds = FAULTS_OF_POOL[cluster.node(instanceId).record.pool] ?? ANY_PROCESS
    return kinds.map((kind) => ({ kind, instanceId }))
  })
  return [...atInstances, ...PLATFORM.map((kind) => ({ kind, instanceId: '' }))]
}

/**
 * Injects a fault.
 *
 * @param cluster - a running cluster
 * @param fault - kind of fault and affected instance
 * @returns a function that clears the fault
 */
export function injectClusterFault (cluster: Cluster, { kind, instanceId }: ClusterFault): Promise<ClearFault> {
  return INJECTORS[kind](cluster, instanceId)
}

/** Draws an item of a list at random; a seed always gives the same sequence of draws. */
export type Draw = <T>(items: readonly T[]) => T

/**
 * Creates a random draw with a seed.
 *
 * @param seed - any whole number
 * @returns the draw
 */
export function createDraw (seed: number): Draw {
  let state = seed
  return (items) => {
    const drawn = drawIndex(state, items.length)
    state = drawn.seed
    return items[drawn.value]
  }
}

/**
 * Draws faults of different instances, so that each can be cleared on its own.
 *
 * @param draw - source of randomness
 * @param possible - faults to choose from
 * @param count - number of faults; at most the number of different instances
 * @returns the drawn faults
 */
export function drawFaults (draw: Draw, possible: readonly ClusterFault[], count: number): readonly ClusterFault[] {
  const faults: ClusterFault[] = []
  while (faults.length < count) {
    const rest = possible.filter(({ instanceId }) => faults.every((fault) => fault.instanceId !== instanceId))
    faults.push(draw(rest))
  }
  return faults
}
