// Ablation study in virtual time: compares the router with default choices to the router with one
// mechanism switched, paired by load and seed. Prints the differences in percentage points of the
// requested streams that were on time or unserved, and in the longest hold before a refusal.
import { pairedDifference } from 'bendfall-compare'
import { DECISION_CHOICES } from 'bendfall-router'
import { simulateLoad } from '../packages/bendfall-router/dist/__tests__/unit/LoadSimulation.js'

const SEEDS = [11, 12, 13, 14, 15, 16]

const steady = (perSecond) => Array.from({ length: 15 }, () => perSecond)
const BURST = [8, 8, 8, 8, 8, 16, 16, 16, 16, 8, 8, 8, 8, 8, 8]

const LOADS = {
  'calm, 1 + 5': { prefills: 1, decodes: 5, perSecond: steady(6) },
  'burst, 1 + 5': { prefills: 1, decodes: 5, perSecond: BURST },
  'burst, 2 + 4': { prefills: 2, decodes: 4, perSecond: BURST },
  'overload, 1 + 2': { prefills: 1, decodes: 2, perSecond: steady(12) },
  'overload, 2 + 3': { prefills: 2, decodes: 3, perSecond: steady(14) },
  'prefill lost': { prefills: 1, decodes: 5, perSecond: BURST, lost: [{ replicaId: 'p0', atMs: 3_000 }] },
  'decode lost': { prefills: 2, decodes: 4, perSecond: steady(8), lost: [{ replicaId: 'd0', atMs: 3_000 }] }
}

function playAll (decisions) {
  return Object.values(LOADS).flatMap((load) => SEEDS.map((seed) => simulateLoad({ ...load, seed, decisions })))
}

function percentOf (result, count) {
  return 100 * result[count] / result.asked
}

function describe ({ halfWidth, isNoise, mean }) {
  return `${mean < 0 ? '' : '+'}${mean.toFixed(1)} ± ${halfWidth.toFixed(1)}${isNoise ? ' (noise)' : ''}`
}

const base = playAll({})
console.log('| mechanism, switched to | on time, of a hundred | unserved, of a hundred | longest hold before a refusal, ms |')
console.log('|---|---|---|---|')
for (const [name, [, ...others]] of Object.entries(DECISION_CHOICES)) {
  for (const choice of others) {
    const alternative = playAll({ [name]: choice })
    const onTime = pairedDifference(base.map((result, i) => percentOf(result, 'onTime') - percentOf(alternative[i], 'onTime')))
    const unserved = pairedDifference(base.map((result, i) => percentOf(result, 'unserved') - percentOf(alternative[i], 'unserved')))
    const holdMs = pairedDifference(base.map((result, i) => result.maxRefusalMs - alternative[i].maxRefusalMs))
    console.log(`| \`${name}\`, \`${choice}\` | ${describe(onTime)} | ${describe(unserved)} | ${holdMs.mean.toFixed(0)} |`)
  }
}
