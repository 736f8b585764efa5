/**
 * Executes the effects that reserve memory at a replica (a hold) and release it.
 *
 * @module
 */
import type { Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { HoldOutcome, RouterEffect, RouterEffectOf, RouterEvent } from 'bendfall-router'
import type { ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { SendGate } from '../caller/BendfallEdgeSendGate.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { dispatchControlNotice } from './BendfallEdgeNotices.js'
import { startBestEffortCall, startControlCall } from './BendfallEdgeControlCall.js'

/** Dependencies of the effects. */
export interface HoldOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly dialect: ReplicaDialect
  /** Returns the connection pool of the replica at an address. */
  readonly poolOf: (address: string) => ConnectionPool
  /** @returns whether the replica has a known request limit */
  readonly hasLimit: (replicaId: string) => boolean
  /** Withholds holds for requests whose callers have left. */
  readonly gate: SendGate
}

/**
 * Registers the effects `take_hold` and `drop_hold`.
 *
 * @param options - event loop, platform adapter and connections
 * @returns teardown
 */
export function registerHolds (options: HoldOptions): Teardown {
  const { dialect, gate, loop, poolOf } = options

  function takeHold (effect: RouterEffectOf<'take_hold'>): void {
    const sentAtMs = loop.clock.nowMs()
    startControlCall(poolOf(effect.address), dialect.takeHold(effect), { clock: loop.clock, timeoutMs: effect.timeoutMs }, (answer) => {
      if (answer.type === 'answered') dispatchControlNotice(options, { replicaId: effect.replicaId, sentAtMs, isFormerProcess: answer.isFormerProcess }, answer)
      const outcome: HoldOutcome = answer.type === 'answered' ? dialect.readHoldAnswer(answer.status, answer.body) : { type: 'unanswered' }
      loop.dispatch({ type: 'hold_answered', key: effect.key, attempt: effect.attempt, outcome })
    })
  }

  return combineTeardowns([
    loop.registerEffect('take_hold', (effect) => gate.pass(effect.key, () => takeHold(effect))),
    loop.registerEffect('drop_hold', ({ address, holdId }) => startBestEffortCall(poolOf(address), dialect.dropHold(holdId), loop.clock))
  ])
}
