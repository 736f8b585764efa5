/**
 * Takes the answer of a replica that runs a request, and passes on or holds what came.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { UpdateLoop } from 'bendfall-node'
import type { AnswerFraming } from 'bendfall-platform'
import type { RouterEffect, RouterEffectOf, RouterEvent, SendFailure } from 'bendfall-router'
import type { AnswerHead } from '../BendfallEdgeDialect.js'
import type { Exchange, HeldAnswer } from '../caller/BendfallEdgeExchange.js'
import type { IdentifiedListener } from './BendfallEdgeAnswerIdentity.js'
import { failureOf } from './BendfallEdgeCallFailure.js'
import { createEventSplitter } from './BendfallEdgeEventSplitter.js'

/** Answers up to this size are held whole before the caller gets them, so that a broken one can be repeated. */
const HELD_ANSWER_BYTES = 262_144

/** An answer that has neither a length nor chunks. */
export interface UnframedAnswer {
  readonly requestId: string
  readonly address: string
  readonly status: number
  readonly bodyBytes: number
}

/** What a run needs of its send. */
export interface RunOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  /** Told of answers that are not what a replica should send. */
  readonly onGarbled: (requestId: string, detail: string) => void
  /** Told of answers whose end only their connection told: nothing else shows whether they are whole. */
  readonly onEndedWithConnection: (answer: UnframedAnswer) => void
  /** The send as it is now; absent once it was given up. */
  readonly send: () => RunSend | undefined
}

/** The send of a run. */
export interface RunSend {
  readonly call: { readonly abort: () => void, readonly pause: () => void, readonly resume: () => void }
  readonly cancelTimeout: () => void
  held?: HeldAnswer
}

/**
 * Makes the listener of one run.
 *
 * @param options - update path, the send, and who is told of odd answers
 * @param effect - the send that was asked for
 * @param exchange - with the caller
 * @returns the listener
 */
export function createRunListener (options: RunOptions, effect: RouterEffectOf<'send_run'>, exchange: Exchange): IdentifiedListener {
  const listener = new RunListener(options, effect, exchange)
  return {
    onHead: (status, headers, head) => listener.takeHead(status, headers, head),
    onChunk: (chunk) => listener.takeChunk(chunk),
    onEnd: (framing) => listener.takeEnd(framing),
    onFail: (error, isSent) => listener.fail(failureOf(error, isSent))
  }
}

class RunListener {
  private readonly splitter = createEventSplitter()
  private readonly chunks: Buffer[] = []
  private heldBytes = 0
  private bodyBytes = 0
  private status = 0
  private headers: IncomingHttpHeaders = {}
  private isRelaying = false
  private lastEventId: string | undefined
  private outputEvents = 0
  private isOver = false
  private relayedAtMs: number | undefined
  private longestGapMs = 0

  constructor (private readonly options: RunOptions, private readonly effect: RouterEffectOf<'send_run'>, private readonly exchange: Exchange) {}

  takeHead (status: number, headers: IncomingHttpHeaders, head: AnswerHead): void {
    this.status = status
    this.headers = headers
    this.judge(head)
    // Its body would be written into the stream that it was to go on with.
    if (this.hasBegun() && !this.isEventStream()) this.fail('unknown')
  }

  takeChunk (chunk: Buffer): void {
    if (this.isOver) return
    this.bodyBytes += chunk.length
    if (this.isEventStream()) this.relayEvents(chunk)
    else if (this.isRelaying) this.relay(chunk)
    else this.hold(chunk)
  }

  takeEnd (framing: AnswerFraming): void {
    if (this.isOver) return
    if (this.isBrokenOff(framing)) return this.breakOff()
    this.isOver = true
    // Bytes that no empty line closed are the replica's as well.
    this.relay(this.splitter.tail())
    if (framing === 'connection') this.tellUnframed()
    const send = this.options.send()
    send?.cancelTimeout()
    // A run that goes on where another stopped may have nothing left to send.
    if (!this.hasBegun() && send !== undefined) send.held = { status: this.status, headers: this.headers, body: Buffer.concat(this.chunks) }
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'answer_complete', key, attempt, status: this.status, outputEvents: this.outputEvents, longestGapMs: Math.round(this.longestGapMs) })
  }

  fail (failure: SendFailure): void {
    if (this.isOver) return
    this.isOver = true
    const send = this.options.send()
    send?.cancelTimeout()
    send?.call.abort()
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'run_failed', key, attempt, failure, lastEventId: this.lastEventId })
  }

  private judge (head: AnswerHead): void {
    if (head.isWrongReplica) return this.fail('wrong_replica')
    if (head.isNotRun) return this.fail('not_run')
    const garbled = describeUnvouched(this.status, head)
    if (garbled === undefined) return
    this.options.onGarbled(this.exchange.caller.requestId, garbled)
    this.fail('unknown')
  }

  private startRelay (): void {
    this.isRelaying = true
    this.options.send()?.cancelTimeout()
    this.exchange.start(this.status, this.isEventStream() ? withoutLength(this.headers) : this.headers)
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'answer_started', key, attempt })
  }

  private relay (bytes: Buffer): void {
    if (bytes.length === 0) return
    if (!this.isRelaying) this.startRelay()
    const call = this.options.send()?.call
    if (!this.exchange.write(bytes, () => call?.resume())) call?.pause()
  }

  private relayEvents (chunk: Buffer): void {
    const events = this.splitter.take(chunk)
    this.lastEventId = events.lastEventId ?? this.lastEventId
    this.outputEvents = events.count
    const nowMs = this.options.loop.clock.nowMs()
    if (this.relayedAtMs !== undefined) this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.relayedAtMs)
    this.relayedAtMs = nowMs
    this.relay(events.bytes)
  }

  private hold (chunk: Buffer): void {
    this.chunks.push(chunk)
    this.heldBytes += chunk.length
    if (this.heldBytes <= HELD_ANSWER_BYTES) return
    this.relay(Buffer.concat(this.chunks))
    this.chunks.length = 0
  }

  // Whether a stream that only its connection ended was broken off. An orderly end of a
  // connection vouches for nothing: the kernel closes so what a replica that dies has open.
  // Behind a whole event nobody can tell; within one, or before the first, it is no answer,
  // and a last chunk of ours would vouch for it.
  private isBrokenOff (framing: AnswerFraming): boolean {
    if (!this.isEventStream() || framing !== 'connection') return false
    if (this.hasBegun() && !this.exchange.endsWithConnection()) return true
    return this.splitter.isWithinEvent() || (this.outputEvents === 0 && this.effect.lastEventId === undefined)
  }

  private breakOff (): void {
    this.options.onGarbled(this.exchange.caller.requestId, `stream broken off ${this.splitter.tail().length} bytes behind its last whole event`)
    this.fail('connection_lost')
  }

  private tellUnframed (): void {
    this.options.onEndedWithConnection({ requestId: this.exchange.caller.requestId, address: this.effect.address, status: this.status, bodyBytes: this.bodyBytes })
  }

  private hasBegun (): boolean {
    return this.exchange.response.headersSent
  }

  private isEventStream (): boolean {
    return this.effect.isStream && this.status < 300
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
