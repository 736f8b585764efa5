/**
 * The callers: they send requests, lose patience, leave in the middle, and some
 * come back when a refusal told them to.
 *
 * @module
 */
import { CALLER_DELAY_MS, PATIENCE_FACTOR } from './BendfallBenchDeployment.js'
import { createRandom } from './BendfallBenchRandom.js'
import type { RequestRecord } from './BendfallBenchTally.js'
import type { Arrival } from './BendfallBenchWorkload.js'
import type { BenchProcess, World } from './BendfallBenchWorld.js'

/** The callers of a run. */
export class Callers {
  private turn = 0

  constructor (private readonly world: World, private readonly returnShare: number) {}

  /**
   * Schedules arrivals.
   *
   * @param arrivals - what the callers will send
   */
  schedule (arrivals: readonly Arrival[]): void {
    for (const arrival of arrivals) {
      this.world.clock.after(arrival.atMs, () => this.submit(arrival))
    }
  }

  /**
   * Lets the caller of a refused request come back.
   *
   * @param requestId - the request that ended
   */
  onEnd (requestId: string): void {
    const record = this.world.parts.tally.records.get(requestId)
    if (record === undefined || !this.wantsToReturn(record)) return
    const delayMs = record.retryAfterMs + 2 * CALLER_DELAY_MS
    this.world.clock.after(delayMs, () => {
      record.returned = this.submit(asReturn(record.arrival, this.world.clock.nowMs))
    })
  }

  private wantsToReturn (record: RequestRecord): boolean {
    const { arrival, outcome, retryAfterMs, callerLeftAtMs } = record
    const isRefused = outcome === 'not_run' || outcome === 'unknown'
    if (!isRefused || callerLeftAtMs !== undefined || retryAfterMs === 0) return false
    if (arrival.isReturn && this.returnShare < 1) return false
    return createRandom(this.world.parts.seed, `return/${arrival.request.requestId}`).next() < this.returnShare
  }

  private submit (arrival: Arrival): RequestRecord {
    const { tally } = this.world.parts
    const entries = this.world.find(({ kind }) => kind === 'entry').filter(({ isAlive }) => isAlive)
    const entry = entries[this.turn++ % entries.length]
    const record = tally.arrive(arrival)
    this.planLeaving(entry, record)
    if (arrival.kind === 'language') this.world.dispatch(entry, { type: 'language_request_arrived', request: arrival.request })
    else this.world.dispatch(entry, { type: 'service_request_arrived', request: arrival.request })
    return record
  }

  private planLeaving (entry: BenchProcess, record: RequestRecord): void {
    const { arrival } = record
    const targetMs = arrival.kind === 'language' ? arrival.request.firstOutputMs : arrival.request.answerMs
    this.world.clock.after(targetMs * PATIENCE_FACTOR, () => {
      if (record.firstOutputAtMs === undefined) this.leave(entry, record)
    })
    if (arrival.kind === 'call' || arrival.leavesAfterMs === undefined) return
    this.world.clock.after(arrival.leavesAfterMs, () => this.leave(entry, record))
  }

  private leave (entry: BenchProcess, record: RequestRecord): void {
    if (record.endedAtMs !== undefined || record.callerLeftAtMs !== undefined) return
    record.callerLeftAtMs = this.world.clock.nowMs
    this.world.dispatch(entry, { type: 'caller_left', requestId: record.arrival.request.requestId, reason: 'closed' })
  }
}

function asReturn (arrival: Arrival, atMs: number): Arrival {
  const requestId = `${arrival.request.requestId}r`
  if (arrival.kind === 'language') return { ...arrival, atMs, isReturn: true, request: { ...arrival.request, requestId } }
  return { ...arrival, atMs, isReturn: true, request: { ...arrival.request, requestId } }
}
