import { drawUnit } from 'bendfall-core'

interface ScheduledCallback {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Runs scheduled callbacks in the order of their times, and draws pseudorandom numbers from a seed, so that a simulation is repeatable. */
export class VirtualTime {
  nowMs = 0
  /** Binary heap with the next callback at its root. */
  private readonly callbacks: ScheduledCallback[] = []
  private order = 0

  constructor (private seed: number) {}

  /** Returns a pseudorandom number in [0, 1). */
  draw (): number {
    const { seed, value } = drawUnit(this.seed)
    this.seed = seed
    return value
  }

  after (ms: number, run: () => void): void {
    this.at(this.nowMs + ms, run)
  }

  /** Schedules a callback; callbacks of the same time run in the order in which they were scheduled. */
  at (atMs: number, run: () => void): void {
    this.order += 1
    let index = this.callbacks.push({ atMs: Math.max(atMs, this.nowMs), order: this.order, run }) - 1
    while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
      this.swap(index, (index - 1) >> 1)
      index = (index - 1) >> 1
    }
  }

  /** Runs the callbacks up to a time, including those that they schedule. */
  runUntil (endMs: number): void {
    for (let next = this.pop(); next !== undefined && next.atMs <= endMs; next = this.pop()) {
      this.nowMs = next.atMs
      next.run()
    }
  }

  private pop (): ScheduledCallback | undefined {
    if (this.callbacks.length === 0) return undefined
    this.swap(0, this.callbacks.length - 1)
    const first = this.callbacks.pop()
    let index = 0
    for (let next = this.earlierChild(index); next !== undefined; next = this.earlierChild(index)) {
      this.swap(index, next)
      index = next
    }
    return first
  }

  private earlierChild (index: number): number | undefined {
    let earliest = index
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child < this.callbacks.length && this.isBefore(child, earliest)) earliest = child
    }
    return earliest === index ? undefined : earliest
  }

  private isBefore (one: number, other: number): boolean {
    const [left, right] = [this.callbacks[one], this.callbacks[other]] as [ScheduledCallback, ScheduledCallback]
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
  }

  private swap (one: number, other: number): void {
    [this.callbacks[one], this.callbacks[other]] = [this.callbacks[other] as ScheduledCallback, this.callbacks[one] as ScheduledCallback]
  }
}
