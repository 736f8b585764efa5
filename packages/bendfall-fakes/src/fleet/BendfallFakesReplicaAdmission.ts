/**
 * Admission of requests to the stand-in for a replica: limited concurrency and memory, a queue that may be
 * short, and preemption of the least urgent request when memory runs out.
 *
 * @module
 */

/** A request at the replica. */
export interface AdmissionJob {
  /** 0 to 9; 0 is the most urgent. */
  readonly urgency: number
  /** Memory that it occupies or will occupy when it is admitted. */
  tokens: number
  /** Called on admission, and again after each preemption. */
  readonly start: () => void
  /** Called when the request is preempted; it stays in the queue. */
  readonly pause: () => void
}

/** Limits of a replica; absent: unlimited. */
export interface AdmissionLimits {
  /** Requests that run at once. */
  readonly slots?: number
  /** Requests that may wait. */
  readonly maxQueued?: number
  readonly memoryTokens?: number
}

/** Admission state of a replica. */
export interface Admission {
  /** Admits or queues a request; returns false when the queue is full or the request can never fit. */
  readonly enter: (job: AdmissionJob) => boolean
  /** Adds memory to a running request and preempts others, or the request itself, when memory runs out. */
  readonly grow: (job: AdmissionJob, tokens: number) => void
  /** Removes a request that has ended, and admits those that fit then. */
  readonly leave: (job: AdmissionJob) => void
  /** Forgets all requests, as a restart does. */
  readonly clear: () => void
  /** @returns the number of requests that wait */
  readonly queued: () => number
  /** @returns the number of preemptions so far */
  readonly preemptions: () => number
}

/**
 * Creates the admission of a replica.
 *
 * @param limits - concurrency, queue and memory
 * @returns the admission, without requests
 */
export function createAdmission ({ maxQueued = Infinity, memoryTokens = Infinity, slots = Infinity }: AdmissionLimits): Admission {
  const arrivals = new Map<AdmissionJob, number>()
  const running = new Set<AdmissionJob>()
  const queue: AdmissionJob[] = []
  let nextArrival = 0
  let preemptions = 0

  const usedTokens = (): number => [...running].reduce((sum, { tokens }) => sum + tokens, 0)
  const compare = (one: AdmissionJob, other: AdmissionJob): number => one.urgency - other.urgency || (arrivals.get(one) ?? 0) - (arrivals.get(other) ?? 0)
  const fits = ({ tokens }: AdmissionJob): boolean => running.size < slots && usedTokens() + tokens <= memoryTokens

  function admitWaiting (): void {
    for (let next = queue[0]; next !== undefined && fits(next); next = queue[0]) {
      queue.shift()
      running.add(next)
      next.start()
    }
  }

  function wait (job: AdmissionJob): void {
    queue.push(job)
    queue.sort(compare)
  }

  function remove (job: AdmissionJob): void {
    arrivals.delete(job)
    running.delete(job)
    const index = queue.indexOf(job)
    if (index !== -1) queue.splice(index, 1)
  }

  return {
    enter: (job) => {
      if (job.tokens > memoryTokens) return false
      arrivals.set(job, nextArrival++)
      wait(job)
      admitWaiting()
      if (running.has(job) || queue.length <= maxQueued) return true
      remove(job)
      return false
    },
    grow: (job, tokens) => {
      job.tokens += tokens
      // A request that is alone keeps its memory: preempting it would free memory for nobody.
      while (running.size > 1 && usedTokens() > memoryTokens) {
        const last = [...running].sort(compare).at(-1) as AdmissionJob
        running.delete(last)
        preemptions += 1
        last.pause()
        wait(last)
      }
    },
    leave: (job) => {
      remove(job)
      admitWaiting()
    },
    clear: () => {
      arrivals.clear()
      running.clear()
      queue.length = 0
    },
    queued: () => queue.length,
    preemptions: () => preemptions
  }
}
