/**
 * The network between a pair of availability zones: one rate, divided evenly
 * among the transfers under way.
 *
 * @module
 */
import type { Clock } from './BendfallBenchClock.js'

/** What a transfer is told. */
export interface TransferListener {
  readonly onProgress: (transferredBytes: number) => void
  readonly onDone: () => void
}

/** A transfer under way. */
export interface Transfer {
  readonly abort: () => void
}

interface Flow {
  readonly bytes: number
  /** Where the flow stops: `bytes`, or less for one that stalls. */
  readonly limitBytes: number
  sentBytes: number
  readonly listener: TransferListener
}

/** Engines tell progress this often. */
const PROGRESS_MS = 100
/** A stalled transfer stops at this share. */
const STALL_SHARE = 0.5
/** Rounding: a flow with less than this left is done. */
const DONE_BYTES = 1

/** A link of limited rate. */
export class Link {
  private readonly flows = new Set<Flow>()
  private settledAtMs = 0
  private version = 0

  constructor (private readonly clock: Clock, private readonly bytesPerSecond: number) {}

  /**
   * Starts a transfer.
   *
   * @param bytes - size
   * @param stalls - true for a transfer that stops half-way for good
   * @param listener - told of progress and of the end
   * @returns the transfer
   */
  start (bytes: number, stalls: boolean, listener: TransferListener): Transfer {
    this.settle()
    const flow: Flow = { bytes, limitBytes: stalls ? bytes * STALL_SHARE : bytes, sentBytes: 0, listener }
    this.flows.add(flow)
    this.planNextEnd()
    this.planProgress(flow)
    return { abort: () => this.abort(flow) }
  }

  private abort (flow: Flow): void {
    this.settle()
    this.flows.delete(flow)
    this.planNextEnd()
  }

  private settle (): void {
    const elapsedSeconds = (this.clock.nowMs - this.settledAtMs) / 1000
    this.settledAtMs = this.clock.nowMs
    const sentBytes = elapsedSeconds * this.bytesPerSecond / this.flows.size
    for (const flow of this.flows) {
      flow.sentBytes = Math.min(flow.limitBytes, flow.sentBytes + sentBytes)
    }
  }

  private planNextEnd (): void {
    const version = ++this.version
    if (this.flows.size === 0) return
    const leftBytes = Math.min(...[...this.flows].map((flow) => flow.limitBytes - flow.sentBytes))
    const delayMs = leftBytes * this.flows.size / this.bytesPerSecond * 1000
    this.clock.after(delayMs, () => {
      if (version === this.version) this.endDone()
    })
  }

  private endDone (): void {
    this.settle()
    const done = [...this.flows].filter((flow) => flow.limitBytes - flow.sentBytes < DONE_BYTES)
    for (const flow of done) this.flows.delete(flow)
    this.planNextEnd()
    for (const flow of done) {
      if (flow.limitBytes === flow.bytes) flow.listener.onDone()
    }
  }

  private planProgress (flow: Flow): void {
    this.clock.after(PROGRESS_MS, () => {
      if (!this.flows.has(flow)) return
      this.settle()
      flow.listener.onProgress(Math.floor(flow.sentBytes))
      this.planProgress(flow)
    })
  }
}
