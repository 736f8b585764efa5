/**
 * The place of a process in the tree of the configuration, worked out again
 * only after a change of the instance list or of the withdrawn instances.
 *
 * @module
 */
import type { Event, InstanceId, State } from 'bendfall-core'
import { configParents, isConfigWatcher } from 'bendfall-core'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'

/** The place of a process in the tree. */
export interface ConfigTree {
  /** Whether this process reads the platform's services for its availability zone. */
  readonly isWatcher: () => boolean
  /** Whom this process asks, best first. */
  readonly parents: () => readonly InstanceId[]
  readonly close: Teardown
}

interface Place {
  readonly isWatcher: boolean
  readonly parents: readonly InstanceId[]
}

/**
 * Follows the place of a process.
 *
 * @param runtime - update path of the process
 * @returns the place; close it to tear it down
 */
export function registerConfigTree (runtime: Runtime): ConfigTree {
  let withdrawn = withdrawnOf(runtime.getState())
  let place: Place | undefined

  function find (): Place {
    const state = runtime.getState()
    place ??= { isWatcher: isConfigWatcher(state), parents: configParents(state) }
    return place
  }

  const close = runtime.registerListener((event, { state }) => {
    const now = withdrawnOf(state)
    if (isListEvent(event) || !isSameList(now, withdrawn)) place = undefined
    withdrawn = now
  })
  return { isWatcher: () => find().isWatcher, parents: () => find().parents, close }
}

function isListEvent ({ type }: Event): boolean {
  return type === 'instances_listed' || type === 'instances_changed'
}

function withdrawnOf ({ config }: State): readonly InstanceId[] {
  return config?.withdrawn ?? NONE
}

const NONE: readonly InstanceId[] = []

function isSameList (left: readonly InstanceId[], right: readonly InstanceId[]): boolean {
  return left === right || (left.length === right.length && left.every((instanceId, index) => instanceId === right[index]))
}
