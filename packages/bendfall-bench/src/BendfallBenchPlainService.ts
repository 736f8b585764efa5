/**
 * Model of a plain service: a few workers behind a queue.
 *
 * @module
 */
import type { CallAsk } from 'bendfall-core'
import type { Clock } from './BendfallBenchClock.js'
import { SERVICE_WORKERS } from './BendfallBenchDeployment.js'
import type { Fact } from './BendfallBenchEngineSink.js'

/** What the service needs from the run around it. */
export interface ServiceSink {
  readonly notify: (fact: Fact) => void
  readonly callRun: (ask: CallAsk) => void
  readonly serviceMs: (requestId: string) => number
}

const EMPTY_BODY = new Uint8Array(0)
const STATUS_OK = 200

/** A plain service. */
export class PlainService {
  private readonly queue: CallAsk[] = []
  private running = 0
  private isDead = false

  constructor (private readonly clock: Clock, private readonly sink: ServiceSink) {}

  /**
   * Runs a call when a worker is free.
   *
   * @param ask - the call
   */
  call (ask: CallAsk): void {
    this.queue.push(ask)
    this.startNext()
  }

  /** Stops the service for good. */
  kill (): void {
    this.isDead = true
  }

  private startNext (): void {
    if (this.running >= SERVICE_WORKERS) return
    const ask = this.queue.shift()
    if (ask === undefined) return
    this.running++
    this.sink.callRun(ask)
    this.clock.after(this.sink.serviceMs(ask.requestId), () => this.end(ask))
  }

  private end (ask: CallAsk): void {
    if (this.isDead) return
    this.running--
    this.sink.notify({
      type: 'service_replied',
      requestId: ask.requestId,
      attempt: ask.attempt,
      result: { type: 'answered', status: STATUS_OK, contentType: ask.contentType, body: EMPTY_BODY }
    })
    this.startNext()
  }
}
