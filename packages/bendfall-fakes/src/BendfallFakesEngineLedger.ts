/**
 * Tracks the attempts of a model engine stand-in and the KV memory that each of
 * them holds.
 *
 * @module
 */
import type { AttemptRef } from 'bendfall-upstream'

/** Abort reason of an attempt that was lost in a crash. */
export const CRASH_REASON = 'crash'

const MAX_CANCELLED_ATTEMPTS = 10_000
const MAX_REQUEST_IDS = 10_000

/** Phase of an attempt that runs on an engine. */
export type AttemptPart = 'decode' | 'prefill'

/** An open attempt on the engine. */
export interface OpenAttempt extends AttemptRef {
  readonly part: AttemptPart
  /** Aborted by a cancel or a crash. */
  readonly controller: AbortController
  heldKvBytes: number
  imported: boolean
}

/** An attempt as `GET /control/state` shows it. */
export type AttemptView = Pick<OpenAttempt, 'attempt' | 'heldKvBytes' | 'part' | 'requestId'>

/** Memory and attempts of one engine. */
export interface EngineLedger {
  /** Opens an attempt; returns undefined when it is already open or was cancelled. */
  readonly open: (ref: AttemptRef, part: AttemptPart) => OpenAttempt | undefined
  readonly find: (ref: AttemptRef, part: AttemptPart) => OpenAttempt | undefined
  /** Allocates memory for an attempt; returns false when there is not enough. */
  readonly allocate: (held: OpenAttempt, kvBytes: number) => boolean
  readonly release: (held: OpenAttempt) => void
  /** Frees an attempt and rejects its later calls, since a cancel may overtake them. */
  readonly cancel: (ref: AttemptRef) => void
  readonly cancelAll: () => void
  /** Drops all attempts and their memory, as a crash does. */
  readonly crash: () => void
  readonly usedKvBytes: () => number
  readonly view: () => readonly AttemptView[]
  /** Most recent requests for which any work began. */
  readonly requestIds: () => readonly string[]
}

/**
 * Creates an empty ledger.
 *
 * @param totalKvBytes - KV memory of the engine in bytes
 * @returns the ledger
 */
export function createEngineLedger (totalKvBytes: number): EngineLedger {
  const attempts = new Map<string, OpenAttempt>()
  const cancelled = new Set<string>()
  const requestIds = new Set<string>()
  const attemptKey = (ref: AttemptRef): string => `${ref.requestId}#${ref.attempt}`
  const partKey = (ref: AttemptRef, part: AttemptPart): string => `${part} ${attemptKey(ref)}`
  const usedKvBytes = (): number => [...attempts.values()].reduce((sum, held) => sum + held.heldKvBytes, 0)

  function open (ref: AttemptRef, part: AttemptPart): OpenAttempt | undefined {
    const key = partKey(ref, part)
    if (cancelled.has(attemptKey(ref)) || attempts.has(key)) return undefined
    const held = { requestId: ref.requestId, attempt: ref.attempt, part, controller: new AbortController(), heldKvBytes: 0, imported: false }
    attempts.set(key, held)
    addToBoundedSet(requestIds, ref.requestId, MAX_REQUEST_IDS)
    return held
  }

  function allocate (held: OpenAttempt, kvBytes: number): boolean {
    if (usedKvBytes() + kvBytes > totalKvBytes) return false
    held.heldKvBytes += kvBytes
    return true
  }

  function release (held: OpenAttempt): void {
    const key = partKey(held, held.part)
    if (attempts.get(key) === held) attempts.delete(key)
  }

  function abortAttempt (held: OpenAttempt, reason?: string): void {
    release(held)
    held.controller.abort(reason)
  }

  function cancel (ref: AttemptRef): void {
    addToBoundedSet(cancelled, attemptKey(ref), MAX_CANCELLED_ATTEMPTS)
    for (const part of ['decode', 'prefill'] as const) {
      const held = attempts.get(partKey(ref, part))
      if (held !== undefined) abortAttempt(held)
    }
  }

  return {
    open,
    find: (ref, part) => attempts.get(partKey(ref, part)),
    allocate,
    release,
    cancel,
    cancelAll: () => [...attempts.values()].forEach(cancel),
    crash: () => [...attempts.values()].forEach((held) => abortAttempt(held, CRASH_REASON)),
    usedKvBytes,
    requestIds: () => [...requestIds],
    view: () => [...attempts.values()].map(({ requestId, attempt, part, heldKvBytes }) => ({ requestId, attempt, part, heldKvBytes }))
  }
}

function addToBoundedSet (names: Set<string>, name: string, capacity: number): void {
  names.add(name)
  if (names.size > capacity) names.delete(names.values().next().value as string)
}
