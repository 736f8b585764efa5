/**
 * Teardowns: what `register` functions return to undo themselves.
 *
 * @module
 */

/** Undoes a registration. */
export type Teardown = () => void

/**
 * Joins teardowns into one that runs them in reverse order.
 *
 * @param teardowns - teardowns in the order of registration
 * @returns the joined teardown
 */
export function combineTeardowns (teardowns: readonly Teardown[]): Teardown {
  return () => {
    for (const teardown of [...teardowns].reverse()) teardown()
  }
}

/** Teardowns of a process, collected while it starts. */
export interface TeardownStack {
  readonly push: (teardown: Teardown | (() => Promise<void>)) => void
  /** Runs all teardowns, last first, one after the other. */
  readonly run: () => Promise<void>
}

/**
 * Makes an empty stack.
 *
 * @returns the stack
 */
export function createTeardownStack (): TeardownStack {
  const teardowns: Array<Teardown | (() => Promise<void>)> = []
  return {
    push: (teardown) => { teardowns.push(teardown) },
    run: async () => {
      for (let teardown = teardowns.pop(); teardown !== undefined; teardown = teardowns.pop()) await teardown()
    }
  }
}
