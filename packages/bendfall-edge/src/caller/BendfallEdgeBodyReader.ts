/**
 * Reads the body of a request into memory that is reserved before it is filled. Chunks are copied, since one
 * that is kept costs a buffer object and the block that it was read into, however few bytes it has.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { Reservation } from './BendfallEdgeRequestMemory.js'

/** Result of reading a body. */
export type BodyOutcome =
  | { readonly type: 'complete', readonly body: Buffer }
  | { readonly type: 'too_large' }
  /** There was no memory for the rest of a body without a declared length. */
  | { readonly type: 'no_memory' }

/** Limits of a body. */
export interface BodyReaderOptions {
  readonly maxBytes: number
  readonly reservation: Reservation
  /** Called if there is no memory for the rest of a body; makes room if it can. */
  readonly makeRoom: () => void
}

/** A body that is being read. */
export interface BodyReader {
  /** @param listener - receives the outcome, once; also if it is known already */
  readonly onComplete: (listener: (outcome: BodyOutcome) => void) => void
  /**
   * @param nowMs - current time
   * @param deadlineAtMs - time up to which the caller waits
   * @returns whether the body won't be complete in time at the rate so far, or no bytes arrive any more
   */
  readonly isStalled: (nowMs: number, deadlineAtMs: number) => boolean
  /** Frees the memory of the body; its remaining bytes are read and discarded. */
  readonly discard: () => void
}

/** Steps in which memory is reserved for bodies without a declared length, and size of their first buffer. */
const STEP_BYTES = 65_536

/** Time without a byte after which a body counts as stalled, and after which its rate counts. */
const STALL_MS = 1_000

/**
 * Starts to read the body of a request.
 *
 * @param request - request whose body has not been read
 * @param options - limits
 * @returns the reader; undefined if there is no memory for the declared length
 */
export function startBodyReader (request: IncomingMessage, options: BodyReaderOptions): BodyReader | undefined {
  const declaredBytes = declaredBytesOf(request)
  if (declaredBytes === undefined) return new BodyCollector(request, options)
  const isReserved = options.reservation.extend(declaredBytes)
  if (!isReserved) options.makeRoom()
  return isReserved || options.reservation.extend(declaredBytes) ? new BodyCollector(request, options, declaredBytes) : undefined
}

/**
 * Returns the declared length of a request body.
 *
 * @param request - request from the HTTP server, which has validated the header
 * @returns bytes; undefined if the length is unknown until the body ends
 */
export function declaredBytesOf ({ headers }: IncomingMessage): number | undefined {
  return headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : undefined
}

class BodyCollector implements BodyReader {
  #buffer: Buffer
  #receivedBytes = 0
  #reservedBytes: number
  readonly #startedAtMs = performance.now()
  #lastByteAtMs = this.#startedAtMs
  #outcome: BodyOutcome | undefined
  #isDiscarded = false
  #listener: (outcome: BodyOutcome) => void = () => {}

  constructor (request: IncomingMessage, private readonly options: BodyReaderOptions, private readonly declaredBytes?: number) {
    this.#reservedBytes = declaredBytes ?? 0
    this.#buffer = Buffer.allocUnsafeSlow(declaredBytes ?? 0)
    request.on('data', (chunk: Buffer) => this.#receive(chunk))
    // An interrupted request never emits `end`; its connection is closed in that case.
    request.once('end', () => { if (!this.#isDiscarded) this.#settle({ type: 'complete', body: this.#buffer.subarray(0, this.#receivedBytes) }) })
  }

  onComplete (listener: (outcome: BodyOutcome) => void): void {
    this.#listener = listener
    if (this.#outcome !== undefined) listener(this.#outcome)
  }

  isStalled (nowMs: number, deadlineAtMs: number): boolean {
    if (this.#outcome !== undefined) return false
    const elapsedMs = nowMs - this.#startedAtMs
    if (nowMs >= deadlineAtMs || nowMs - this.#lastByteAtMs >= STALL_MS) return true
    if (elapsedMs < STALL_MS || this.declaredBytes === undefined) return false
    const remainingBytes = this.declaredBytes - this.#receivedBytes
    return remainingBytes * elapsedMs > this.#receivedBytes * (deadlineAtMs - nowMs)
  }

  discard (): void {
    if (this.#isDiscarded) return
    this.#isDiscarded = true
    this.#buffer = Buffer.alloc(0)
    this.#outcome = undefined
    this.#listener = () => {}
    this.options.reservation.shrink(this.#reservedBytes)
  }

  #receive (chunk: Buffer): void {
    if (this.#isDiscarded || this.#outcome !== undefined) return
    const bytes = this.#receivedBytes + chunk.length
    if (bytes > this.options.maxBytes) return this.#settle({ type: 'too_large' })
    if (!this.#reserve(bytes)) return this.#settle({ type: 'no_memory' })
    if (bytes > this.#buffer.length) this.#grow(bytes)
    chunk.copy(this.#buffer, this.#receivedBytes)
    this.#receivedBytes = bytes
    this.#lastByteAtMs = performance.now()
  }

  #reserve (bytes: number): boolean {
    if (bytes <= this.#reservedBytes) return true
    const { makeRoom, reservation } = this.options
    const stepBytes = Math.ceil((bytes - this.#reservedBytes) / STEP_BYTES) * STEP_BYTES
    if (!reservation.extend(stepBytes)) {
      makeRoom()
      if (!reservation.extend(stepBytes)) return false
    }
    this.#reservedBytes += stepBytes
    return true
  }

  // Grows at most once to the maximum size: pages that are not written to take no memory, whereas each
  // smaller copy would stay in memory until the garbage is collected.
  #grow (bytes: number): void {
    const grown = Buffer.allocUnsafeSlow(bytes <= STEP_BYTES ? STEP_BYTES : this.options.maxBytes)
    this.#buffer.copy(grown, 0, 0, this.#receivedBytes)
    this.#buffer = grown
  }

  #settle (outcome: BodyOutcome): void {
    if (this.#outcome !== undefined) return
    this.#outcome = outcome
    this.#listener(outcome)
  }
}
