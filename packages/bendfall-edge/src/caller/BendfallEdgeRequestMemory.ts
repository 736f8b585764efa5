/**
 * Accounts for the memory of requests from the arrival of their heads until their responses have been sent.
 * What a request may need is reserved before it is read, so that the process refuses requests before its
 * memory is used up instead of being killed for it.
 *
 * @module
 */

/** Memory of all requests. */
export interface RequestMemory {
  /**
   * Reserves memory for a new request.
   *
   * @param bytes - size of the request as far as it is known
   * @returns the reservation; undefined if there is no room
   */
  readonly reserve: (bytes: number) => Reservation | undefined
  /** @returns the sum of all reservations */
  readonly reservedBytes: () => number
}

/** Memory that is reserved for one request. */
export interface Reservation {
  /**
   * Reserves more memory.
   *
   * @param bytes - additional size
   * @returns false if there is no room; the reservation is unchanged then
   */
  readonly extend: (bytes: number) => boolean
  /** Gives back a part of the memory. */
  readonly shrink: (bytes: number) => void
  /** Gives back all memory. Has no effect the second time. */
  readonly release: () => void
}

/** Reservations up to this size may use the whole bound, so that large requests don't keep out small ones. */
const SMALL_REQUEST_BYTES = 65_536

/** Share of the bound for large requests. */
const LARGE_REQUEST_SHARE = 0.75

/**
 * Creates the account.
 *
 * @param boundBytes - bytes that all requests together may use; `Infinity` for no bound
 * @returns the account without reservations
 */
export function createRequestMemory (boundBytes: number): RequestMemory {
  let reservedBytes = 0
  let largeRequests = 0

  // A request that exceeds the share of large ones by itself is admitted while there is no other large one.
  function hasRoom (bytes: number, isLarge: boolean, wasLarge: boolean): boolean {
    if (!isLarge) return reservedBytes + bytes <= boundBytes
    const otherLargeRequests = largeRequests - (wasLarge ? 1 : 0)
    return otherLargeRequests === 0 || reservedBytes + bytes <= boundBytes * LARGE_REQUEST_SHARE
  }

  function createReservation (): Reservation {
    let ownBytes = 0
    let isReleased = false

    function change (bytes: number): void {
      const wasLarge = ownBytes > SMALL_REQUEST_BYTES
      ownBytes += bytes
      reservedBytes += bytes
      largeRequests += Number(ownBytes > SMALL_REQUEST_BYTES) - Number(wasLarge)
    }

    return {
      extend: (bytes) => {
        if (isReleased || !hasRoom(bytes, ownBytes + bytes > SMALL_REQUEST_BYTES, ownBytes > SMALL_REQUEST_BYTES)) return false
        change(bytes)
        return true
      },
      shrink: (bytes) => change(-Math.min(bytes, ownBytes)),
      release: () => {
        isReleased = true
        change(-ownBytes)
      }
    }
  }

  return {
    reserve: (bytes) => {
      const reservation = createReservation()
      return reservation.extend(bytes) ? reservation : undefined
    },
    reservedBytes: () => reservedBytes
  }
}
