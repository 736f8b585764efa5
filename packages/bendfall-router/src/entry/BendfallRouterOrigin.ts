/**
 * Finds the software that began a stream which a caller resumes. What two software versions write does not
 * fit together, and replicas do not check this, so that a stream continues only at replicas that run the
 * software of its first event.
 *
 * @module
 */
import { joinSoftware } from '../streams/BendfallRouterResumableSoftware.js'
import { findOrigin, UNKNOWN_SOFTWARE } from '../streams/BendfallRouterStreamOrigins.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'
import { startAllotment } from './BendfallRouterAllotment.js'
import type { NextStep, RouterContext } from './BendfallRouterContext.js'
import { logDecision } from './BendfallRouterContext.js'
import type { OriginOutcome } from './BendfallRouterEvents.js'
import type { Route } from '../BendfallRouterTypes.js'
import { canRunOn } from './BendfallRouterEligibility.js'
import type { RequestState } from './BendfallRouterRequest.js'
import { stageOf } from './BendfallRouterReplicaHealth.js'
import { isRouteUnchanged, possibleSoftware, resumableMs, seenOnRoute } from './BendfallRouterResumableRoutes.js'
import type { RouterState } from './BendfallRouterState.js'

/** `Retry-After` while a process that may know the origin does not answer. */
const HOLDER_RETRY_MS = 200

/** `Retry-After` while no replica with the software can decode, or its process has not registered. */
const NO_REPLICA_RETRY_MS = 1_000

/**
 * Checks whether a request continues a stream that began in an earlier request.
 *
 * @param request - request to check
 * @returns true if its caller has received events before
 */
export function isResumption ({ lastEventId, resumedRequestId, route }: Pick<RequestState, 'lastEventId' | 'resumedRequestId' | 'route'>): boolean {
  return route.kind === 'streaming' && (lastEventId !== undefined || resumedRequestId !== undefined)
}

/**
 * Finds the software that began the stream which a request resumes: in this process, or by asking
 * those that remember it.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that resumes a stream
 * @returns the next step
 */
export function startOrigin (context: RouterContext, request: RequestState): NextStep {
  const { resumedRequestId } = request
  // Nobody can be asked about a stream whose first request the caller doesn't name.
  if (resumedRequestId === undefined) return inferOrigin(context, request)
  const known = findOrigin(context.state.origins, resumedRequestId)
  if (known !== undefined) return requireSoftware(context, request, known, 'own')
  request.phase = 'origin'
  request.attempt += 1
  context.effects.push({ type: 'find_origin', key: request.key, attempt: request.attempt, requestId: resumedRequestId })
  return undefined
}

/**
 * Handles the answers of the processes that remember origins.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that waits for them
 * @param outcome - the software, or how many processes did not answer
 * @returns the next step
 */
export function handleOriginAnswer (context: RouterContext, request: RequestState, outcome: OriginOutcome): NextStep {
  if (outcome.type === 'found') return requireSoftware(context, request, outcome.software, 'holder')
  request.silentOriginHolders = outcome.silentHolders
  return inferOrigin(context, request)
}

/**
 * Returns the requests that wait for the registrations to be read again to infer their origin.
 *
 * @param state - state of the entry
 * @param requestedAtMs - when the read that has ended was requested; requests that arrived later wait for their own
 * @returns the requests
 */
export function requestsToInfer ({ requests }: RouterState, requestedAtMs: number): RequestState[] {
  return [...requests.values()].filter(({ arrivedAtMs, isOriginRefreshed, phase }) => phase === 'origin' && isOriginRefreshed === true && arrivedAtMs <= requestedAtMs)
}

/**
 * Infers the software from the registrations and the record of resumable software: if one version alone
 * has served the route for longer than a stream can last, it began the stream. Both must be at least as
 * recent as the request, since another entry may have learned of a new version earlier.
 *
 * @param context - state, time and effects of the current event
 * @param request - request that resumes a stream of unknown origin
 * @returns the next step; a refusal if several versions are possible
 */
export function inferOrigin (context: RouterContext, request: RequestState): NextStep {
  const { effects, state } = context
  const sole = findSoleSoftware(context, request)
  if (sole === undefined) return refuseUnknownOrigin(request)
  if (state.configVerifiedAtMs >= request.arrivedAtMs) return requireSoftware(context, request, sole, 'sole_version')
  if (request.isOriginRefreshed === true) return refuseUnknownOrigin(request)
  request.isOriginRefreshed = true
  request.phase = 'origin'
  request.attempt += 1
  effects.push({ type: 'refresh_replicas' })
  return undefined
}

function findSoleSoftware ({ state }: RouterContext, request: RequestState): SoftwareDigest | undefined {
  const { deadlineAtMs, resumedRequestId, route } = request
  // The earliest begin of a stream whose caller still waits until the deadline.
  const sinceMs = deadlineAtMs - resumableMs(route)
  const possible = possibleSoftware(state, route, sinceMs) ?? (resumedRequestId === undefined ? assumeSoftware(state, route, sinceMs) : [])
  // Another entry may have recorded a version that came and went between two reads of this one.
  const [sole, ...others] = joinSoftware(possible, state.resumableSoftware?.get(route.name) ?? [])
  return others.length === 0 ? sole : undefined
}

// Nobody can be asked about a stream whose first request isn't named. While the key-value service is down no entry learns
// of another version, so that gaps don't matter; what was before the process had started does.
function assumeSoftware (state: RouterState, route: Route, sinceMs: number): readonly SoftwareDigest[] {
  const isOldEnough = state.softwareHistory.beganAtMs <= sinceMs && isRouteUnchanged(state, route, sinceMs)
  return isOldEnough ? seenOnRoute(state, route, sinceMs) : []
}

function refuseUnknownOrigin ({ silentOriginHolders = 0 }: RequestState): NextStep {
  return { type: 'refuse', status: 503, reason: 'origin_unknown', retryAfterMs: silentOriginHolders > 0 ? HOLDER_RETRY_MS : undefined }
}

function requireSoftware (context: RouterContext, request: RequestState, software: SoftwareDigest, source: 'own' | 'holder' | 'sole_version'): NextStep {
  const { state } = context
  if (software === UNKNOWN_SOFTWARE) return { type: 'refuse', status: 503, reason: 'origin_unknown', retryAfterMs: NO_REPLICA_RETRY_MS }
  const views = state.usedBySoftware.get(software) ?? []
  const replica = views[0]?.replica
  request.requiredSoftware = software
  logDecision(context, request, 'origin_found', { source, resumedRequestId: request.resumedRequestId, service: replica?.service, softwareVersion: replica?.softwareVersion })
  // Without a `Retry-After`: the software does not come back.
  if (replica === undefined || !request.route.services.some(({ service }) => service === replica.service)) return { type: 'refuse', status: 503, reason: 'software_gone' }
  request.service = replica.service
  if (!views.some((view) => stageOf(view) !== 'prefill' && canRunOn(request, view))) return { type: 'refuse', status: 503, reason: 'no_replica', retryAfterMs: NO_REPLICA_RETRY_MS }
  return startAllotment(context, request)
}
