/**
 * Carries out the effects that send a request to a replica, and tells the
 * update path what came of them.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Teardown, UpdateLoop } from 'bendfall-node'
import { combineTeardowns } from 'bendfall-node'
import type { AnswerFraming } from 'bendfall-platform'
import type { RouterEffect, RouterEffectOf, RouterEvent, SendFailure } from 'bendfall-router'
import type { AnswerHead, RawHeaders, ReplicaDialect } from '../BendfallEdgeDialect.js'
import type { Exchange, HeldAnswer } from '../caller/BendfallEdgeExchange.js'
import { startIdentifiedCall } from './BendfallEdgeAnswerIdentity.js'
import type { IdentifiedListener } from './BendfallEdgeAnswerIdentity.js'
import type { ConnectionPool } from './BendfallEdgeConnections.js'
import { createEventSplitter } from './BendfallEdgeEventSplitter.js'
import { startIgnoredCall } from './BendfallEdgeOwnCall.js'
import type { ReplicaCall } from './BendfallEdgeReplicaCall.js'

/** Answers up to this size are held whole before the caller gets them, so that a broken one can be repeated. */
const HELD_ANSWER_BYTES = 262_144

/** Longest answer of a prefill that is read. */
const PREFILL_ANSWER_BYTES = 65_536

type Loop = UpdateLoop<RouterEvent, RouterEffect>
type SendRun = RouterEffectOf<'send_run'>

/** What sends need. */
export interface SendOptions {
  readonly loop: Loop
  readonly dialect: ReplicaDialect
  readonly exchanges: ReadonlyMap<string, Exchange>
  /** Connections to the replica at an address. */
  readonly poolOf: (address: string) => ConnectionPool
  /** Told of answers that are not what a replica should send. */
  readonly onGarbled: (requestId: string, detail: string) => void
  /** Told of answers whose end only their connection told: nothing else shows whether they are whole. */
  readonly onEndedWithConnection: (answer: UnframedAnswer) => void
}

/** An answer that has neither a length nor chunks. */
export interface UnframedAnswer {
  readonly requestId: string
  readonly address: string
  readonly status: number
  readonly bodyBytes: number
}

interface Send {
  readonly call: ReplicaCall
  readonly cancelTimeout: Teardown
  /** Ends the send as one that may have run. */
  readonly fail: () => void
  held?: HeldAnswer
}

/**
 * Registers the effects.
 *
 * @param options - update path, dialect, exchanges and connections
 * @returns teardown that aborts what is under way
 */
export function registerSends (options: SendOptions): Teardown {
  const { dialect, exchanges, loop, poolOf } = options
  const sends = new Map<string, Send>()

  function abort (key: string): void {
    const send = sends.get(key)
    sends.delete(key)
    send?.cancelTimeout()
    send?.call.abort()
  }

  function start (key: string, attempt: number, address: string, headers: RawHeaders, tryTimeoutMs: number | undefined, listener: IdentifiedListener): void {
    const exchange = exchanges.get(key)
    if (exchange === undefined) return
    abort(key)
    const { method = 'GET', url = '/' } = exchange.request
    const { forwardHeaders, requestId } = exchange.caller
    const request = { method, path: url, headers: [...forwardHeaders, ...headers], body: exchange.body, requestId }
    const cancelTimeout = scheduleTimeout(loop.clock, tryTimeoutMs, () => loop.dispatch({ type: 'try_timed_out', key, attempt }))
    const call = startIdentifiedCall(options, poolOf(address), request, listener)
    sends.set(key, { call, cancelTimeout, fail: () => listener.onFail(new Error('the process of the replica ended'), true) })
  }

  function sendRun (effect: SendRun): void {
    const exchange = exchanges.get(effect.key)
    if (exchange === undefined) return
    start(effect.key, effect.attempt, effect.address, dialect.runHeaders(effect), effect.tryTimeoutMs, createRunListener(options, effect, exchange, sends))
  }

  function sendPrefill (effect: RouterEffectOf<'send_prefill'>): void {
    const { attempt, key } = effect
    const listener = createPrefillListener(dialect, (result) => {
      sends.get(key)?.cancelTimeout()
      loop.dispatch({ type: 'prefill_answered', key, attempt, outcome: result })
    })
    start(key, attempt, effect.address, dialect.prefillHeaders(effect), effect.tryTimeoutMs, listener)
  }

  return combineTeardowns([
    () => { for (const key of [...sends.keys()]) abort(key) },
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
    loop.registerEffect('free_handle', ({ address, handle }) => startIgnoredCall(poolOf(address), dialect.freeHandle(handle), loop.clock)),
    loop.registerEffect('forget', ({ key }) => {
      sends.get(key)?.cancelTimeout()
      sends.delete(key)
    })
  ])
}

function scheduleTimeout (clock: Clock, inMs: number | undefined, callback: () => void): Teardown {
  return inMs === undefined ? () => {} : clock.callAt(clock.nowMs() + inMs, callback)
}

