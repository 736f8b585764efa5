/**
 * A process as possible holder of the slots of one pool: keeps the lease, reads
 * the slots, claims and gives away, and tells the reducer what it holds.
 *
 * @module
 */
import type { HomeSlot, PoolName, State } from 'bendfall-core'
import { HOME_SLOT_COUNT, homeCandidates, homeSlot, isHomeDraining } from 'bendfall-core'
import type { KeyValuePort } from 'bendfall-platform'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { HolderIdentity } from './BendfallNodeHomeEntry.js'
import { createHomeLease } from './BendfallNodeHomeLease.js'
import { ownEntries, planHome } from './BendfallNodeHomePlan.js'
import type { HomeAction, HomeSituation } from './BendfallNodeHomePlan.js'
import { repeatAction } from './BendfallNodeHomeRepeat.js'
import type { HomeHolderTimes } from './BendfallNodeHomeTimes.js'
import { createHomeView } from './BendfallNodeHomeView.js'
import { createHomeWrites } from './BendfallNodeHomeWrites.js'

/** What a session works with. */
export interface HomeSessionOptions {
  readonly keyValue: KeyValuePort
  readonly self: HolderIdentity
  readonly times: HomeHolderTimes
}

/** A process as possible holder of the slots of one pool. */
export interface HomeSession {
  readonly pool: PoolName
  /** Stops serving at once and releases all slots. */
  readonly close: () => Promise<void>
}

/**
 * Starts to hold slots of a pool.
 *
 * @param runtime - the process
 * @param pool - the pool
 * @param options - key-value service, own identity and times
 * @returns the session
 */
