/**
 * Model of a decode engine: memory in KV bytes, continuous batching with a
 * step time by batch size. An import without free memory waits, and fails when
 * its source was evicted meanwhile.
 *
 * @module
 */
import type { DecodeAsk, EngineReport } from 'bendfall-core'
import type { Clock } from './BendfallBenchClock.js'
import type { EngineProfile } from './BendfallBenchDeployment.js'
import type { AttemptName, EngineSink, KvSource } from './BendfallBenchEngineSink.js'
import type { Transfer } from './BendfallBenchLink.js'

interface Sequence {
  readonly ask: DecodeAsk
  readonly source: KvSource
  readonly kvBytes: number
  readonly outputTokens: number
  phase: 'waiting' | 'importing' | 'imported' | 'decoding'
  transfer?: Transfer
  producedTokens: number
  relayedTokens: number
}

/** The first token is told at once, the following ones in groups of this size. */
export const TOKENS_PER_RELAY = 8

/** A decode engine. */
export class DecodeEngine {
  private readonly sequences = new Map<string, Sequence>()
  private usedKvBytes = 0
  private isStepping = false
  private isDead = false

  constructor (
    private readonly clock: Clock,
    private readonly profile: EngineProfile,
    private readonly sink: EngineSink
  ) {}

  /**
   * Fetches a KV cache; waits while there is no memory for it.
   *
   * @param ask - the request
   * @param source - where the KV cache is
   */
  import (ask: DecodeAsk, source: KvSource): void {
    const { request, outputTokens } = this.sink.truth(ask.requestId)
    const kvBytes = (request.promptTokens + request.maxOutputTokens) * this.profile.kvBytesPerToken
    const resumed = ask.resumeTokens.length
    const sequence: Sequence = { ask, source, kvBytes, outputTokens, phase: 'waiting', producedTokens: resumed, relayedTokens: resumed }
    this.sequences.set(nameOf(ask), sequence)
    this.startImports()
    if (sequence.phase === 'waiting') this.planEviction(sequence)
  }

  /**
   * Decodes an imported request.
   *
   * @param ask - the request
   */
  decode (ask: DecodeAsk): void {
    const sequence = this.sequences.get(nameOf(ask))
    if (sequence?.phase !== 'imported') return
    sequence.phase = 'decoding'
    this.startStep()
  }

  /**
   * Frees all that an attempt holds.
   *
   * @param name - the attempt
   */
  cancel (name: AttemptName): void {
    const sequence = this.sequences.get(nameOf(name))
    if (sequence === undefined) return
    sequence.transfer?.abort()
    this.remove(sequence)
  }

  /** Stops the engine for good; nothing is reported any more. */
  kill (): void {
    for (const sequence of [...this.sequences.values()]) {
      sequence.transfer?.abort()
      this.forget(sequence)
    }
    this.isDead = true
  }

  /** Load as the engine reports it. */
  report (): EngineReport {
    return {
      usedKvBytes: this.usedKvBytes,
      totalKvBytes: this.profile.decodeKvBytes,
      stepMs: this.stepMs(this.batch().length),
      prefillTokensPerSecond: 0
    }
  }

  private startImports (): void {
    const waiting = [...this.sequences.values()].filter(({ phase }) => phase === 'waiting')
    const urgentFirst = waiting.sort((one, other) => urgency(other) - urgency(one))
    for (const sequence of urgentFirst) {
      if (this.usedKvBytes + sequence.kvBytes > this.profile.decodeKvBytes) return
      this.startImport(sequence)
    }
  }

  private startImport (sequence: Sequence): void {
    if (sequence.source.livesUntilMs() === undefined) {
      this.failImport(sequence)
      return
    }
    sequence.phase = 'importing'
    this.usedKvBytes += sequence.kvBytes
    this.sink.memoryTaken(sequence.ask, sequence.kvBytes)
    sequence.transfer = sequence.source.fetch({
      onProgress: (transferredBytes) => this.sink.notify({ type: 'engine_import_progressed', ...refOf(sequence), transferredBytes }),
      onDone: () => this.endImport(sequence)
    })
  }

  private endImport (sequence: Sequence): void {
    sequence.phase = 'imported'
    sequence.transfer = undefined
    this.sink.prefillUsed(sequence.ask.handle)
    this.sink.notify({ type: 'engine_import_ended', ...refOf(sequence), result: { type: 'done' } })
  }

  private planEviction (sequence: Sequence): void {
    const untilMs = sequence.source.livesUntilMs() ?? this.clock.nowMs
    this.clock.after(untilMs - this.clock.nowMs, () => {
      if (sequence.phase === 'waiting' && this.sequences.has(nameOf(sequence.ask))) this.failImport(sequence)
    })
  }

  private failImport (sequence: Sequence): void {
    this.sequences.delete(nameOf(sequence.ask))
    this.sink.notify({ type: 'engine_import_ended', ...refOf(sequence), result: { type: 'failed', reason: 'prefill_lost', kvLost: true } })
  }

  private batch (): Sequence[] {
    return [...this.sequences.values()].filter(({ phase }) => phase === 'decoding')
  }

  private stepMs (batchSize: number): number {
    return this.profile.stepBaseMs + this.profile.stepPerRequestMs * batchSize
  }

  private startStep (): void {
    if (this.isStepping || this.isDead) return
    const batch = this.batch()
    if (batch.length === 0) return
    this.isStepping = true
    this.clock.after(this.stepMs(batch.length), () => this.endStep(batch))
  }

  private endStep (batch: readonly Sequence[]): void {
    this.isStepping = false
    for (const sequence of batch) {
      if (this.sequences.get(nameOf(sequence.ask)) === sequence) this.produce(sequence)
    }
    this.startStep()
  }

  private produce (sequence: Sequence): void {
    sequence.producedTokens++
    const isLast = sequence.producedTokens >= sequence.outputTokens
    const unsent = sequence.producedTokens - sequence.relayedTokens
    const isFirst = sequence.relayedTokens === sequence.ask.resumeTokens.length
    if (isFirst || isLast || unsent >= TOKENS_PER_RELAY) this.relay(sequence)
    if (isLast) this.finish(sequence)
  }

  private relay (sequence: Sequence): void {
    const index = sequence.relayedTokens
    const tokens = Array.from({ length: sequence.producedTokens - index }, () => 't')
    sequence.relayedTokens = sequence.producedTokens
    this.sink.notify({ type: 'engine_tokens', ...refOf(sequence), index, tokens })
  }

  private finish (sequence: Sequence): void {
    this.remove(sequence)
    this.sink.notify({ type: 'engine_decode_ended', ...refOf(sequence), result: { type: 'finished', tokenCount: sequence.producedTokens } })
  }

  private remove (sequence: Sequence): void {
    this.forget(sequence)
    this.startImports()
  }

  private forget (sequence: Sequence): void {
    this.sequences.delete(nameOf(sequence.ask))
    if (sequence.phase === 'waiting') return
    this.usedKvBytes -= sequence.kvBytes
    this.sink.memoryFreed(sequence.ask)
  }
}

function urgency (sequence: Sequence): number {
  return sequence.ask.trafficClass === 'interactive' ? 1 : 0
}

function nameOf (name: AttemptName): string {
  return `${name.requestId}/${name.attempt}`
}

function refOf (sequence: Sequence): AttemptName {
  return { requestId: sequence.ask.requestId, attempt: sequence.ask.attempt }
}
