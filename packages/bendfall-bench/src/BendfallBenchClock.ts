/**
 * Virtual time: a heap of actions, run in the order of their times. Actions of
 * the same time run in the order in which they were scheduled.
 *
 * @module
 */

interface Entry {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** More actions than this at one time: the run does not move on any more. */
const MAX_ACTIONS_AT_ONCE = 100_000

/** Virtual clock of a run. */
export class Clock {
  nowMs = 0
  private order = 0
  private actionsAtOnce = 0
  private readonly heap: Entry[] = []

  /**
   * Schedules an action.
   *
   * @param delayMs - time from now
   * @param run - the action
   */
  after (delayMs: number, run: () => void): void {
    this.heap.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.order++, run })
    this.siftUp(this.heap.length - 1)
  }

  /**
   * Runs actions until a time.
   *
   * @param endMs - actions behind this time stay undone
   * @throws Error when actions go on and on without time going on
   */
  runUntil (endMs: number): void {
    while (this.heap.length > 0 && this.heap[0].atMs <= endMs) {
      const entry = this.pop()
      this.actionsAtOnce = entry.atMs === this.nowMs ? this.actionsAtOnce + 1 : 0
      if (this.actionsAtOnce > MAX_ACTIONS_AT_ONCE) throw new Error(`no end of actions at ${this.nowMs} ms`)
      this.nowMs = entry.atMs
      entry.run()
    }
    this.nowMs = endMs
  }

  private pop (): Entry {
    const first = this.heap[0]
    const last = this.heap.pop() as Entry
    if (this.heap.length > 0) {
      this.heap[0] = last
      this.siftDown()
    }
    return first
  }

  private siftUp (start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(this.heap[index], this.heap[parent])) return
      this.swap(index, parent)
      index = parent
    }
  }

  private siftDown (): void {
    let index = 0
    for (;;) {
      const child = this.smallerChild(index)
      if (child === undefined || !isBefore(this.heap[child], this.heap[index])) return
      this.swap(index, child)
      index = child
    }
  }

  private smallerChild (index: number): number | undefined {
    const left = 2 * index + 1
    const right = left + 1
    if (left >= this.heap.length) return undefined
    if (right < this.heap.length && isBefore(this.heap[right], this.heap[left])) return right
    return left
  }

  private swap (one: number, other: number): void {
    const entry = this.heap[one]
    this.heap[one] = this.heap[other]
    this.heap[other] = entry
  }
}

function isBefore (one: Entry, other: Entry): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
}
