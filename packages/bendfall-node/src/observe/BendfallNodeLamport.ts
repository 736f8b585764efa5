/**
 * Lamport clock: orders events of several processes by cause.
 *
 * @module
 */

/** Lamport clock of one process. */
export interface LamportClock {
  /**
   * Advances for a local event or for a message about to be sent.
   *
   * @returns the clock after the event
   */
  readonly tick: () => number
  /** Takes in the clock that came with a message. */
  readonly observe: (lamport: number) => void
}

/**
 * Makes a Lamport clock that stands at 0.
 *
 * @returns the clock
 */
export function createLamportClock (): LamportClock {
  let lamport = 0
  return {
    tick: () => {
      lamport += 1
      return lamport
    },
    observe: (other) => {
      lamport = Math.max(lamport, other) + 1
    }
  }
}
