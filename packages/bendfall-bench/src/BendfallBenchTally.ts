/**
 * What a run writes down while it goes: one record a request, prefill work and
 * decode memory by attempt.
 *
 * @module
 */
import type { CallAsk, Outcome, RefusalReason, RequestEnd } from 'bendfall-core'
import type { AttemptName } from './BendfallBenchEngineSink.js'
import type { Arrival } from './BendfallBenchWorkload.js'

/** What became of a request. */
export interface RequestRecord {
  readonly arrival: Arrival
  /** Only kept when traces are asked for. */
  readonly trace: string[]
  firstOutputAtMs?: number
  lastOutputAtMs?: number
  outputTokens: number
  endedAtMs?: number
  outcome?: Outcome
  reason?: RefusalReason
  retryAfterMs: number
  callerLeftAtMs?: number
  /** The same request when the caller came back. */
  returned?: RequestRecord
}

/** Memory of an attempt at a decode engine. */
interface Holding {
  readonly requestId: string
  readonly kvBytes: number
  readonly fromMs: number
  untilMs: number
}

/** Prefill work of an attempt. */
interface Work {
  tokens: number
  isUsed: boolean
}

/** Prompt tokens computed at a time. */
interface Computed {
  readonly tokens: number
  readonly atMs: number
}

/** The records of a run. */
export class Tally {
  readonly records = new Map<string, RequestRecord>()
  readonly holdings: Holding[] = []
  /** Prefill work in the order in which it was done. */
  readonly computed: Computed[] = []
  cachedTokens = 0
  /** Things that must never happen, by name. */
  readonly violations = new Map<string, number>()
  private readonly held = new Map<string, Holding>()
  private readonly work = new Map<string, Work>()
  private readonly ran = new Set<string>()
  private readonly ranOnce = new Set<string>()

  /**
   * Opens the record of a request.
   *
   * @param arrival - the request
   * @returns the record
   */
  arrive (arrival: Arrival): RequestRecord {
    const record: RequestRecord = { arrival, trace: [], outputTokens: 0, retryAfterMs: 0 }
    this.records.set(arrival.request.requestId, record)
    return record
  }

  /**
   * Notes tokens sent to the caller.
   *
   * @param requestId - the request
   * @param index - index of the first of them
   * @param count - number of tokens
   * @param atMs - now
   */
  tokens (requestId: string, index: number, count: number, atMs: number): void {
    const record = this.recordOf(requestId)
    if (record.endedAtMs !== undefined || index !== record.outputTokens) this.violate('tokens out of order')
    record.firstOutputAtMs ??= atMs
    record.lastOutputAtMs = atMs
    record.outputTokens = index + count
  }

  /**
   * Notes the answer of a plain call.
   *
   * @param requestId - the request
   * @param atMs - now
   */
  answer (requestId: string, atMs: number): void {
    const record = this.recordOf(requestId)
    if (record.firstOutputAtMs !== undefined) this.violate('answered twice')
    record.firstOutputAtMs = atMs
  }

  /**
   * Notes how a request ended.
   *
   * @param end - the end
   * @param atMs - now
   */
  end (end: RequestEnd, atMs: number): void {
    const record = this.recordOf(end.requestId)
    if (record.endedAtMs !== undefined) this.violate('ended twice')
    record.endedAtMs = atMs
    record.outcome = end.outcome
    record.reason = end.reason
    record.retryAfterMs = end.retryAfterMs
    if (end.outcome === 'not_run' && this.ran.has(end.requestId)) this.violate('not_run, but it ran')
    const { arrival } = record
    if (end.outcome !== 'answered' || arrival.kind === 'call') return
    if (record.outputTokens !== arrival.outputTokens) this.violate('answer not whole')
  }

  /**
   * Notes that a plain service runs a call.
   *
   * @param ask - the call
   */
  callRun (ask: CallAsk): void {
    this.ran.add(ask.requestId)
    if (ask.repeatable) return
    const key = ask.idempotencyKey || ask.requestId
    if (this.ranOnce.has(key)) this.violate('ran twice')
    this.ranOnce.add(key)
  }

  /** Notes prompt tokens of an attempt that the prefix cache held. */
  prefillCached (tokens: number): void {
    this.cachedTokens += tokens
  }

  /** Notes prompt tokens computed for an attempt. */
  prefillComputed (name: AttemptName, tokens: number, atMs: number): void {
    this.computed.push({ tokens, atMs })
    const work = this.work.get(keyOf(name)) ?? { tokens: 0, isUsed: false }
    work.tokens += tokens
    this.work.set(keyOf(name), work)
  }

  /** Notes that the prefill result of an attempt, maybe an earlier one, was fetched. */
  prefillUsed (handle: string): void {
    const work = this.work.get(handle.slice(handle.indexOf('/') + 1))
    if (work !== undefined) work.isUsed = true
  }

  /** Notes that an attempt holds decode memory. */
  memoryTaken (name: AttemptName, kvBytes: number, atMs: number): void {
    const holding = { requestId: name.requestId, kvBytes, fromMs: atMs, untilMs: Infinity }
    this.held.set(keyOf(name), holding)
    this.holdings.push(holding)
  }

  /** Notes that an attempt holds no decode memory any more. */
  memoryFreed (name: AttemptName, atMs: number): void {
    const holding = this.held.get(keyOf(name))
    if (holding !== undefined) holding.untilMs = atMs
    this.held.delete(keyOf(name))
  }

  /**
   * Sums the prefill work.
   *
   * @returns tokens computed, and those whose result was never fetched
   */
  prefillTokens (): { computed: number, wasted: number } {
    let computed = 0
    let wasted = 0
    for (const work of this.work.values()) {
      computed += work.tokens
      if (!work.isUsed) wasted += work.tokens
    }
    return { computed, wasted }
  }

  /**
   * Notes something that must never happen.
   *
   * @param what - its name
   */
  violate (what: string): void {
    this.violations.set(what, (this.violations.get(what) ?? 0) + 1)
  }

  private recordOf (requestId: string): RequestRecord {
    const record = this.records.get(requestId)
    if (record === undefined) throw new Error(`no request ${requestId}`)
    return record
  }
}

function keyOf (name: AttemptName): string {
  return `${name.requestId}/${name.attempt}`
}
