// Prints the results of the plain overload simulation: node dist/__tests__/unit/PlainOverloadTable.js [queued|immediate] [seconds] [scenario] [entries]
import { tallyAttempts } from './AttemptTally.js'
import { simulatePlain } from './PlainOverloadSimulation.js'
import type { PlainResult, PlainScenario } from './PlainOverloadSimulation.js'

type Scenario = Omit<PlainScenario, 'entries' | 'seconds' | 'seed' | 'decisions'>

const PEAK = 1.5

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  ...Object.fromEntries([1, 2, 3].flatMap((replicas) => [0.5, 0.9, 1.1, 1.5, 2].map((load) => [`${replicas} replicas, load ${load}`, { speeds: Array.from({ length: replicas }, () => 1), load: () => load }]))),
  'uneven speeds, load 0.9': { speeds: [0.7, 0.9, 1.4], load: () => 0.9 },
  'uneven speeds, load 1.5': { speeds: [0.7, 1, 1.7], load: () => PEAK },
  'burst of 5 s, load 2': { speeds: [1, 1, 1], load: (atMs) => atMs >= 5_000 && atMs < 10_000 ? 2 : 0.6 },
  'one of three leaves and returns, load 0.9': { speeds: [1, 1, 1], load: () => 0.9, isUp: (replica, atMs) => replica > 0 || atMs < 5_000 || atMs >= 10_000 },
  'two of three leave and return, load 0.7': { speeds: [1, 1, 1], load: () => 0.7, isUp: (replica, atMs) => replica > 1 || atMs < 5_000 || atMs >= 10_000 },
  'a third returns at once, load 1.5': { speeds: [1, 1, 1], load: () => PEAK, impatientShare: 1 / 3 }
}

const [choice = 'queued', seconds = '20', part = '', count = '1,5,25'] = process.argv.slice(2)

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  if (!name.includes(part)) continue
  for (const entries of count.split(',').map(Number)) {
    const result = simulatePlain({ ...scenario, entries, seconds: Number(seconds), seed: 1, decisions: { plainOverload: choice === 'immediate' ? 'immediate' : 'queued' } })
    console.log(`${name.padEnd(42)} ${String(entries).padStart(2)} entries: ${format(result)}`)
  }
}

// What the first attempts and the repeats got: share served, time to the answer, and how long refused ones were held.
function formatTries (tries: PlainResult['tries'], label: string): string {
  const { abandoned, attempts, heldShare, refusedP95Ms, servedMs: { p50, p95, p99 }, servedShare } = tallyAttempts(tries)
  return `${label} ${servedShare.toFixed(3)} of ${attempts} in ${[p50, p95, p99].map((ms) => ms.toFixed(0)).join('/')} ms, refused in ${refusedP95Ms.toFixed(0)} ms, ${heldShare.toFixed(3)} held, open ${abandoned};`
}

function format ({ extraSends, late, maxWaiting, never, onTime, ran, reasons, refusedOfCalls, refusedShare, returnsPeak, sentTooLate, tries, usedShare, violations }: PlainResult): string {
  const shares = [['onTime', onTime], ['late', late], ['never', never], ['refused', refusedShare], ['ofCalls', refusedOfCalls], ['used', usedShare]].map(([label, share]) => `${label} ${Number(share).toFixed(3)}`).join(' ')
  const attempts = [formatTries(tries.filter(({ number }) => number === 1), 'first'), formatTries(tries.filter(({ number }) => number > 1), 'later')].join(' ')
  return `${attempts} ${shares} peak ${returnsPeak} waiting ${maxWaiting} extra ${extraSends} ran ${ran.join('/')} faults ${violations}/${sentTooLate} ${JSON.stringify(reasons)}`
}
