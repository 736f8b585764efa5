/**
 * Receives the response of a replica that executes a request. Relays event streams and large
 * responses to the caller, and buffers small responses so that a failed one can be retried.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { UpdateLoop } from 'bendfall-node'
import { createByteCollector } from 'bendfall-platform'
import type { ResponseFraming } from 'bendfall-platform'
import type { ProcessCheck, RouterEffect, RouterEffectOf, RouterEvent, SendFailure } from 'bendfall-router'
import type { ResponseHead } from '../BendfallEdgeDialect.js'
import type { Exchange, BufferedResponse, ReplicaBuffer } from '../caller/BendfallEdgeExchange.js'
import type { IdentifiedListener } from './BendfallEdgeIdentifiedCall.js'
import { failureOf } from './BendfallEdgeCallFailure.js'
import { createEventSplitter } from './BendfallEdgeEventSplitter.js'

/** Responses up to this size are buffered before they are sent to the caller, so that a failed one can be retried. */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144

/** Size limit of an event, of which nothing is forwarded before it is complete. */
const MAX_EVENT_BYTES = 262_144

/** Response with neither a length nor chunked coding. */
export interface CloseDelimitedResponse {
  readonly requestId: string
  readonly address: string
  readonly status: number
  readonly bodyBytes: number
}

/** Dependencies of the listener. */
export interface RunOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  /** Called for responses that are not valid responses of a replica. */
  readonly onInvalidResponse: (requestId: string, detail: string) => void
  /** Called for close-delimited responses, since nothing else indicates whether they are complete. */
  readonly onCloseDelimitedResponse: (response: CloseDelimitedResponse) => void
  /** @returns whether the replica is expected to exit once it has responded */
  readonly isExiting: (replicaId: string) => boolean
  /** Checks whether a process accepts connections at the replica's address. */
  readonly checkReplica: (onOutcome: (outcome: ProcessCheck) => void) => void
  /** Returns the current send; undefined once it has been aborted. */
  readonly send: () => RunSend | undefined
}

/** State of a request sent for execution. */
export interface RunSend {
  readonly call: { readonly abort: () => void, readonly pause: () => void, readonly resume: () => void, readonly unreadBytes?: () => number, readonly isCurrent?: () => boolean }
  readonly cancelTimeout: () => void
  /** Complete response, buffered until its delivery to the caller. */
  held?: BufferedResponse
}

/**
 * Creates the listener of one execution of a request.
 *
 * @param options - event loop, current send and callbacks for unusual responses
 * @param effect - effect that caused the send
 * @param exchange - exchange with the caller
 * @returns the listener
 */
export function createRunListener (options: RunOptions, effect: RouterEffectOf<'send_run'>, exchange: Exchange): IdentifiedListener {
  const listener = new RunListener(options, effect, exchange)
  exchange.replicaBuffer = () => listener.buffer()
  return {
    onHead: (status, headers, head) => listener.handleHead(status, headers, head),
    onChunk: (chunk) => listener.handleChunk(chunk),
    onEnd: (framing) => listener.handleEnd(framing),
    onFail: (error, isSent) => listener.fail(failureOf(error, isSent))
  }
}

class RunListener {
  private readonly splitter = createEventSplitter()
  private readonly held = createByteCollector()
  private bodyBytes = 0
  private status = 0
  private headers: IncomingHttpHeaders = {}
  private isRelaying = false
  private lastEventId: string | undefined
  private outputEvents = 0
  private isOver = false
  private lastRelayedAtMs: number | undefined
  private longestGapMs = 0

  constructor (private readonly options: RunOptions, private readonly effect: RouterEffectOf<'send_run'>, private readonly exchange: Exchange) {}

  buffer (): ReplicaBuffer {
    const isPassedOn = this.isRelaying || this.hasResponseStarted()
    return { heldBytes: (isPassedOn ? 0 : this.held.length()) + this.splitter.tail().length, readAheadBytes: this.isOver ? 0 : this.options.send()?.call.unreadBytes?.() ?? 0 }
  }

  handleHead (status: number, headers: IncomingHttpHeaders, head: ResponseHead): void {
    this.status = status
    this.headers = headers
    this.checkHead(head)
    // The body would be written into the event stream that it was supposed to resume.
    if (this.hasResponseStarted() && !this.isEventStream()) this.fail('unknown')
  }

  handleChunk (chunk: Buffer): void {
    if (this.isOver) return
    this.bodyBytes += chunk.length
    if (this.isEventStream()) this.relayEvents(chunk)
    else if (this.isRelaying) this.relay(chunk)
    else this.hold(chunk)
  }

  handleEnd (framing: ResponseFraming): void {
    if (this.isOver) return
    if (this.isTruncated(framing)) return this.failTruncated()
    if (framing === 'connection') this.verifyEnd()
    else this.complete(framing)
  }

