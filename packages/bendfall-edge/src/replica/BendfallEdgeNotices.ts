/**
 * Hands what replicas say of themselves in the heads of answers to the update path,
 * whatever the call was.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { UpdateLoop } from 'bendfall-node'
import type { ReplicaNotice, RouterEffect, RouterEvent } from 'bendfall-router'
import type { AnswerHead, ReplicaDialect } from '../BendfallEdgeDialect.js'

/** Who is told. */
export interface NoticeOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly dialect: Pick<ReplicaDialect, 'readAnswerHead'>
  /** @returns whether a replica names a limit, so that an answer without one tells something */
  readonly hasLimit: (replicaId: string) => boolean
}

/** A call that was made to a replica. */
export interface NoticedCall {
  readonly replicaId: string
  readonly sentAtMs: number
}

/**
 * Tells what the head of an answer says of its replica, if it says anything.
 *
 * @param options - update path
 * @param call - that is answered
 * @param head - of its answer
 */
export function tellNotice ({ hasLimit, loop }: Pick<NoticeOptions, 'hasLimit' | 'loop'>, { replicaId, sentAtMs }: NoticedCall, { isWrongReplica, notice }: AnswerHead): void {
  if (isWrongReplica || !(saysAnything(notice) || hasLimit(replicaId))) return
  loop.dispatch({ type: 'replica_spoke', replicaId, notice, sentAtMs })
}

function saysAnything ({ backoffMs, isLeaving, limit, undecoded }: ReplicaNotice): boolean {
  return isLeaving || backoffMs !== undefined || undecoded !== undefined || (limit !== undefined && limit.type !== 'none')
}

/**
 * The same for the answer to a call of the router's own.
 *
 * @param options - update path and dialect
 * @param call - that is answered
 * @param answer - status and headers
 */
export function tellOwnNotice (options: NoticeOptions, call: NoticedCall, { headers, status }: { readonly status: number, readonly headers: IncomingHttpHeaders }): void {
  tellNotice(options, call, options.dialect.readAnswerHead(status, headers))
}
