/** One attempt of a caller, and what it got. */
export interface Attempt {
  /** 1 for the first attempt of the caller. */
  readonly number: number
  readonly startedAtMs: number
  /** Time that the caller had left when it sent the attempt. */
  readonly remainingMs: number
  /** Prompt tokens; 0 without a prompt. */
  readonly promptTokens: number
  /** Pending attempts got neither, which counts as abandoned. */
  outcome: 'pending' | 'served' | 'refused'
  /** Time from the attempt to the first output or to the refusal. */
  tookMs: number
}

/** What the attempts of some callers got. */
export interface AttemptTally {
  readonly attempts: number
  /** Share of the attempts that were served. */
  readonly servedShare: number
  /** Time to the first output of those that were served. */
  readonly servedMs: { readonly p50: number, readonly p95: number, readonly p99: number }
  /** Time for which 95 % of the refused attempts were held at most, and the share that was held for more than 50 ms. */
  readonly refusedP95Ms: number
  readonly heldShare: number
  readonly abandoned: number
}

/** Records the attempts of callers. */
export class AttemptRecorder {
  private readonly byKey = new Map<string, Attempt>()

  begin (key: string, number: number, remainingMs: number, startedAtMs: number, promptTokens = 0): void {
    this.byKey.set(key, { number, remainingMs, startedAtMs, promptTokens, outcome: 'pending', tookMs: 0 })
  }

  end (key: string, outcome: 'served' | 'refused', nowMs: number): void {
    const attempt = this.byKey.get(key)
    if (attempt?.outcome !== 'pending') return
    attempt.outcome = outcome
    attempt.tookMs = nowMs - attempt.startedAtMs
  }

  list (): readonly Attempt[] {
    return [...this.byKey.values()]
  }
}

/** Counts what attempts got. */
export function tallyAttempts (attempts: readonly Attempt[]): AttemptTally {
  const timesOf = (outcome: Attempt['outcome']): number[] => attempts.filter((attempt) => attempt.outcome === outcome).map(({ tookMs }) => tookMs).sort((a, b) => a - b)
  const [served, refused] = [timesOf('served'), timesOf('refused')]
  return {
    attempts: attempts.length,
    servedShare: served.length / Math.max(1, attempts.length),
    servedMs: { p50: quantile(served, 0.5), p95: quantile(served, 0.95), p99: quantile(served, 0.99) },
    refusedP95Ms: quantile(refused, 0.95),
    heldShare: refused.filter((ms) => ms > 50).length / Math.max(1, refused.length),
    abandoned: attempts.length - served.length - refused.length
  }
}

function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0
}
