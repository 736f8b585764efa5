/**
 * Carries out the effects that hold memory at a replica and give it back.
 *
 * @module
 */
import type { Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { HoldOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startReplicaCall } from './BendfallEdgeReplicaCall.js'
import type { ReplicaCallListener } from './BendfallEdgeReplicaCall.js'

/** Longest answer that is read. */
const ANSWER_BYTES = 4_096

// A hold that is not given back lapses soon.
const IGNORE_ANSWER: ReplicaCallListener = { onHead: () => {}, onChunk: () => {}, onEnd: () => {}, onFail: () => {} }

/** What holds need. */
export interface HoldOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly dialect: ReplicaDialect
  /** Connections to the replica at an address. */
  readonly poolOf: (address: string) => ConnectionPool
}

/**
 * Registers the effects `take_hold` and `drop_hold`.
 *
 * @param options - update path, dialect and connections
 * @returns teardown
 */
export function registerHolds (options: HoldOptions): Teardown {
  const { dialect, loop, poolOf } = options

  function take (effect: RouterEffectOf<'take_hold'>): void {
    const chunks: Buffer[] = []
    let bytes = 0
    let status = 0
    let isOver = false
    const call = startReplicaCall(poolOf(effect.address), dialect.takeHold(effect), {
      onHead: (answered) => { status = answered },
      onChunk: (chunk) => {
        bytes += chunk.length
        if (bytes <= ANSWER_BYTES) chunks.push(chunk)
      },
      onEnd: () => finish(dialect.readHoldAnswer(status, Buffer.concat(chunks))),
      onFail: () => finish({ type: 'unanswered' })
    })
    const cancel = loop.clock.callAt(loop.clock.nowMs() + effect.timeoutMs, () => {
      call.abort()
      finish({ type: 'unanswered' })
    })
    function finish (outcome: HoldOutcome): void {
      if (isOver) return
      isOver = true
      cancel()
      loop.dispatch({ type: 'hold_answered', key: effect.key, attempt: effect.attempt, outcome })
    }
  }

  return combineTeardowns([
    loop.registerEffect('take_hold', take),
    loop.registerEffect('drop_hold', ({ address, holdId }) => {
      startReplicaCall(poolOf(address), { ...dialect.dropHold(holdId), headers: [] }, IGNORE_ANSWER)
    })
  ])
}
