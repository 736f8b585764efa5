/**
 * Mapping of load views: whole numbers in 32 bits, so that a view takes some
 * twenty bytes on each answer. A choice between replicas needs no more.
 *
 * @module
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { LoadView } from 'bendfall-core'
import type * as wire from 'bendfall-protocol'

const BYTES_PER_KIB = 1024
const US_PER_MS = 1000
const MAX_UINT32 = 2 ** 32 - 1

/**
 * Maps a load view that leaves.
 *
 * @param load - the load
 * @returns the load, rounded
 */
export function toLoadView (load: LoadView): MessageInitShape<typeof wire.LoadViewSchema> {
  return {
    freeKvKib: whole(Math.floor(load.freeKvBytes / BYTES_PER_KIB)),
    totalKvKib: whole(Math.floor(load.totalKvBytes / BYTES_PER_KIB)),
    activeRequests: load.activeRequests,
    queuedPrefillTokens: whole(load.queuedPrefillTokens),
    urgentPrefillTokens: whole(load.urgentPrefillTokens),
    prefillTokensPerSecond: whole(load.prefillTokensPerSecond),
    stepUs: whole(load.stepMs * US_PER_MS),
    readyInMs: whole(Math.ceil(load.readyInMs)),
    draining: load.draining,
    configVersion: load.configVersion
  }
}

function whole (value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)))
}

/**
 * Maps a load view that arrived.
 *
 * @param message - the message
 * @returns the load
 */
export function fromLoadView (message: wire.LoadView): LoadView {
  return {
    freeKvBytes: message.freeKvKib * BYTES_PER_KIB,
    totalKvBytes: message.totalKvKib * BYTES_PER_KIB,
    activeRequests: message.activeRequests,
    queuedPrefillTokens: message.queuedPrefillTokens,
    urgentPrefillTokens: message.urgentPrefillTokens,
    prefillTokensPerSecond: message.prefillTokensPerSecond,
    stepMs: message.stepUs / US_PER_MS,
    readyInMs: message.readyInMs,
    draining: message.draining,
    configVersion: message.configVersion
  }
}
