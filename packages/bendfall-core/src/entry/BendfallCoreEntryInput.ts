/**
 * Input that the edge refuses by itself, which is only counted.
 *
 * @module
 */
import type { HandlerTable } from '../BendfallCoreReducer.js'

/** Handlers of input that became no request. */
export const entryInputHandlers: HandlerTable = {
  input_refused: (state, { status, reason }) => ({
    state,
    effects: [{ type: 'count', metric: 'input_refused', value: 1, tags: { status: String(status), reason } }]
  })
}
