/**
 * Binds each stream to the software of the replica that makes its first event, on which alone it may continue: on a
 * retry within this process, and when its caller resumes it.
 *
 * @module
 */
import { recordOrigin, UNKNOWN_SOFTWARE } from '../streams/BendfallRouterStreamOrigins.js'
import type { SoftwareDigest } from '../streams/BendfallRouterStreamOrigins.js'
import { isAtSuccessor } from './BendfallRouterAnsweringProcess.js'
import type { RouterContext } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'

/**
 * Binds a stream to the software of the replica that makes its first event, and has other processes
 * remember it.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose first event is about to reach the caller
 */
export function bindSoftware (context: RouterContext, request: RequestState): void {
  const { route, runReplicaId } = request
  if (route.kind !== 'streaming' || request.sentSoftware === undefined) return
  const view = context.state.replicas.get(runReplicaId ?? '')
  if (view !== undefined && isAtSuccessor(request, view)) request.sentSoftware = UNKNOWN_SOFTWARE
  request.requiredSoftware ??= request.sentSoftware
  publishOrigin(context, request, request.requiredSoftware)
}

/**
 * Records the software of a process that a request was sent to before the process registered, and binds the stream to
 * it that has begun there.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose last send is at that process
 * @param software - registered software of the process
 */
export function bindRegisteredSoftware (context: RouterContext, request: RequestState, software: SoftwareDigest): void {
  if (request.sentSoftware !== UNKNOWN_SOFTWARE) return
  request.sentSoftware = software
  if (request.requiredSoftware !== UNKNOWN_SOFTWARE) return
  request.requiredSoftware = software
  publishOrigin(context, request, software)
}

/**
 * Unbinds a stream of which it isn't known any more which software began it, so that it goes on nowhere else.
 *
 * @param context - state, time and effects of the current event
 * @param request - request whose first event has reached the caller
 */
export function unbindSoftware (context: RouterContext, request: RequestState): void {
  request.requiredSoftware = UNKNOWN_SOFTWARE
  publishOrigin(context, request, UNKNOWN_SOFTWARE)
}

function publishOrigin ({ effects, nowMs, state }: RouterContext, { requestId, resumedRequestId, route }: RequestState, software: SoftwareDigest): void {
  if (!route.isResumable) return
  const firstRequestId = resumedRequestId ?? requestId
  recordOrigin(state.origins, firstRequestId, software, nowMs)
  effects.push({ type: 'record_origin', requestId: firstRequestId, software })
}
