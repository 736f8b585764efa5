/**
 * Executes the effects that send a caller's request to a replica, and dispatches their outcomes as
 * events.
 *
 * @module
 */
import type { Teardown } from 'bendfall-node'
import { combineTeardowns, scheduleTimeout } from 'bendfall-node'
import type { RouterEffectOf } from 'bendfall-router'
import type { RawHeaders, ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { Exchange } from '../caller/BendfallEdgeExchange.js'
import type { SendGate } from '../caller/BendfallEdgeSendGate.js'
import { startIdentifiedCall } from './BendfallEdgeIdentifiedCall.js'
import type { IdentifiedListener } from './BendfallEdgeIdentifiedCall.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { startBestEffortCall } from './BendfallEdgeControlCall.js'
import { dispatchNotice } from './BendfallEdgeNotices.js'
import { createPrefillListener } from './BendfallEdgePrefillListener.js'
import type { ReplicaCall } from './BendfallEdgeReplicaCall.js'
import { ConnectionResetError } from './BendfallEdgeReplicaSocket.js'
import { createRunListener } from './BendfallEdgeRunListener.js'
import type { RunOptions, RunSend } from './BendfallEdgeRunListener.js'

/** Dependencies of the effects. */
export interface SendOptions extends Omit<RunOptions, 'checkReplica' | 'send'> {
  readonly dialect: ReplicaDialect
  readonly exchanges: ReadonlyMap<string, Exchange>
  /** Returns the connection pool of the replica at an address. */
  readonly poolOf: (address: string) => ConnectionPool
  /** @returns whether the replica has a known request limit */
  readonly hasLimit: (replicaId: string) => boolean
  /** Withholds sends whose callers have left. */
  readonly gate: SendGate
}

/** An effect that sends a caller's request. */
type SendEffect = RouterEffectOf<'send_run'> | RouterEffectOf<'send_prefill'>

interface Send extends RunSend {
  readonly call: ReplicaCall
  readonly cancelTimeout: Teardown
  /** Fails the send as one that may have been executed. */
  readonly fail: () => void
}

/**
 * Registers the effects.
 *
 * @param options - event loop, platform adapter, exchanges and connections
 * @returns teardown that aborts all sends in progress
 */
export function registerSends (options: SendOptions): Teardown {
  const { dialect, exchanges, gate, loop, poolOf } = options
  const sends = new Map<string, Send>()

  function abort (key: string): void {
    gate.cancel(key)
    const send = sends.get(key)
    sends.delete(key)
    send?.cancelTimeout()
    send?.call.abort()
  }

  function start (effect: SendEffect, headersFor: (deadlineMs: number) => RawHeaders, listener: IdentifiedListener): void {
    const { deadlineMs, key } = effect
    abort(key)
    gate.pass(key, (deferredMs) => {
      if (deferredMs === 0 || deferredMs < deadlineMs) startNow(effect, headersFor(deadlineMs - deferredMs), listener)
      // The timer of the deadline is due, but later in this turn of the event loop.
      else loop.dispatch({ type: 'deadline_passed', key })
    })
  }

  function startNow ({ address, attempt, key, replicaId, tryTimeoutMs }: SendEffect, headers: RawHeaders, listener: IdentifiedListener): void {
    const exchange = exchanges.get(key)
    if (exchange === undefined) return
    const { method = 'GET', url = '/' } = exchange.request
    const { forwardHeaders, requestId } = exchange.caller
    const request = { method, path: url, headers: [...forwardHeaders, ...headers], body: exchange.body, requestId }
    const handleTimeout = (): void => loop.dispatch({ type: 'try_timed_out', key, attempt })
    const cancelTimeout = tryTimeoutMs === undefined ? () => {} : scheduleTimeout(loop.clock, tryTimeoutMs, handleTimeout)
    const sentAtMs = loop.clock.nowMs()
    const call = startIdentifiedCall(options, poolOf(address), request, {
      ...listener,
      onHead: (status, answerHeaders, head) => {
        // Must precede the failure that the head may cause, so that the retry avoids this replica.
        dispatchNotice(options, { replicaId, sentAtMs, isFormerProcess: !call.isCurrent() }, head)
        listener.onHead(status, answerHeaders, head)
      }
    })
    sends.set(key, { call, cancelTimeout, fail: () => listener.onFail(new ConnectionResetError('replica process terminated'), true) })
  }

  function sendRun (effect: RouterEffectOf<'send_run'>): void {
    const exchange = exchanges.get(effect.key)
    if (exchange === undefined) return
    start(effect, (deadlineMs) => dialect.runHeaders({ ...effect, deadlineMs }), createRunListener({ ...options, checkReplica: poolOf(effect.address).check, send: () => sends.get(effect.key) }, effect, exchange))
  }

  function sendPrefill (effect: RouterEffectOf<'send_prefill'>): void {
    const { attempt, key } = effect
    const listener = createPrefillListener(dialect, (outcome) => {
      sends.get(key)?.cancelTimeout()
      loop.dispatch({ type: 'prefill_answered', key, attempt, outcome })
    }, () => sends.get(key)?.call.abort())
    start(effect, (deadlineMs) => dialect.prefillHeaders({ ...effect, deadlineMs }), listener)
  }

  return combineTeardowns([
    () => { for (const key of [...sends.keys()]) abort(key) },
    gate.close,
    loop.registerEffect('send_run', sendRun),
    loop.registerEffect('send_prefill', sendPrefill),
    loop.registerEffect('fail_send', ({ key }) => {
      const send = sends.get(key)
      send?.call.abort()
      send?.fail()
    }),
    loop.registerEffect('abort_send', ({ key }) => abort(key)),
    loop.registerEffect('deliver', ({ key }) => {
      const held = sends.get(key)?.held
      if (held === undefined) exchanges.get(key)?.end()
      else exchanges.get(key)?.deliver(held)
    }),
    loop.registerEffect('free_handle', ({ address, handle }) => startBestEffortCall(poolOf(address), dialect.freeHandle(handle), loop.clock)),
    loop.registerEffect('forget', ({ key }) => {
      gate.cancel(key)
      sends.get(key)?.cancelTimeout()
      sends.delete(key)
    })
  ])
}
