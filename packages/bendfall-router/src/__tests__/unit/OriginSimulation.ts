import { createOriginHolders, createStreamOrigins, findOrigin, holdersToAsk, holdersToTell, recordOrigin, updateOriginHolders } from '../../index.js'
import type { OriginHolders, StreamOrigins } from '../../index.js'
import { VirtualTime } from './VirtualTime.js'

/** What happens to the processes while streams are open. */
export interface OriginScenario {
  readonly seed: number
  readonly entries: number
  readonly sidecars: number
  readonly streams: number
  /** Share of the processes of each kind that are replaced by empty ones, once, in the middle. */
  readonly restartedShare: number
  /** Whether the replaced ones get other addresses. */
  readonly areMoved: boolean
  /** Longest time after which an entry knows of a change of the processes. */
  readonly maxLagMs: number
}

/** Outcome of the resumed streams. */
export interface OriginOutcomes {
  readonly resumed: number
  /** Streams that would go on at another software than the one that began them. */
  readonly mixed: number
  /** Share of those whose origin was found, of all that were resumed at an entry that runs. */
  readonly foundShare: number
}

interface Process {
  address: string
  origins: StreamOrigins
}

/** What some of the entries know of the processes. */
interface View {
  readonly sidecars: OriginHolders
  readonly entries: OriginHolders
}

interface Entry extends Process {
  readonly view: View
}

/** Views that the entries share, so that 840 entries before 12,000 replicas fit into memory. */
const VIEWS = 8

const RUN_MS = 30_000
const MAX_OPEN_MS = 10_000
const SOFTWARE = [101, 102, 103]

/**
 * Plays streams that begin at one entry and are resumed at another one.
 *
 * @param scenario - processes and what happens to them
 * @returns the outcomes
 */
export function playOrigins (scenario: OriginScenario): OriginOutcomes {
  const { areMoved, entries: entryCount, maxLagMs, restartedShare, seed, sidecars: sidecarCount, streams } = scenario
  const time = new VirtualTime(seed)
  let nextAddress = 0
  const createProcess = (): Process => ({ address: `10.${nextAddress >> 8}.${nextAddress++ & 255}:1`, origins: createStreamOrigins(0) })
  const sidecars = Array.from({ length: sidecarCount }, createProcess)
  const views = Array.from({ length: VIEWS }, (): View => ({ sidecars: createOriginHolders(), entries: createOriginHolders() }))
  const entries: Entry[] = Array.from({ length: entryCount }, (_, index) => ({ ...createProcess(), view: views[index % VIEWS] as View }))
  const byAddress = new Map<string, Process>()

  function pick<T> (items: readonly T[]): T {
    return items[Math.floor(time.draw() * items.length)] as T
  }

  function list (processes: readonly Process[]): ReadonlyMap<string, boolean> {
    return new Map(processes.map(({ address }) => [address, true]))
  }

  function publish (lagMs: number): void {
    byAddress.clear()
    for (const process of [...sidecars, ...entries]) byAddress.set(process.address, process)
    const lists = { sidecars: list(sidecars), entries: list(entries) }
    for (const view of views) {
      time.after(time.draw() * lagMs, () => {
        updateOriginHolders(view.sidecars, lists.sidecars, time.nowMs)
        updateOriginHolders(view.entries, lists.entries, time.nowMs)
      })
    }
  }

  function restart (processes: readonly Process[]): void {
    for (const process of processes) {
      if (time.draw() >= restartedShare) continue
      process.origins = createStreamOrigins(time.nowMs)
      if (areMoved) process.address = createProcess().address
    }
  }

  function begin (requestId: string): { readonly software: number } {
    const entry = pick(entries)
    const software = pick(SOFTWARE)
    recordOrigin(entry.origins, requestId, software, time.nowMs)
    for (const holders of [entry.view.sidecars, entry.view.entries]) {
      const holder = holdersToTell(holders, requestId, entry.address).map((address) => byAddress.get(address)).find((process) => process !== undefined)
      if (holder !== undefined) recordOrigin(holder.origins, requestId, software, time.nowMs)
    }
    return { software }
  }

  function resume (requestId: string): number | undefined {
    const entry = pick(entries)
    const known = findOrigin(entry.origins, requestId)
    if (known !== undefined) return known
    const asked = [entry.view.sidecars, entry.view.entries].flatMap((holders) => holdersToAsk(holders, requestId, entry.address))
    return asked.map((address) => byAddress.get(address)).map((process) => process === undefined ? undefined : findOrigin(process.origins, requestId)).find((software) => software !== undefined)
  }

  let mixed = 0
  let found = 0
  publish(0)
  time.at(RUN_MS / 2, () => {
    restart(sidecars)
    restart(entries)
    publish(maxLagMs)
  })
  for (let i = 0; i < streams; i += 1) {
    time.at(10 + time.draw() * RUN_MS, () => {
      const { software } = begin(`stream-${i}`)
      time.after(time.draw() * MAX_OPEN_MS, () => {
        const origin = resume(`stream-${i}`)
        if (origin !== undefined) found += 1
        if (origin !== undefined && origin !== software) mixed += 1
      })
    })
  }
  time.runUntil(RUN_MS + MAX_OPEN_MS + maxLagMs)
  return { resumed: streams, mixed, foundShare: found / streams }
}
