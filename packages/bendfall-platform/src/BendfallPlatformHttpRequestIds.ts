/**
 * Tells an answer to an earlier request from one of a server that names answers its own way.
 *
 * @module
 */

/** Ids that are kept. A second answer is late by seconds; a server gets some hundred calls a second. */
const MOST_IDS = 4_096

/** Ids of the requests that went to one server lately. */
export interface SentRequestIds {
  readonly add: (requestId: string) => void
  /**
   * @param requestId - of the call
   * @param named - id that its answer names; empty when it names none
   * @returns whether the answer is that of another request
   */
  readonly isOfAnother: (requestId: string, named: string) => boolean
}

/**
 * Makes the ids of a server that got none yet.
 *
 * @returns the ids
 */
export function createSentRequestIds (): SentRequestIds {
  const sent = new Set<string>()
  return {
    add: (requestId) => {
      sent.delete(requestId)
      sent.add(requestId)
      const [oldest] = sent
      if (sent.size > MOST_IDS && oldest !== undefined) sent.delete(oldest)
    },
    // A server may well put ids of its own into its answers.
    isOfAnother: (requestId, named) => named !== requestId && sent.has(named)
  }
}
