// Guards the retry budget while replicas refuse half of the prompts and runs as not run. Callers saw
// no wrong response, but the refusing service received more repeats than all entries together may
// send: 131 to 137 in ten seconds for 275 requests, 111 allowed. There were three causes: a request
// whose prompt was refused was sent to run although no retry was left in the budget (in the log,
// `prefill_failed isRetried=false`, then `sent` of the same request); a refused run whose result was
// gone was charged once for both the prefill and the run; and each entry had a reserve of its own.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateRefusals } from './RefusalSimulation.js'
import type { ServiceTraffic, RefusalScenario } from './RefusalSimulation.js'

const WINDOW_MS = 10_000
const LIMITS = { ratio: 0.2, reserve: 0, windowMs: WINDOW_MS }

/** Refuses half for longer than a window, then everything for two seconds, then 0.8 in bursts of 500 ms. */
function refusedShare (atMs: number): number {
  if (atMs >= 3_000 && atMs < 16_000) return 0.5
  if (atMs >= 18_000 && atMs < 20_000) return 1
  return atMs >= 21_000 && atMs % 2_000 < 500 ? 0.8 : 0
}

function scenarioOf (entries: number, perSecond: number, seed: number): RefusalScenario {
  return { entries, seed, seconds: 26, limits: LIMITS, refusedShare, perSecond: (atMs) => atMs >= 6_000 && atMs < 9_000 ? 2 * perSecond : perSecond }
}

function countIn (sorted: readonly number[], fromMs: number): number {
  return lowerBound(sorted, fromMs + WINDOW_MS) - lowerBound(sorted, fromMs)
}

function lowerBound (sorted: readonly number[], value: number): number {
  let low = 0
  let high = sorted.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((sorted[middle] as number) < value) low = middle + 1
    else high = middle
  }
  return low
}

function assertWithinBudget ({ extraSends, requests }: ServiceTraffic): void {
  const sendTimes = [...extraSends].sort((one, other) => one - other)
  const requestTimes = [...requests].sort((one, other) => one - other)
  for (const fromMs of sendTimes) {
    const allowed = LIMITS.ratio * Math.max(countIn(requestTimes, fromMs), countIn(requestTimes, fromMs - WINDOW_MS), countIn(requestTimes, fromMs - WINDOW_MS / 2))
    const found = countIn(sendTimes, fromMs)
    assert.ok(found <= allowed, `${found} repeats from ${fromMs} ms, ${allowed} allowed`)
  }
}

for (const { entries, perSecond, seeds } of [{ entries: 1, perSecond: 30, seeds: 12 }, { entries: 5, perSecond: 60, seeds: 12 }, { entries: 68, perSecond: 272, seeds: 2 }, { entries: 840, perSecond: 840, seeds: 1 }]) {
  test(`repeats that reach a refusing service stay within the budget with ${entries} entries`, () => {
    for (let seed = 1; seed <= seeds; seed++) {
      const { calls, prompts } = simulateRefusals(scenarioOf(entries, perSecond, seed))
      assertWithinBudget(prompts)
      assertWithinBudget(calls)
    }
  })
}

test('retries are sent and raise the number of served requests', () => {
  const scenario = { ...scenarioOf(5, 60, 3), refusedShare: () => 0.1 }
  const { asked, repeats, served } = simulateRefusals(scenario)
  assert.ok(repeats > 0.08 * asked, `${repeats} repeats`)
  assert.ok(served > 0.95 * asked, `${served} of ${asked} served`)
})

// One send in ten is refused: without retries, 0.9 of the calls and 0.81 of the prompts are served.
const SERVED_WITHOUT_RETRIES = (0.9 + 0.9 ** 2) / 2

test('an entry with four requests per second may retry, which recovers half of the requests lost to refusals', () => {
  const { asked, repeats, served } = simulateRefusals({ ...scenarioOf(68, 272, 1), refusedShare: () => 0.1 })
  assert.ok(repeats > 0.05 * asked, `${repeats} repeats of ${asked}`)
  assert.ok(served >= (1 + SERVED_WITHOUT_RETRIES) / 2 * asked, `${served} of ${asked} served`)
})

test('few prompts are processed in vain while half of the runs are refused', () => {
  const { promptsProcessed, promptsUsed } = simulateRefusals({ ...scenarioOf(5, 60, 2), refusedShare: (atMs) => atMs >= 3_000 ? 0.5 : 0 })
  const lost = promptsProcessed - promptsUsed
  assert.ok(lost < 0.2 * promptsProcessed, `${lost} of ${promptsProcessed} processed in vain`)
})

test('few prompts are processed while no run has ever been accepted', () => {
  const { prompts, promptsProcessed } = simulateRefusals({ ...scenarioOf(5, 60, 2), seconds: 6, refusedShare: () => 0, refusedRuns: () => 1 })
  assert.ok(promptsProcessed < 0.2 * prompts.requests.length, `${promptsProcessed} of ${prompts.requests.length} processed`)
})

test('prompts are processed on prefill replicas again once replicas accept work', () => {
  const { asked, served } = simulateRefusals({ ...scenarioOf(5, 60, 2), refusedShare: (atMs) => atMs >= 3_000 && atMs < 5_000 ? 1 : 0 })
  assert.ok(served > 0.85 * asked, `${served} of ${asked} served`)
})

test.run()
