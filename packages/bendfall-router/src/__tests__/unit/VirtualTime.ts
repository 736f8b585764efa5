import { drawUnit } from 'bendfall-core'

interface Act {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Acts in the order of their times, and draws that a seed repeats. */
export class VirtualTime {
  nowMs = 0
  /** A heap with the next act at its top. */
  private readonly acts: Act[] = []
  private order = 0

  constructor (private seed: number) {}

  /** A number in [0, 1). */
  draw (): number {
    const { seed, value } = drawUnit(this.seed)
    this.seed = seed
    return value
  }

  after (ms: number, run: () => void): void {
    this.at(this.nowMs + ms, run)
  }

  /** Plans an act; those of one time follow the order in which they were planned. */
  at (atMs: number, run: () => void): void {
    this.order += 1
    let place = this.acts.push({ atMs: Math.max(atMs, this.nowMs), order: this.order, run }) - 1
    while (place > 0 && this.isBefore(place, (place - 1) >> 1)) {
      this.swap(place, (place - 1) >> 1)
      place = (place - 1) >> 1
    }
  }

  /** Plays what is planned, and what comes of it. */
  playUntil (endMs: number): void {
    for (let next = this.take(); next !== undefined && next.atMs <= endMs; next = this.take()) {
      this.nowMs = next.atMs
      next.run()
    }
  }

  private take (): Act | undefined {
    if (this.acts.length === 0) return undefined
    this.swap(0, this.acts.length - 1)
    const first = this.acts.pop()
    let place = 0
    for (let next = this.earlierChild(place); next !== undefined; next = this.earlierChild(place)) {
      this.swap(place, next)
      place = next
    }
    return first
  }

  private earlierChild (place: number): number | undefined {
    let earliest = place
    for (const child of [2 * place + 1, 2 * place + 2]) {
      if (child < this.acts.length && this.isBefore(child, earliest)) earliest = child
    }
    return earliest === place ? undefined : earliest
  }

  private isBefore (one: number, other: number): boolean {
    const [left, right] = [this.acts[one], this.acts[other]] as [Act, Act]
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
  }

  private swap (one: number, other: number): void {
    [this.acts[one], this.acts[other]] = [this.acts[other] as Act, this.acts[one] as Act]
  }
}
