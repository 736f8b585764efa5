/**
 * Gauges of the decode memory that a sidecar guards.
 *
 * @module
 */
import type { State } from 'bendfall-core'
import type { GaugeReader } from './BendfallNodeMetrics.js'

type DecodeMemory = NonNullable<State['sidecar']>['memory']

/** Gauges of decode sidecars, in bytes; without a value elsewhere. */
export const DECODE_GAUGES: Readonly<Record<string, GaugeReader>> = {
  decode_memory_held_bytes: (state) => readMemory(state, ({ heldKvBytes }) => heldKvBytes.interactive + heldKvBytes.summary),
  decode_memory_total_bytes: (state) => readMemory(state, ({ totalKvBytes }) => totalKvBytes)
}

function readMemory ({ sidecar }: State, read: (memory: DecodeMemory) => number): number | undefined {
  if (sidecar === undefined || sidecar.order.held?.role === 'prefill') return undefined
  return sidecar.memory.totalKvBytes === 0 ? undefined : read(sidecar.memory)
}
