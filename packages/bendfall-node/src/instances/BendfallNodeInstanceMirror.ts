/**
 * The copy of the instance list that a process keeps, learned from the
 * platform or from another process, and handed on. The reducer is told of the
 * whole list once and of changes from then on.
 *
 * @module
 */
import type { InstanceChange, InstanceRecord } from 'bendfall-core'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import type { InstanceAnswer } from './BendfallNodeInstanceAnswer.js'
import { readChange, readInstances, writeChange, writeInstances } from './BendfallNodeInstanceAnswer.js'
import { createInstanceHistory } from './BendfallNodeInstanceHistory.js'
import { createInstanceRecords, isEmptyChange } from './BendfallNodeInstanceRecords.js'
import { createInstanceReturns } from './BendfallNodeInstanceReturns.js'

/** List of an asker, in the time of this process. */
export interface InstanceAsk {
  /** Revision; empty while the asker has no list. */
  readonly haveRevision: string
  /** Monotonic time at which its list was read from the platform. */
  readonly haveReadAtMs: number
}

/** The copy of the instance list. */
export interface InstanceMirror {
  /** Digest of the content; empty while no list was taken. */
  readonly revision: () => string
  /** Age of the reading that the copy rests on; infinite while there is none. */
  readonly ageMs: () => number
  /**
   * Takes in a reading of the platform's list.
   *
   * @param instances - the list; the same array while it did not change
   * @param readAtMs - monotonic time before the reading
   */
  readonly takeReading: (instances: readonly InstanceRecord[], readAtMs: number) => void
  /** Tells whether an answer would bring the asker further. */
  readonly hasNews: (ask: InstanceAsk) => boolean
  /** Answers an asker: changes where its revision is kept, else the whole list. */
  readonly write: (ask: InstanceAsk) => InstanceAnswer
  /** Takes in what another process answered. */
  readonly takeAnswer: (answer: InstanceAnswer) => void
  /**
   * @param listener - called after each reading and each change
   * @returns teardown
   */
  readonly registerListener: (listener: () => void) => Teardown
  /** Cancels all timers. */
  readonly close: Teardown
}

interface Reading {
  readonly instances: readonly InstanceRecord[]
  readonly revision: string
}

/**
 * Makes the copy of a process.
 *
 * @param runtime - update path; gets `instances_listed` and `instances_changed`
 * @returns the copy, without a list
 */
export function createInstanceMirror (runtime: Runtime): InstanceMirror {
  const { clock } = runtime
  const records = createInstanceRecords()
  const history = createInstanceHistory()
  const returns = createInstanceReturns(clock, records.byId, (record) => dispatchChange({ changed: [record], removed: [] }))
  const listeners = new Set<() => void>()
  let readAtMs = -Infinity
  let lastReading: Reading | undefined

  const revision = (): string => readAtMs === -Infinity ? '' : records.revision()

  function dispatchChange (change: InstanceChange): void {
    if (!isEmptyChange(change)) runtime.dispatch({ type: 'instances_changed', ...change })
  }

  function takeChange (change: InstanceChange): void {
    if (isEmptyChange(change)) return
    const shown = returns.filter(change)
    history.add(records.revision(), change)
    records.apply(change)
    dispatchChange(shown)
  }

  function takeWhole (instances: readonly InstanceRecord[], atMs: number): void {
    const isFirst = readAtMs === -Infinity
    if (!isFirst && atMs <= readAtMs) return
    readAtMs = atMs
    if (!isFirst) return takeChange(records.diff(instances))
    records.apply({ changed: instances, removed: [] })
    runtime.dispatch({ type: 'instances_listed', instances })
  }

  function takeUnchanged (atMs: number): void {
    readAtMs = Math.max(readAtMs, atMs)
  }

  function takeNext (answer: InstanceAnswer, atMs: number): void {
    const { base, change } = readChange(answer.changeJson)
    if (base !== revision()) return
    takeChange(change)
    takeUnchanged(atMs)
  }

  function tellListeners (): void {
    for (const listener of [...listeners]) listener()
  }

  return {
    revision,
    ageMs: () => clock.nowMs() - readAtMs,
    takeReading: (instances, atMs) => {
      const isUnchanged = instances === lastReading?.instances && revision() === lastReading.revision
      if (isUnchanged) takeUnchanged(atMs)
      else takeWhole(instances, atMs)
      lastReading = { instances, revision: revision() }
      tellListeners()
    },
    hasNews: ({ haveRevision, haveReadAtMs }) => {
      const own = revision()
      if (own === '' || own === haveRevision) return false
      if (haveRevision === '' || history.since(haveRevision) !== undefined) return true
      return readAtMs > haveReadAtMs
    },
    write: ({ haveRevision, haveReadAtMs }) => {
      const own = revision()
      const answer = { revision: own, ageMs: clock.nowMs() - readAtMs, listJson: '', changeJson: '' }
      if (own === '' || own === haveRevision) return answer
      const change = haveRevision === '' ? undefined : history.since(haveRevision)
      if (change !== undefined) return { ...answer, changeJson: writeChange(haveRevision, change) }
      // An asker that read later than this process is not sent back.
      const isBehind = haveRevision === '' || readAtMs > haveReadAtMs
      return isBehind ? { ...answer, listJson: writeInstances([...records.byId.values()]) } : answer
    },
    takeAnswer: (answer) => {
      const atMs = clock.nowMs() - answer.ageMs
      if (answer.revision === '') return
      if (answer.listJson !== '') takeWhole(readInstances(answer.listJson), atMs)
      else if (answer.changeJson !== '') takeNext(answer, atMs)
      else if (answer.revision === revision()) takeUnchanged(atMs)
      tellListeners()
    },
    registerListener: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    close: returns.close
  }
}
