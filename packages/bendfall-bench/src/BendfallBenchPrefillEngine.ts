/**
 * Model of a prefill engine: one prompt at a time in chunks, the more urgent
 * first, with a prefix cache of limited size; a result that nobody fetches is
 * evicted in under a second.
 *
 * @module
 */
import type { EngineReport, PrefillAsk } from 'bendfall-core'
import type { Clock } from './BendfallBenchClock.js'
import { PREFIX_BLOCK_TOKENS } from './BendfallBenchDeployment.js'
import type { EngineProfile } from './BendfallBenchDeployment.js'
import type { EngineSink } from './BendfallBenchEngineSink.js'

interface Job {
  readonly ask: PrefillAsk
  cachedTokens: number
  /** Tokens left to compute; absent until the job started. */
  leftTokens?: number
}

interface Result {
  readonly kvBytes: number
  readers: number
  expiresAtMs: number
}

/** A prefill engine. */
export class PrefillEngine {
  private jobs: Job[] = []
  private isBusy = false
  private isDead = false
  private readonly results = new Map<string, Result>()
  /** Prefix hashes, least recently used first. */
  private readonly cache = new Set<string>()

  constructor (
    private readonly clock: Clock,
    private readonly profile: EngineProfile,
    private readonly instanceId: string,
    private readonly sink: EngineSink
  ) {}

  /**
   * Queues a prompt.
   *
   * @param ask - the prompt
   */
  prefill (ask: PrefillAsk): void {
    this.jobs.push({ ask, cachedTokens: 0 })
    this.startChunk()
  }

  /**
   * Drops an attempt.
   *
   * @param requestId - request of the attempt
   * @param attempt - number of the attempt
   */
  cancel (requestId: string, attempt: number): void {
    this.jobs = this.jobs.filter(({ ask }) => ask.requestId !== requestId || ask.attempt !== attempt)
  }

  /** Stops the engine for good; nothing is reported any more. */
  kill (): void {
    this.isDead = true
    this.jobs = []
    this.results.clear()
  }

  /**
   * Finds until when a result lives if nobody fetches it.
   *
   * @param handle - handle of the result
   * @returns the time, or undefined when it was evicted
   */
  resultLivesUntilMs (handle: string): number | undefined {
    const result = this.results.get(handle)
    if (result === undefined) return undefined
    if (result.readers > 0 || result.expiresAtMs > this.clock.nowMs) return result.expiresAtMs
    this.results.delete(handle)
    return undefined
  }

  /**
   * Pins a result while it is fetched.
   *
   * @param handle - handle of the result
   * @param readers - 1 to pin, -1 to let go
   */
  pin (handle: string, readers: 1 | -1): void {
    const result = this.results.get(handle)
    if (result === undefined) return
    result.readers += readers
    result.expiresAtMs = this.clock.nowMs + this.profile.resultLifeMs
  }

  /** Load as the engine reports it. */
  report (): EngineReport {
    return { usedKvBytes: 0, totalKvBytes: 0, stepMs: 0, prefillTokensPerSecond: this.profile.prefillTokensPerSecond }
  }

  private startChunk (): void {
    if (this.isBusy || this.isDead) return
    const job = this.jobs.find(({ ask }) => ask.trafficClass === 'interactive') ?? this.jobs[0]
    if (job === undefined) return
    this.isBusy = true
    const leftTokens = job.leftTokens ?? this.begin(job)
    const chunkTokens = Math.min(leftTokens, this.profile.prefillChunkTokens)
    this.clock.after(chunkTokens / this.profile.prefillTokensPerSecond * 1000, () => this.endChunk(job, chunkTokens))
  }

  private begin (job: Job): number {
    const { prefixHashes, promptTokens } = job.ask
    const hits = prefixHashes.findLastIndex((hash) => this.cache.has(hash)) + 1
    // The last token is always computed: it gives the first output.
    job.cachedTokens = Math.min(hits * PREFIX_BLOCK_TOKENS, promptTokens - 1)
    job.leftTokens = promptTokens - job.cachedTokens
    this.sink.prefillCached(job.cachedTokens)
    return job.leftTokens
  }

  private endChunk (job: Job, chunkTokens: number): void {
    if (this.isDead) return
    this.isBusy = false
    this.sink.prefillComputed(job.ask, chunkTokens)
    job.leftTokens = (job.leftTokens ?? 0) - chunkTokens
    if (job.leftTokens === 0 && this.jobs.includes(job)) this.end(job)
    this.startChunk()
  }

  private end (job: Job): void {
    const { ask, cachedTokens } = job
    this.jobs = this.jobs.filter((other) => other !== job)
    this.remember(ask.prefixHashes)
    const kvBytes = ask.promptTokens * this.profile.kvBytesPerToken
    const handle = `${this.instanceId}/${ask.requestId}/${ask.attempt}`
    const evictsInMs = this.profile.resultLifeMs
    this.results.set(handle, { kvBytes, readers: 0, expiresAtMs: this.clock.nowMs + evictsInMs })
    this.sink.notify({
      type: 'engine_prefill_ended',
      requestId: ask.requestId,
      attempt: ask.attempt,
      result: { type: 'done', handle, exportUrl: this.instanceId, kvBytes, cachedTokens, evictsInMs }
    })
  }

  private remember (prefixHashes: readonly string[]): void {
    for (const hash of prefixHashes) {
      this.cache.delete(hash)
      this.cache.add(hash)
    }
    const limit = this.profile.prefixCacheTokens / PREFIX_BLOCK_TOKENS
    for (const hash of this.cache) {
      if (this.cache.size <= limit) return
      this.cache.delete(hash)
    }
  }
}
