/**
 * Reads the body of a request within a bound of size and time.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import { createByteCollector } from 'bendfall-platform'
import type { Clock } from '../runtime/BendfallNodeClock.js'

/** Bounds on a body. */
export interface BodyLimits {
  readonly bodyBytes: number
  /** From the end of the headers to the end of the body. */
  readonly bodyTimeoutMs: number
}

/** How the reading of a body ended. */
export type BodyOutcome =
  | { readonly type: 'whole', readonly body: Buffer }
  | { readonly type: 'too_large' }
  | { readonly type: 'timeout' }
  /** The caller closed the connection within the body. */
  | { readonly type: 'left' }

/**
 * Reads a body. Stops listening, but not the flow, when a bound is passed.
 *
 * @param request - request whose headers are complete
 * @param limits - bounds of size and time
 * @param clock - source of the timeout
 * @param onOutcome - called once, when the reading ended
 */
export function readBody (request: IncomingMessage, limits: BodyLimits, clock: Clock, onOutcome: (outcome: BodyOutcome) => void): void {
  const received = createByteCollector()

  function finish (outcome: BodyOutcome): void {
    cancelTimeout()
    request.off('data', onData).off('end', onEnd).off('close', onClose)
    onOutcome(outcome)
  }

  function onData (chunk: Buffer): void {
    if (received.length() + chunk.length > limits.bodyBytes) finish({ type: 'too_large' })
    else received.append(chunk)
  }

  const onEnd = (): void => finish({ type: 'whole', body: received.take() })
  const onClose = (): void => finish({ type: 'left' })
  const cancelTimeout = clock.callAt(clock.nowMs() + limits.bodyTimeoutMs, () => finish({ type: 'timeout' }))
  request.on('error', ignoreError)
  if (announcedBytes(request) > limits.bodyBytes) return finish({ type: 'too_large' })
  request.on('data', onData).on('end', onEnd).on('close', onClose)
}

function announcedBytes (request: IncomingMessage): number {
  return Number(request.headers['content-length'] ?? 0)
}

// An aborted request also emits `close`, which is what ends the reading.
function ignoreError (): void {}
