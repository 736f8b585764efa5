/**
 * Attempts that ended here of late. A cancel may overtake the ask that it is
 * meant for, and an ask may arrive twice; neither may bring an attempt back.
 *
 * @module
 */
import type { RefusalReason, RequestId } from '../BendfallCoreTypes.js'
import { getRecent, putRecent } from './BendfallCoreSidecarRecent.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'
import { patchSidecar } from './BendfallCoreSidecarUpdate.js'

/** For how long an ended attempt is remembered, at least. */
export const ENDED_KEPT_MS = 10_000

interface AttemptRef {
  readonly requestId: RequestId
  readonly attempt: number
}

/**
 * Remembers that an attempt, and every one before it, ended.
 *
 * @param update - working copy
 * @param ref - the attempt
 * @param reason - what late asks are told
 */
export function rememberEnded (update: SidecarUpdate, { requestId, attempt }: AttemptRef, reason: RefusalReason): void {
  const known = getRecent(update.sidecar.ended, requestId)
  if (known !== undefined && known.attempt > attempt) return
  patchSidecar(update, { ended: putRecent(update.sidecar.ended, requestId, { attempt, reason }, update.atMs, ENDED_KEPT_MS) })
}

/**
 * Finds out whether an attempt ended here before.
 *
 * @param update - working copy
 * @param ref - the attempt
 * @returns the reason for a refusal, undefined when it did not end
 */
export function refuseEnded ({ sidecar }: SidecarUpdate, { requestId, attempt }: AttemptRef): RefusalReason | undefined {
  const known = getRecent(sidecar.ended, requestId)
  return known !== undefined && attempt <= known.attempt ? known.reason : undefined
}
