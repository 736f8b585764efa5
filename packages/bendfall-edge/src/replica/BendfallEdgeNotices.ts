/**
 * Dispatches the status that replicas report about themselves in response headers (shutdown,
 * backoff, request limit) as events, regardless of the kind of call.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { UpdateLoop } from 'bendfall-node'
import type { ReplicaNotice, RouterEffect, RouterEvent } from 'bendfall-router'
import type { ResponseHead, ReplicaDialect } from '../BendfallEdgeDialect.js'

/** Dependencies for dispatching notices. */
export interface NoticeOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly dialect: Pick<ReplicaDialect, 'readAnswerHead'>
  /** @returns whether the replica has a known limit, so that a response without one is relevant too */
  readonly hasLimit: (replicaId: string) => boolean
}

/** Target and time of a call. */
export interface SentCall {
  readonly replicaId: string
  readonly sentAtMs: number
  /** Whether the response came from a process that has ended or stopped listening since. */
  readonly isFormerProcess?: boolean
}

/**
 * Dispatches the notice in the head of a response, if it contains one.
 *
 * @param options - event loop and check for known limits
 * @param call - call that the response belongs to
 * @param head - decoded head of the response
 */
export function dispatchNotice ({ hasLimit, loop }: Pick<NoticeOptions, 'hasLimit' | 'loop'>, { isFormerProcess, replicaId, sentAtMs }: SentCall, { isWrongReplica, notice }: ResponseHead): void {
  if (isWrongReplica || !(hasContent(notice) || hasLimit(replicaId))) return
  loop.dispatch({ type: 'replica_spoke', replicaId, notice, sentAtMs, isFormerProcess })
}

function hasContent ({ backoffMs, isLeaving, limit, undecoded }: ReplicaNotice): boolean {
  return isLeaving || backoffMs !== undefined || undecoded !== undefined || (limit !== undefined && limit.type !== 'none')
}

/**
 * Dispatches the notice in the response to a control call, if it contains one.
 *
 * @param options - event loop, response decoder and check for known limits
 * @param call - call that the response belongs to
 * @param response - status and headers of the response
 */
export function dispatchControlNotice (options: NoticeOptions, call: SentCall, { headers, status }: { readonly status: number, readonly headers: IncomingHttpHeaders }): void {
  dispatchNotice(options, call, options.dialect.readAnswerHead(status, headers))
}
