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
}

/**
 * Tells what the head of an answer says of its replica, if it says anything.
 *
 * @param options - update path
 * @param replicaId - of the replica that was called
 * @param head - of its answer
 */
export function tellNotice ({ loop }: Pick<NoticeOptions, 'loop'>, replicaId: string, { isWrongReplica, notice }: AnswerHead): void {
  if (isWrongReplica || !saysAnything(notice)) return
  loop.dispatch({ type: 'replica_spoke', replicaId, notice })
}

function saysAnything ({ backoffMs, isLeaving, undecoded }: ReplicaNotice): boolean {
  return isLeaving || backoffMs !== undefined || undecoded !== undefined
}

/**
 * The same for the answer to a call of the router's own.
 *
 * @param options - update path and dialect
 * @param replicaId - of the replica that was called
 * @param answer - status and headers
 */
export function tellOwnNotice (options: NoticeOptions, replicaId: string, { headers, status }: { readonly status: number, readonly headers: IncomingHttpHeaders }): void {
  tellNotice(options, replicaId, options.dialect.readAnswerHead(status, headers))
}
