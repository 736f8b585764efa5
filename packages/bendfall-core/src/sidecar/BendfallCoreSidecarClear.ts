/**
 * The time before the engine has confirmed that nothing of an earlier process
 * of this sidecar runs there. Until then it gets no order, so it holds no model
 * that work could be for, and its reports count for nothing.
 *
 * @module
 */
import type { SidecarHandler, SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchSidecar } from './BendfallCoreSidecarUpdate.js'

/** Failure that operators see while the engine does not confirm. */
export const CLEAR_FAILURE = 'the engine does not confirm the cancel of all earlier work'

/**
 * Tells whether the engine may still run work of an earlier process.
 *
 * @param update - working copy
 * @returns true until the engine has confirmed the cancel of everything
 */
export function isClearing ({ sidecar }: Pick<SidecarUpdate, 'sidecar'>): boolean {
  return sidecar.order.phase === 'clearing'
}

/** A cancel of everything was sent, confirmed or not. */
export const engineClearTried: SidecarHandler<'engine_clear_tried'> = (update, { tries, isCleared }) => {
  const { order } = update.sidecar
  if (isCleared) patchSidecar(update, { order: { ...order, phase: 'settled', failures: 0, failure: '' } })
  else patchSidecar(update, { order: { ...order, phase: 'clearing', failures: tries, failure: tries === 0 ? '' : CLEAR_FAILURE } })
}
