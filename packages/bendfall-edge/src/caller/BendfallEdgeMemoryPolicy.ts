/**
 * Decides whose connection is closed when callers that read slowly make the entry buffer too much, and when an entry
 * with little memory left refuses new requests. Knows neither sockets nor time.
 *
 * @module
 */

/** Bounds on the memory of an entry. */
export interface MemoryBounds {
  /** Bytes that the entry may buffer for all callers together. */
  readonly bufferBytes: number
  /** Bytes beyond which the process is killed. */
  readonly processBytes: number
}

/** What an entry buffers for one caller. */
export interface CallerBuffer {
  readonly key: string
  /** Bytes of the response that the caller has not read. */
  readonly unreadBytes: number
  /** Bytes of the request's body, and of the response before it is passed on. */
  readonly otherBytes: number
  /** Rate at which the caller reads; undefined while it has been observed for too short a time. */
  readonly readBytesPerS?: number
}

/** Memory in use. */
export interface MemoryUse {
  /** All bytes that the entry buffers for callers. */
  readonly bufferedBytes: number
  /** Sum of {@link CallerBuffer.otherBytes}; no closed connection of a slow reader would reduce it. */
  readonly otherBytes: number
  /** Resident memory of the process. */
  readonly processBytes: number
}

const BYTES_PER_MB = 1_000_000

/** Share of the process memory for buffers: 36 of 178 MB. An entry with a stand-in of the platform in its process has 112 MB resident when idle, 134 MB after 600 requests. */
const BUFFER_SHARE = 0.2

/** Share of a bound from which new requests are refused, the more the closer it is. Uncollected garbage alone may take the resident memory to nine tenths. */
const REFUSAL_START = 0.95

/** Share of the bound of the buffers from which the resident memory counts: below it the memory has other causes, and refusals would not lower it. */
const COUNTED_BUFFER_SHARE = 0.5

/** Share of the bound of the buffers that unread responses may take whatever the bodies of requests take, so that large bodies don't cut callers that read. */
const MIN_UNREAD_SHARE = 0.25

/** Range of the time after which refused callers return, spread so that they do not all return together. */
const MIN_RETRY_MS = 1_000
const RETRY_SPREAD_MS = 2_000

/**
 * Returns the bounds of an entry.
 *
 * @param memoryMb - memory of the process in megabytes
 * @returns the bounds in bytes
 */
export function memoryBoundsOf (memoryMb: number): MemoryBounds {
  const processBytes = memoryMb * BYTES_PER_MB
  return { bufferBytes: processBytes * BUFFER_SHARE, processBytes }
}

/**
 * Chooses the callers whose connections are closed, so that the buffers of the others are within the bound. Those that
 * read most slowly go first, and among equals those with the most unread bytes. A caller that was observed for too short
 * a time goes last, since a response may just have been written at once.
 *
 * @param callers - all callers for which the entry buffers bytes
 * @param bounds - bounds of the entry
 * @returns the callers in the order in which they are cut; none while the buffers are within the bound
 */
export function chooseCuts (callers: readonly CallerBuffer[], { bufferBytes }: MemoryBounds): readonly CallerBuffer[] {
  const unreadSum = callers.reduce((sum, { unreadBytes }) => sum + unreadBytes, 0)
  const otherSum = callers.reduce((sum, { otherBytes }) => sum + otherBytes, 0)
  let excessBytes = unreadSum - Math.max(bufferBytes - otherSum, MIN_UNREAD_SHARE * bufferBytes)
  if (excessBytes <= 0) return []
  const slowestFirst = callers.filter(({ unreadBytes }) => unreadBytes > 0).sort(compareReaders)
  return slowestFirst.filter(({ otherBytes, unreadBytes }) => {
    if (excessBytes <= 0) return false
    excessBytes -= otherBytes + unreadBytes
    return true
  })
}

function compareReaders (one: CallerBuffer, other: CallerBuffer): number {
  const { readBytesPerS: oneRate = Infinity } = one
  const { readBytesPerS: otherRate = Infinity } = other
  return oneRate === otherRate ? other.unreadBytes - one.unreadBytes : oneRate - otherRate
}

/**
 * Returns the share of new requests that an entry refuses. The resident memory of a process may stay high after its
 * buffers are gone; an entry that refused requests because of it would do so until its restart, so it counts only
 * while the buffers are large as well.
 *
 * @param use - memory in use
 * @param bounds - bounds of the entry
 * @returns 0 up to {@link REFUSAL_START} of a bound, 1 from the bound on
 */
export function refusedShareOf ({ bufferedBytes, otherBytes, processBytes }: MemoryUse, bounds: MemoryBounds): number {
  const isResidentCounted = bufferedBytes >= COUNTED_BUFFER_SHARE * bounds.bufferBytes
  const used = Math.max(otherBytes / bounds.bufferBytes, isResidentCounted ? processBytes / bounds.processBytes : 0)
  return Math.min(1, Math.max(0, (used - REFUSAL_START) / (1 - REFUSAL_START)))
}

/**
 * Returns the time after which a refused caller should return.
 *
 * @param random - pseudorandom number in [0, 1)
 * @returns delay in milliseconds
 */
export function retryAfterMsOf (random: number): number {
  return MIN_RETRY_MS + RETRY_SPREAD_MS * random
}
