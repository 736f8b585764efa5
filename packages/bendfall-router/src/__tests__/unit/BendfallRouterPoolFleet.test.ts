import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { balancePools } from '../../index.js'
import type { PoolIntent, PoolMember, PoolWork, Replica, RouterEffect } from '../../index.js'
import { createWorld, loadOf, replicaOf, summaryRoute } from './RouterWorld.js'
import type { RouterWorld } from './RouterWorld.js'

const INTENT: PoolIntent = { usualPrefillShare: 0.25, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.5 }

/** Between two ticks of the holder. */
const TICK_MS = 500

/** Time that a replica takes to change its pool. */
const SWITCH_MS = 6_000

function fleetOf (prefills: number, decodes: number): Replica[] {
  return [
    ...Array.from({ length: prefills }, (_, i) => replicaOf(`p${i}`, 'prefill', { availabilityZone: `z${i % 5}` })),
    ...Array.from({ length: decodes }, (_, i) => replicaOf(`d${i}`, 'decode', { availabilityZone: `z${i % 5}` }))
  ]
}

/** A fleet that carries orders out, at a holder that asks for loads. */
class Fleet {
  readonly stages = new Map<string, 'prefill' | 'decode'>()
  /** Most loads that were asked for in one tick. */
  mostAsked = 0
  /** Most replicas that were away at a time. */
  mostAway = 0
  private world: RouterWorld
  private nowMs = 0
  private revision = 1
  private readonly away = new Map<string, number>()

  constructor (private readonly replicas: readonly Replica[], private readonly loadOfStage: Record<'prefill' | 'decode', number>) {
    for (const { replicaId, stage } of replicas) this.stages.set(replicaId, stage as 'prefill' | 'decode')
    this.world = this.createHolder()
  }

  get prefills (): number {
    return [...this.stages.values()].filter((stage) => stage === 'prefill').length
  }

  /** Another entry takes the lease; it knows registrations only. */
  changeHolder (): void {
    this.world = this.createHolder()
  }

  play (seconds: number): void {
    for (const endMs = this.nowMs + seconds * 1_000; this.nowMs < endMs;) {
      this.nowMs += TICK_MS
      this.world.wait(TICK_MS)
      this.finishChanges()
      for (const effect of this.world.reduce({ type: 'balance_due', fence: 1 })) this.carryOut(effect)
    }
  }

  private createHolder (): RouterWorld {
    const world = createWorld([summaryRoute()], this.replicas.map((replica) => this.registrationOf(replica)))
    world.state.poolIntent = INTENT
    return world
  }

  private registrationOf (replica: Replica): Replica {
    return { ...replica, revision: this.revision, stage: this.stages.get(replica.replicaId) ?? replica.stage }
  }

  private finishChanges (): void {
    for (const [replicaId, atMs] of this.away) {
      if (atMs > this.nowMs) continue
      this.away.delete(replicaId)
      this.revision += 1
      const replica = this.replicas.find((one) => one.replicaId === replicaId) as Replica
      this.world.reduce({ type: 'replicas_changed', present: [this.registrationOf(replica)], gone: [] })
    }
  }

  private carryOut (effect: RouterEffect): void {
    if (effect.type === 'ask_loads') {
      this.mostAsked = Math.max(this.mostAsked, effect.replicaIds.length)
      for (const id of effect.replicaIds) this.tell(id)
    }
    if (effect.type !== 'order_stage') return
    this.stages.set(effect.replicaId, effect.stage as 'prefill' | 'decode')
    this.away.set(effect.replicaId, this.nowMs + SWITCH_MS)
    this.mostAway = Math.max(this.mostAway, this.away.size)
  }

  private tell (replicaId: string): void {
    const stage = this.stages.get(replicaId) ?? 'decode'
    const share = this.loadOfStage[stage]
    const load = { ...loadOf(replicaId, stage, 37_000 * (1 - share)), backlogTokens: stage === 'prefill' && share > 0.5 ? 3_000 : 0 }
    this.world.reduce({ type: 'load_learned', load: this.away.has(replicaId) ? { ...load, isHealthy: false } : load })
  }
}

// Before, the holder saw twelve replicas of each pool, whatever the fleet was: 29 + 55
// idle replicas ended at 4 + 80, below the least share that operators had confirmed.
test('an idle fleet ends at the usual share of all its replicas and stays there', () => {
  for (const [prefills, decodes, usual] of [[2, 4, 1], [9, 18, 6], [29, 55, 21], [210, 390, 150]] as const) {
    const fleet = new Fleet(fleetOf(prefills, decodes), { prefill: 0, decode: 0 })
    fleet.play(120)
    assert.is(fleet.prefills, usual, `${prefills} + ${decodes}`)
    assert.ok(fleet.mostAway <= Math.max(1, 0.05 * (prefills + decodes)), `${fleet.mostAway} away`)
  }
})

test('holders that change come to the same pools', () => {
  const fleet = new Fleet(fleetOf(29, 55), { prefill: 0, decode: 0 })
  for (let i = 0; i < 20; i++) {
    fleet.changeHolder()
    fleet.play(7)
    assert.ok(fleet.prefills >= 21 && fleet.prefills <= 29, `${fleet.prefills}`)
  }
  assert.is(fleet.prefills, 21)
})

test('the loads of 600 replicas cost the holder as many calls as those of 27', () => {
  const asked = [27, 600].map((size) => {
    const fleet = new Fleet(fleetOf(size / 3, size - size / 3), { prefill: 0, decode: 0.5 })
    fleet.play(10)
    return fleet.mostAsked
  })
  assert.equal(asked, [12, 12])
})

test('a holder that has measured too little changes nothing', () => {
  const fleet = new Fleet(fleetOf(29, 55), { prefill: 0, decode: 0 })
  fleet.play(0.5)
  assert.is(fleet.prefills, 29)
})

function membersOf (prefills: number, decodes: number, away = 0): PoolMember[] {
  return fleetOf(prefills, decodes).map(({ availabilityZone, replicaId, stage }, i) => ({ replicaId, availabilityZone, stage, isServing: i >= away, isLeaving: false }))
}

test('one sick replica of 84 stops no change; five do', () => {
  const idle: PoolWork = { prefill: 0, decode: 0 }
  assert.ok(balancePools(membersOf(29, 55, 1), idle, INTENT).length > 0)
  assert.equal(balancePools(membersOf(29, 55, 5), idle, INTENT), [])
})

test('under load changes are in proportion to the fleet', () => {
  const changesOf = (prefills: number, decodes: number): number => {
    const total = prefills + decodes
    return balancePools(membersOf(prefills, decodes), { prefill: 0.35 * total, decode: 0.5 * total }, INTENT).length
  }
  assert.equal([changesOf(2, 6), changesOf(21, 63), changesOf(150, 450)], [1, 4, 30])
})

test('a replica of 84 more or less is no reason to change', () => {
  assert.equal(balancePools(membersOf(21, 63), { prefill: 15, decode: 47 }, INTENT), [])
})

test.run()
