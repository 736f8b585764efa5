/**
 * Detects responses that belong to an earlier request, by comparing their id with those of
 * recent requests. A server may also use response ids of its own, which are accepted.
 *
 * @module
 */

/** Number of ids kept: duplicate responses are seconds late, and a server gets a few hundred calls a second. */
const MAX_IDS = 4_096

/** Ids of the requests recently sent to one server. */
export interface SentRequestIds {
  readonly add: (requestId: string) => void
  /**
   * @param requestId - id of the call
   * @param responseId - id in its response; empty if there is none
   * @returns whether the response belongs to another recent request
   */
  readonly belongsToOther: (requestId: string, responseId: string) => boolean
}

/**
 * Creates the id set for a server to which nothing was sent yet.
 *
 * @returns an empty set, limited to the most recent ids
 */
export function createSentRequestIds (): SentRequestIds {
  const sent = new Set<string>()
  return {
    add: (requestId) => {
      sent.delete(requestId)
      sent.add(requestId)
      const [oldest] = sent
      if (sent.size > MAX_IDS && oldest !== undefined) sent.delete(oldest)
    },
    // An unknown id is not an error: a server may put its own ids into responses.
    belongsToOther: (requestId, responseId) => responseId !== requestId && sent.has(responseId)
  }
}