export function openHomeSession (runtime: Runtime, pool: PoolName, options: HomeSessionOptions): HomeSession {
  const { keyValue, self, times } = options
  const { clock } = runtime
  const view = createHomeView(keyValue, pool, wake)
  const lease = createHomeLease(clock, keyValue, times)
  const writes = createHomeWrites(keyValue, pool, self, view)
  const served = new Map<number, HomeSlot>()
  const retired = new Set<number>()
  const freeSinceMs = new Map<number, number>()
  const leaseSeenMs = new Map<string, number>()
  let lastHandoverMs = clock.nowMs()
  let drainingSinceMs: number | undefined
  let published = ''
  let isClosed = false
  let isEnded = false
  let isStepping = false
  let isStepWanted = false

  function situation (): HomeSituation {
    const state = runtime.getState()
    return {
      self,
      pool,
      times,
      nowMs: clock.nowMs(),
      leaseId: lease.leaseId(),
      candidates: homeCandidates(state.members, pool),
      goneSinceMs: goneInstances(state),
      leaseSeenMs,
      holders: view.holders,
      retired,
      freeSinceMs,
      lastHandoverMs,
      busySlots: busySlotsOf(state, pool)
    }
  }

  // Serves what the service shows as ours. The epoch begins now, after the
  // answer, so that it is never earlier than the end of the former holder.
  function updateServed (): void {
    const own = new Map(ownEntries(situation()).map((entry) => [entry.slot, entry.revision]))
    for (const [slot, { epoch }] of [...served]) {
      if (own.get(slot) !== epoch) served.delete(slot)
    }
    for (const [slot, epoch] of own) {
      if (!served.has(slot)) served.set(slot, { slot, epoch, sinceWallMs: clock.wallMs() })
    }
  }

  function publish (): void {
    if (isEnded) return
    updateServed()
    const slots = [...served.values()]
    const holders = [...view.holders.values()].map(({ slot, holderId, revision }) => ({ slot, holderId, epoch: revision }))
    const validUntilMs = lease.validUntilMs()
    const next = JSON.stringify([slots, holders, validUntilMs])
    if (next === published) return
    published = next
    runtime.dispatch({ type: 'home_lease_changed', pool, slots, holders, validUntilMs, wallMs: clock.wallMs() })
  }

  function noteLeases (): void {
    const leaseIds = new Set([...view.holders.values()].map(({ leaseId }) => leaseId))
    for (const leaseId of leaseSeenMs.keys()) if (!leaseIds.has(leaseId)) leaseSeenMs.delete(leaseId)
    for (const leaseId of leaseIds) if (!leaseSeenMs.has(leaseId)) leaseSeenMs.set(leaseId, clock.nowMs())
  }

  function noteFreeSlots (): void {
    if (!view.isRead()) return freeSinceMs.clear()
    for (const slot of view.holders.keys()) freeSinceMs.delete(slot)
    for (let slot = 0; slot < HOME_SLOT_COUNT; slot++) {
      if (!view.holders.has(slot) && !freeSinceMs.has(slot)) freeSinceMs.set(slot, clock.nowMs())
    }
  }

  async function perform (action: HomeAction): Promise<void> {
    if (action.type === 'claim') return writes.claim(action.slot, lease.leaseId())
    if (action.type === 'evict') return writes.evict(action.leaseId)
    if (!retired.has(action.revision)) {
      retired.add(action.revision)
      lastHandoverMs = clock.nowMs()
      publish()
    }
    return writes.release(action.slot, action.revision)
  }

  async function step (): Promise<void> {
    noteLeases()
    noteFreeSlots()
    if (isHomeDraining(runtime.getState())) return drain()
    drainingSinceMs = undefined
    publish()
    for (const action of planHome(situation())) {
      if (!isOpen() || isHomeDraining(runtime.getState())) break
      await perform(action)
      publish()
    }
  }

  async function drain (): Promise<void> {
    publish()
    drainingSinceMs ??= clock.nowMs()
    const isOver = busySlotsOf(runtime.getState(), pool).size === 0 || clock.nowMs() >= drainingSinceMs + times.drainWaitMs
    if (isOver) await release()
  }

  async function release (): Promise<void> {
    const revoking = lease.revoke()
    publish()
    isEnded = isClosed
    await revoking
  }

  function isOpen (): boolean {
    return !isClosed
  }

  function wake (): void {
    isStepWanted = true
    if (!isStepping && isOpen()) runSteps()
  }

  async function runSteps (): Promise<void> {
    isStepping = true
    while (isStepWanted && isOpen()) {
      isStepWanted = false
      await step()
    }
    isStepping = false
  }

  function isActive (): boolean {
    const state = runtime.getState()
    if (isHomeDraining(state)) return served.size > 0
    return served.size > 0 || homeCandidates(state.members, pool).includes(self.holderId)
  }

  const teardowns = [
    repeatAction(clock, async () => {
      wake()
      return times.tickMs
    }),
    repeatAction(clock, async () => {
      if (!isActive()) return times.tickMs
      await lease.keep()
      wake()
      return lease.leaseId() === '' ? times.tickMs : times.renewalMs
    }),
    repeatAction(clock, async () => {
      if (!isActive()) {
        view.reset()
        return times.tickMs
      }
      return await view.readOn(times.watchWaitMs) ? 0 : times.rereadMs
    })
  ]

  return {
    pool,
    close: async () => {
      if (isClosed) return
      isClosed = true
      for (const teardown of teardowns) teardown()
      await release()
    }
  }
}

function goneInstances (state: State): ReadonlyMap<string, number> {
  const gone = new Map<string, number>()
  for (const [instanceId, { goneSinceMs }] of state.members) {
    if (goneSinceMs !== undefined) gone.set(instanceId, goneSinceMs)
  }
  return gone
}

function busySlotsOf (state: State, pool: PoolName): ReadonlySet<number> {
  const keyIds = state.home?.runningCalls.valueSeq().filter((keyId) => keyId.startsWith(`${pool}/`)) ?? []
  return new Set([...keyIds].map((keyId) => homeSlot(pool, keyId.slice(pool.length + 1))))
}
