/**
 * Remembers which software began a stream, since only replicas that run the same software can
 * continue it. Processes keep this for their own streams and for those of others.
 *
 * @module
 */
import { hashText } from 'bendfall-core'
import type { Replica } from '../BendfallRouterTypes.js'

/** Digest of a service and a version of its software. */
export type SoftwareDigest = number

/**
 * Stands for the software of a process that has not registered yet. It is recorded as the origin of streams that such
 * a process began, so that nobody infers another one, and no replica matches it.
 */
export const UNKNOWN_SOFTWARE: SoftwareDigest = 0

/** Which software began each of the latest streams, by the id of the request that brought the first event. */
export interface StreamOrigins {
  current: Map<string, SoftwareDigest>
  previous: Map<string, SoftwareDigest>
  rotatedAtMs: number
}

/** Time for which an origin is kept at least: longer than a caller keeps resuming a stream. */
const MIN_KEPT_MS = 60_000

/** Maximum number of origins that are kept in half of the memory; more shorten the time. */
const MAX_ORIGINS = 50_000

/**
 * Identifies the software that a replica runs.
 *
 * @param replica - registration of the replica
 * @returns the same digest for replicas of one service and software version
 */
export function digestSoftware ({ service, softwareVersion }: Pick<Replica, 'service' | 'softwareVersion'>): SoftwareDigest {
  return hashText(`${service} ${softwareVersion}`)
}

/**
 * Creates an empty memory of origins.
 *
 * @param nowMs - current time
 * @returns the memory
 */
export function createStreamOrigins (nowMs: number): StreamOrigins {
  return { current: new Map(), previous: new Map(), rotatedAtMs: nowMs }
}

/**
 * Records which software began a stream.
 *
 * @param origins - changed in place
 * @param requestId - id of the request that brought the first event
 * @param software - software of the replica that made it
 * @param nowMs - current time
 */
export function recordOrigin (origins: StreamOrigins, requestId: string, software: SoftwareDigest, nowMs: number): void {
  if (nowMs - origins.rotatedAtMs >= MIN_KEPT_MS || origins.current.size >= MAX_ORIGINS) {
    origins.previous = origins.current
    origins.current = new Map()
    origins.rotatedAtMs = nowMs
  }
  origins.current.set(requestId, software)
}

/**
 * Finds the software that began a stream.
 *
 * @param origins - memory of the process
 * @param requestId - id of the request that brought the first event
 * @returns the software; undefined if it is not known here
 */
export function findOrigin ({ current, previous }: StreamOrigins, requestId: string): SoftwareDigest | undefined {
  return current.get(requestId) ?? previous.get(requestId)
}
