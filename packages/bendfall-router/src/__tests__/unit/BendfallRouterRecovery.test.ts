// Guards against a replica that was slow or failing once and is never chosen again: its estimates
// changed only with its own responses, and without requests it has none.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { RouterEffect, RouterEffectOf } from '../../index.js'
import { arrival, createSimulation, plainRoute, replicaOf } from './RouterSimulation.js'
import type { RouterSimulation } from './RouterSimulation.js'

const STEP_MS = 10
const USUAL_MS = 30
const SLOW_MS = 300
const CALLERS = 6
const REPLICAS = ['a', 'b', 'c'].map((id) => replicaOf(id, 'plain'))

/** How a replica responds at a time. */
type Behavior = (replicaId: string, nowMs: number) => { readonly tookMs: number, readonly status: number }

interface RecordedCall {
  readonly replicaId: string
  readonly sentAtMs: number
}

/** Lets callers call in a closed loop, each again as soon as it is answered, and returns all sends. */
function runCallers (behave: Behavior, endMs: number): RecordedCall[] {
  const simulation: RouterSimulation = createSimulation([plainRoute({ timeoutMs: 4_000 })], REPLICAS)
  const sends: RecordedCall[] = []
  const pending: Array<{ readonly atMs: number, readonly key: string, readonly attempt: number, readonly status: number }> = []
  let nextKey = 0
  let nowMs = 0

  function handleEffects (effects: readonly RouterEffect[]): void {
    for (const effect of effects.filter((one): one is RouterEffectOf<'send_run'> => one.type === 'send_run')) {
      const { status, tookMs } = behave(effect.replicaId, nowMs)
      sends.push({ replicaId: effect.replicaId, sentAtMs: nowMs })
      pending.push({ atMs: nowMs + tookMs, key: effect.key, attempt: effect.attempt, status })
    }
    for (const effect of effects) if (effect.type === 'deliver') startCall()
  }

  function startCall (): void {
    handleEffects(simulation.send(arrival(String(nextKey++), '/rates/1')))
  }

  for (let i = 0; i < CALLERS; i++) startCall()
  while (nowMs < endMs) {
    nowMs += STEP_MS
    simulation.wait(STEP_MS)
    const due = pending.filter(({ atMs }) => atMs <= nowMs)
    for (const one of due) {
      pending.splice(pending.indexOf(one), 1)
      handleEffects(simulation.send({ type: 'answer_complete', key: one.key, attempt: one.attempt, status: one.status, outputEvents: 0 }))
    }
  }
  return sends
}

function shareOf (sends: readonly RecordedCall[], replicaId: string, fromMs: number): number {
  const counted = sends.filter(({ sentAtMs }) => sentAtMs >= fromMs)
  return counted.filter((send) => send.replicaId === replicaId).length / counted.length
}

test('a replica that is slow once is used again', () => {
  const sends = runCallers((replicaId, nowMs) => ({ status: 200, tookMs: replicaId === 'a' && nowMs < 250 ? SLOW_MS : USUAL_MS }), 30_000)
  assert.ok(shareOf(sends, 'a', 20_000) >= 0.1, `share ${shareOf(sends, 'a', 20_000)}`)
})

test('a replica that is slow for ten seconds is used again', () => {
  const sends = runCallers((replicaId, nowMs) => ({ status: 200, tookMs: replicaId === 'a' && nowMs < 10_000 ? SLOW_MS : USUAL_MS }), 60_000)
  assert.ok(shareOf(sends, 'a', 40_000) >= 0.1, `share ${shareOf(sends, 'a', 40_000)}`)
})

test('a replica that fails for five seconds is used again', () => {
  const sends = runCallers((replicaId, nowMs) => ({ status: replicaId === 'a' && nowMs < 5_000 ? 500 : 200, tookMs: USUAL_MS }), 90_000)
  assert.ok(shareOf(sends, 'a', 60_000) >= 0.1, `share ${shareOf(sends, 'a', 60_000)}`)
})

test('after a pause that all replicas seem slow in, all are used', () => {
  const sends = runCallers((_, nowMs) => ({ status: 200, tookMs: nowMs < 250 ? 250 + USUAL_MS - nowMs : USUAL_MS }), 10_000)
  for (const { replicaId } of REPLICAS) assert.ok(shareOf(sends, replicaId, 2_000) >= 0.1, `${replicaId}: share ${shareOf(sends, replicaId, 2_000)}`)
})

test('a replica that stays slow gets few requests', () => {
  const sends = runCallers((replicaId) => ({ status: 200, tookMs: replicaId === 'a' ? SLOW_MS : USUAL_MS }), 60_000)
  assert.ok(shareOf(sends, 'a', 10_000) <= 0.01, `share ${shareOf(sends, 'a', 10_000)}`)
})

test('a replica that keeps failing gets few requests', () => {
  const sends = runCallers((replicaId) => ({ status: replicaId === 'a' ? 500 : 200, tookMs: USUAL_MS }), 60_000)
  assert.ok(shareOf(sends, 'a', 10_000) <= 0.01, `share ${shareOf(sends, 'a', 10_000)}`)
})

test.run()