  // A killed replica closes its connections gracefully, too. The length or last chunk that the caller gets
  // would then present a truncated response as complete, unless the process is seen to have survived it.
  private verifyEnd (): void {
    const send = this.options.send()
    if (this.options.isExiting(this.effect.replicaId)) return this.complete('connection')
    this.options.checkReplica((outcome) => {
      // The send may have been aborted or failed in the meantime.
      if (this.isOver || this.options.send() !== send) return
      if (outcome === 'alive') return this.complete('connection')
      this.options.onInvalidResponse(this.exchange.caller.requestId, 'close-delimited response of a process that has ended')
      this.fail('connection_lost')
    })
  }

  private complete (framing: ResponseFraming): void {
    this.isOver = true
    // Bytes after the last empty line are part of the replica's response, too.
    this.relay(this.splitter.tail())
    if (framing === 'connection') this.reportCloseDelimited()
    const send = this.options.send()
    send?.cancelTimeout()
    // A run that resumes an interrupted response may have nothing left to send.
    if (!this.hasResponseStarted() && send !== undefined) send.held = { status: this.status, headers: this.headers, body: this.held.take() }
    // The listener lives as long as the exchange, which a slow caller keeps open.
    this.held.take()
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'answer_complete', key, attempt, status: this.status, outputEvents: this.outputEvents, longestGapMs: Math.round(this.longestGapMs), isCloseDelimited: framing === 'connection' })
  }

  fail (failure: SendFailure): void {
    if (this.isOver) return
    this.isOver = true
    // The listener lives as long as the exchange, which may wait for another replica.
    this.held.take()
    const send = this.options.send()
    send?.cancelTimeout()
    send?.call.abort()
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'run_failed', key, attempt, failure, lastEventId: this.lastEventId })
  }

  private checkHead (head: ResponseHead): void {
    if (head.isWrongReplica) return this.fail('wrong_replica')
    if (head.isNotRun) return this.fail('not_run')
    const violation = describeUnverified(this.status, head)
    if (violation === undefined) return
    this.options.onInvalidResponse(this.exchange.caller.requestId, violation)
    this.fail('unknown')
  }

  private startRelay (): void {
    this.isRelaying = true
    this.options.send()?.cancelTimeout()
    this.exchange.start(this.status, this.isEventStream() ? removeContentLength(this.headers) : this.headers)
    const { attempt, key } = this.effect
    this.options.loop.dispatch({ type: 'answer_started', key, attempt, isFormerProcess: this.options.send()?.call.isCurrent?.() === false })
  }

  private relay (bytes: Buffer): void {
    if (bytes.length === 0) return
    if (!this.isRelaying) this.startRelay()
    const call = this.options.send()?.call
    if (!this.exchange.write(bytes, () => call?.resume())) call?.pause()
  }

  private relayEvents (chunk: Buffer): void {
    const events = this.splitter.push(chunk)
    if (this.splitter.tail().length > MAX_EVENT_BYTES) return this.failOversized()
    this.lastEventId = events.lastEventId ?? this.lastEventId
    this.outputEvents = events.count
    const nowMs = this.options.loop.clock.nowMs()
    if (this.lastRelayedAtMs !== undefined) this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastRelayedAtMs)
    this.lastRelayedAtMs = nowMs
    this.relay(events.bytes)
  }

  private hold (chunk: Buffer): void {
    this.held.append(chunk)
    if (this.held.length() > MAX_BUFFERED_RESPONSE_BYTES) this.relay(this.held.take())
  }

  // Returns whether a close-delimited event stream was truncated: within an event, or before the first
  // one. A graceful close after a complete event is the end, if the process survives it.
  private isTruncated (framing: ResponseFraming): boolean {
    if (!this.isEventStream() || framing !== 'connection') return false
    return this.splitter.isWithinEvent() || (this.outputEvents === 0 && this.effect.lastEventId === undefined)
  }

  private failOversized (): void {
    this.options.onInvalidResponse(this.exchange.caller.requestId, `event without an end within ${MAX_EVENT_BYTES} bytes`)
    this.fail('unknown')
  }

  private failTruncated (): void {
    this.options.onInvalidResponse(this.exchange.caller.requestId, `stream broken off ${this.splitter.tail().length} bytes behind its last whole event`)
    this.fail('connection_lost')
  }

  private reportCloseDelimited (): void {
    this.options.onCloseDelimitedResponse({ requestId: this.exchange.caller.requestId, address: this.effect.address, status: this.status, bodyBytes: this.bodyBytes })
  }

  private hasResponseStarted (): boolean {
    return this.exchange.response.headersSent
  }

  private isEventStream (): boolean {
    return this.effect.isStream && this.status < 300
  }
}

// Another replica may resume this stream, so its total length is unknown.
function removeContentLength ({ 'content-length': length, ...headers }: IncomingHttpHeaders): IncomingHttpHeaders {
  return length === undefined ? headers : { ...headers, 'transfer-encoding': 'chunked' }
}

// A response that was not demonstrably produced by a replica must not reach the caller.
function describeUnverified (status: number, head: ResponseHead): string | undefined {
  if (status < 300 && !head.isSigned) return 'answer without a signature'
  // These statuses imply that the request was not executed, which only the replica can know.
  if (status === 408 || status === 429 || status === 503) return `status ${status} that does not say whether the request ran`
  return undefined
}
