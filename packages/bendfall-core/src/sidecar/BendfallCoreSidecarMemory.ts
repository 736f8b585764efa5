/**
 * Account of the decode memory. The ledger is the authority; the engine's
 * lagging report sets the total and only corrects what the ledger cannot know.
 *
 * @module
 */
import type { EngineReport } from '../BendfallCoreEvents.js'
import type { TrafficClass } from '../BendfallCoreTypes.js'
import type { DecodeMemory, PeakWindow } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { moveMean, patchMemory } from './BendfallCoreSidecarUpdate.js'

/** By how much a load report of the engine may lag. */
export const REPORT_LAG_MS = 3_000

/** For how long room is kept for interactive requests after the last one. */
export const INTERACTIVE_RECENT_MS = 30_000

/** Largest part of the memory that is kept free of summaries. */
const HEADROOM_MAX_SHARE = 0.25

/** Weight of a new hold time in its mean. */
const HOLD_WEIGHT = 0.1

/**
 * Sums the bytes held by both classes.
 *
 * @param memory - the account
 * @returns bytes
 */
export function heldBytes (memory: DecodeMemory): number {
  return memory.heldKvBytes.interactive + memory.heldKvBytes.summary
}

/**
 * Tells the bytes neither held nor seen in use at the engine.
 *
 * @param memory - the account
 * @returns bytes, negative when more is held than there is
 */
export function freeBytes (memory: DecodeMemory): number {
  return memory.totalKvBytes - memory.foreignKvBytes - heldBytes(memory)
}

/**
 * Tells the bytes that are kept free of summaries, so that an interactive
 * request finds room while summaries wait: one interactive reservation, and
 * nothing when none came of late.
 *
 * @param memory - the account
 * @param atMs - monotonic time
 * @returns bytes, those that interactive requests hold already included
 */
export function headroomBytes (memory: DecodeMemory, atMs: number): number {
  if (memory.interactiveKvBytes === 0) return 0
  if (atMs - memory.interactiveAtMs > INTERACTIVE_RECENT_MS) return 0
  const fits = memory.interactiveKvBytes <= memory.totalKvBytes * HEADROOM_MAX_SHARE
  return fits ? memory.interactiveKvBytes : 0
}

/**
 * Tells the bytes that a class may take now.
 *
 * @param memory - the account
 * @param trafficClass - class of the reservation
 * @param kvBytes - size of the reservation; one that needs the whole memory
 * finds no headroom in its way
 * @param atMs - monotonic time
 * @returns bytes, negative when there is no room
 */
export function roomBytes (memory: DecodeMemory, trafficClass: TrafficClass, kvBytes: number, atMs: number): number {
  const free = freeBytes(memory)
  if (trafficClass === 'interactive') return free
  return free - unusedHeadroom(memory, kvBytes, atMs)
}

/**
 * Tells the bytes that an interactive reservation may take while a summary is
 * due: what is left of the headroom.
 *
 * @param memory - the account
 * @param atMs - monotonic time
 * @returns bytes, negative when there is no room
 */
export function headroomLeftBytes (memory: DecodeMemory, atMs: number): number {
  const left = headroomBytes(memory, atMs) - memory.heldKvBytes.interactive
  return Math.min(freeBytes(memory), left)
}

function unusedHeadroom (memory: DecodeMemory, kvBytes: number, atMs: number): number {
  const unused = Math.max(0, headroomBytes(memory, atMs) - memory.heldKvBytes.interactive)
  return Math.min(unused, Math.max(0, memory.totalKvBytes - kvBytes))
}

/**
 * Takes memory for a reservation.
 *
 * @param update - working copy
 * @param trafficClass - class of the reservation
 * @param kvBytes - bytes to take
 */
export function takeBytes (update: SidecarUpdate, trafficClass: TrafficClass, kvBytes: number): void {
  const heldKvBytes = addHeld(update.sidecar.memory, trafficClass, kvBytes)
  const peak = raisePeak(update.sidecar.memory.peak, heldKvBytes.interactive + heldKvBytes.summary)
  patchMemory(update, { heldKvBytes, peak })
}

/**
 * Gives memory back that the engine has freed, or never took.
 *
 * @param update - working copy
 * @param trafficClass - class of the reservation
 * @param kvBytes - bytes to give back
 * @param heldForMs - time for which they were held
 */
export function giveBackBytes (update: SidecarUpdate, trafficClass: TrafficClass, kvBytes: number, heldForMs: number): void {
  returnBytes(update, trafficClass, kvBytes)
  patchMemory(update, { meanHoldMs: moveMean(update.sidecar.memory.meanHoldMs, heldForMs, HOLD_WEIGHT) })
}

/**
 * Gives memory back that was held for nothing yet.
 *
 * @param update - working copy
 * @param trafficClass - class of the reservation
 * @param kvBytes - bytes to give back
 */
export function returnBytes (update: SidecarUpdate, trafficClass: TrafficClass, kvBytes: number): void {
  const { memory } = update.sidecar
  const heldKvBytes = addHeld(memory, trafficClass, -kvBytes)
  const overBytes = heldKvBytes.interactive + heldKvBytes.summary - memory.totalKvBytes
  const excessKvBytes = Math.min(memory.excessKvBytes, Math.max(0, overBytes))
  patchMemory(update, { heldKvBytes, excessKvBytes })
}

function addHeld (memory: DecodeMemory, trafficClass: TrafficClass, kvBytes: number): DecodeMemory['heldKvBytes'] {
  return { ...memory.heldKvBytes, [trafficClass]: memory.heldKvBytes[trafficClass] + kvBytes }
}

function raisePeak (peak: PeakWindow, bytes: number): PeakWindow {
  return bytes <= peak.presentBytes ? peak : { ...peak, presentBytes: bytes }
}

/**
 * Takes in a load report. Use counts as foreign only beyond the most that the
 * ledger held during the lag, since the report may show requests that ended.
 *
 * @param update - working copy
 * @param report - the report
 */
export function correctMemory (update: SidecarUpdate, report: EngineReport): void {
  const { memory } = update.sidecar
  const peak = turnPeak(memory, update.atMs)
  const explained = Math.max(peak.presentBytes, peak.formerBytes)
  patchMemory(update, {
    totalKvBytes: report.totalKvBytes,
    foreignKvBytes: Math.max(0, report.usedKvBytes - explained),
    excessKvBytes: Math.max(0, heldBytes(memory) - report.totalKvBytes),
    peak,
    stepMs: memory.stepMs === 0 ? report.stepMs : memory.stepMs
  })
}

function turnPeak (memory: DecodeMemory, atMs: number): PeakWindow {
  if (atMs - memory.peak.sinceMs < REPORT_LAG_MS) return memory.peak
  return { presentBytes: heldBytes(memory), formerBytes: memory.peak.presentBytes, sinceMs: atMs }
}
