/**
 * Reads the platform's instance list: at intervals at the watchers, once at the
 * start everywhere, and with backoff where no other process hands it over.
 *
 * @module
 */
import type { InstanceListPort } from 'bendfall-platform'
import { backoffMs } from '../runtime/BendfallNodePause.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import { createSignal } from '../runtime/BendfallNodeSignal.js'
import type { InstanceMirror } from './BendfallNodeInstanceMirror.js'

const BACKOFF_FIRST_MS = 1_000
const BACKOFF_MAX_MS = 15_000

/** Age of the list at which a process reads it, whoever hands it over. */
const STALE_MS = 120_000

/** Between two looks at the age of the list. */
const CHECK_INTERVAL_MS = 10_000

/** What a reader needs. */
export interface InstanceReaderOptions {
  readonly list: InstanceListPort
  readonly mirror: InstanceMirror
  /** Whether this process is a watcher of its availability zone. */
  readonly isWatcher: () => boolean
  /** Pause between two readings of a watcher. */
  readonly intervalMs: number
  /** Source of jitter in [0, 1). Default: `Math.random`. */
  readonly random?: () => number
}

/** Reads the platform's instance list. */
export interface InstanceReader {
  /** Starts to read; the effects of a list need their handlers by then. */
  readonly start: () => void
  /** To be told whether another process hands the list over. */
  readonly noteParent: (hasList: boolean) => void
  readonly close: () => void
}

/**
 * Registers the reader of a process, which reads once started.
 *
 * @param runtime - update path of the process
 * @param options - list, copy and times
 * @returns the reader; close it to tear it down
 */
export function registerInstanceReader (runtime: Runtime, options: InstanceReaderOptions): InstanceReader {
  const { list, mirror, isWatcher, intervalMs, random = Math.random } = options
  const { clock } = runtime
  const closing = new AbortController()
  const needed = createSignal(clock)
  const removeListener = mirror.registerListener(() => { if (isWatcher()) needed.notify() })
  let hasParent = false

  const isNeeded = (): boolean => !hasParent || isWatcher() || mirror.ageMs() > STALE_MS

  async function readOnce (): Promise<boolean> {
    const readAtMs = clock.nowMs()
    const outcome = await list.list()
    if (closing.signal.aborted || outcome.type !== 'listed') return false
    mirror.takeReading(outcome.instances, readAtMs)
    return true
  }

  async function readWhileNeeded (): Promise<void> {
    for (let tried = 0; isNeeded() && !closing.signal.aborted; tried++) {
      const isRead = await readOnce()
      if (isRead && isWatcher()) tried = 0
      const waitMs = isRead && isWatcher() ? intervalMs : random() * backoffMs(BACKOFF_FIRST_MS, BACKOFF_MAX_MS, tried)
      await needed.wait(waitMs, closing.signal)
    }
  }

  async function read (): Promise<void> {
    while (!closing.signal.aborted) {
      await readWhileNeeded()
      await needed.wait(CHECK_INTERVAL_MS, closing.signal)
    }
  }

  return {
    start: () => { read() },
    noteParent: (hasList) => {
      const isLost = hasParent && !hasList
      hasParent = hasList
      if (isLost) needed.notify()
    },
    close: () => {
      closing.abort()
      removeListener()
    }
  }
}
