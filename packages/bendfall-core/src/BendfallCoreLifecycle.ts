/**
 * Start and stop of a process, whatever its role.
 *
 * @module
 */
import type { HandlerTable } from './BendfallCoreReducer.js'

/** Handlers of the process's own life. */
export const lifecycleHandlers: HandlerTable = {
  stop_asked: (state) => ({ state: { ...state, stopping: true }, effects: [] })
}