function createRunListener (options: SendOptions, effect: SendRun, exchange: Exchange, sends: Map<string, Send>): IdentifiedListener {
  const { attempt, key } = effect
  const { loop } = options
  const splitter = createEventSplitter()
  const chunks: Buffer[] = []
  let heldBytes = 0
  let bodyBytes = 0
  let status = 0
  let headers: IncomingHttpHeaders = {}
  let isRelaying = false
  let lastEventId: string | undefined
  let outputEvents = 0
  let isOver = false
  let relayedAtMs: number | undefined
  let longestGapMs = 0

  function fail (failure: SendFailure): void {
    if (isOver) return
    isOver = true
    const send = sends.get(key)
    send?.cancelTimeout()
    send?.call.abort()
    loop.dispatch({ type: 'run_failed', key, attempt, failure, lastEventId })
  }

  function judge (head: AnswerHead): void {
    if (head.isWrongReplica) return fail('wrong_replica')
    if (head.isNotRun) return fail('not_run')
    const garbled = describeUnvouched(status, head)
    if (garbled === undefined) return
    options.onGarbled(exchange.caller.requestId, garbled)
    fail('unknown')
  }

  function startRelay (): void {
    isRelaying = true
    sends.get(key)?.cancelTimeout()
    exchange.start(status, isEventStream() ? withoutLength(headers) : headers)
    loop.dispatch({ type: 'answer_started', key, attempt })
  }

  function relay (bytes: Buffer): void {
    if (bytes.length === 0) return
    if (!isRelaying) startRelay()
    const call = sends.get(key)?.call
    if (!exchange.write(bytes, () => call?.resume())) call?.pause()
  }

  function relayEvents (chunk: Buffer): void {
    const events = splitter.take(chunk)
    lastEventId = events.lastEventId ?? lastEventId
    outputEvents = events.count
    const nowMs = loop.clock.nowMs()
    if (relayedAtMs !== undefined) longestGapMs = Math.max(longestGapMs, nowMs - relayedAtMs)
    relayedAtMs = nowMs
    relay(events.bytes)
  }

  // Whether a stream that only its connection ended was broken off. An orderly end of a
  // connection vouches for nothing: the kernel closes so what a replica that dies has open.
  // Behind a whole event nobody can tell; within one, or before the first, it is no answer,
  // and a last chunk of ours would vouch for it.
  function isBrokenOff (framing: AnswerFraming): boolean {
    if (!isEventStream() || framing !== 'connection') return false
    if (hasBegun() && !exchange.endsWithConnection()) return true
    return splitter.isWithinEvent() || (outputEvents === 0 && effect.lastEventId === undefined)
  }

  function hasBegun (): boolean {
    return exchange.response.headersSent
  }

  function breakOff (): void {
    options.onGarbled(exchange.caller.requestId, `stream broken off ${splitter.tail().length} bytes behind its last whole event`)
    fail('unknown')
  }

  function isEventStream (): boolean {
    return effect.isStream && status < 300
  }

  function hold (chunk: Buffer): void {
    chunks.push(chunk)
    heldBytes += chunk.length
    if (heldBytes <= HELD_ANSWER_BYTES) return
    relay(Buffer.concat(chunks))
    chunks.length = 0
  }

  return {
    onHead: (answeredStatus, answeredHeaders, head) => {
      status = answeredStatus
      headers = answeredHeaders
      judge(head)
      // Its body would be written into the stream that it was to go on with.
      if (hasBegun() && !isEventStream()) fail('unknown')
    },
    onChunk: (chunk) => {
      if (isOver) return
      bodyBytes += chunk.length
      if (isEventStream()) relayEvents(chunk)
      else if (isRelaying) relay(chunk)
      else hold(chunk)
    },
    onEnd: (framing) => {
      if (isOver) return
      if (isBrokenOff(framing)) return breakOff()
      isOver = true
      // Bytes that no empty line closed are the replica's as well.
      relay(splitter.tail())
      if (framing === 'connection') options.onEndedWithConnection({ requestId: exchange.caller.requestId, address: effect.address, status, bodyBytes })
      const send = sends.get(key)
      send?.cancelTimeout()
      // A run that goes on where another stopped may have nothing left to send.
      if (!hasBegun() && send !== undefined) send.held = { status, headers, body: Buffer.concat(chunks) }
      loop.dispatch({ type: 'answer_complete', key, attempt, status, outputEvents, longestGapMs: Math.round(longestGapMs) })
    },
    onFail: (_, isSent) => fail(isSent ? 'unknown' : 'not_sent')
  }
}

// The run of another replica may go on with this stream, so its length is not known.
function withoutLength ({ 'content-length': length, ...headers }: IncomingHttpHeaders): IncomingHttpHeaders {
  return length === undefined ? headers : { ...headers, 'transfer-encoding': 'chunked' }
}

// An answer that no replica vouches for must not reach the caller.
function describeUnvouched (status: number, head: AnswerHead): string | undefined {
  if (status < 300 && !head.isSigned) return 'answer without a signature'
  // These statuses promise that the request has not run, which only the replica can know.
  if (status === 408 || status === 429 || status === 503) return `status ${status} that does not say whether the request ran`
  return undefined
}

type PrefillResult = RouterEvent extends infer E ? E extends { readonly type: 'prefill_answered', readonly outcome: infer O } ? O : never : never

function createPrefillListener (dialect: ReplicaDialect, onResult: (result: PrefillResult) => void): IdentifiedListener {
  const chunks: Buffer[] = []
  let bytes = 0
  let status = 0
  let head: AnswerHead | undefined
  return {
    onHead: (answered, _, answeredHead) => {
      status = answered
      head = answeredHead
    },
    onChunk: (chunk) => {
      bytes += chunk.length
      if (bytes <= PREFILL_ANSWER_BYTES) chunks.push(chunk)
    },
    onEnd: () => {
      if (status === 200) {
        const handle = dialect.readPrefillResult(Buffer.concat(chunks))
        onResult(handle.isOk() ? { type: 'read', handle: handle.value } : { type: 'failed', failure: 'unknown' })
      } else {
        onResult({ type: 'failed', failure: head?.isWrongReplica === true ? 'wrong_replica' : head?.isNotRun === true ? 'not_run' : 'unknown' })
      }
    },
    onFail: (_, isSent) => onResult({ type: 'failed', failure: isSent ? 'unknown' : 'not_sent' })
  }
}
