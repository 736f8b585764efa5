/**
 * What is known of the process that answers at a replica's address. After the registered one has ended this is its
 * successor, of which nothing is known before it registers.
 *
 * @module
 */
import { UNKNOWN_SOFTWARE } from '../streams/BendfallRouterStreamOrigins.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/**
 * Returns the software of the process that answers.
 *
 * @param view - view of the replica
 * @returns the registered software; `UNKNOWN_SOFTWARE` if the registered process has ended
 */
export function softwareOf ({ endedAtMs, software }: ReplicaView): SoftwareDigest {
  return endedAtMs === undefined ? software : UNKNOWN_SOFTWARE
}

/**
 * Returns when the process that answers was started.
 *
 * @param view - view of the replica
 * @returns Unix time; undefined if it isn't known
 */
export function startOf ({ endedAtMs, replica }: ReplicaView): number | undefined {
  return endedAtMs === undefined ? replica.startedAtMs : undefined
}

/**
 * Checks whether the last send of a request is at the successor of a replica's registered process.
 *
 * @param request - request to check
 * @param view - view of the registered process
 * @returns false if it was sent to the registered process, or to another replica
 */
export function isAtSuccessor ({ answerStartedAtMs = -Infinity, isAnsweredByFormer, prefillReplicaId, runReplicaId, sentTo }: RequestState, { endedAtMs, replica: { replicaId } }: ReplicaView): boolean {
  if (endedAtMs === undefined || sentTo?.replicaId !== replicaId) return false
  if (runReplicaId !== replicaId && prefillReplicaId !== replicaId) return false
  // A send may be under way when another one shows that the process has ended. Its response tells who got it: a process
  // that shuts down refuses connections before it has answered all requests.
  return sentTo.sentAtMs >= endedAtMs || (answerStartedAtMs >= endedAtMs && isAnsweredByFormer !== true)
}
