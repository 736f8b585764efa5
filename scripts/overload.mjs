// Compares choices of the decisions under overload, in virtual time: bursts of 1.5, 2 and 4 times the
// load that the memory of the decode replicas supports. Prints what callers get in total over the seeds.
//   node scripts/overload.mjs crowd widening       switches to compare, each alone, or together as widening:none,waiting:stays
//   node scripts/overload.mjs --short widening      three of the nine bursts
//   node scripts/overload.mjs --entries widening    with 5, 25, 84 and 840 entries, twice the load for 4 s, one seed
import { DECISION_CHOICES } from 'bendfall-router'
import { tallyAttempts } from '../packages/bendfall-router/dist/__tests__/unit/AttemptTally.js'
import { simulateLoad } from '../packages/bendfall-router/dist/__tests__/unit/LoadSimulation.js'

const SEEDS = [11, 12, 13, 14, 15]

/** Streams per second that the memory of one decode replica supports, at a mean of 3,600 tokens for 3.5 s. */
const PER_DECODE = 3.2

const DECODES = 4

const SHORT = [{ factor: 1.5, seconds: 6 }, { factor: 2, seconds: 6 }, { factor: 4, seconds: 3 }]

/** Decode replicas for each number of entries. */
const FLEETS = { 5: 8, 25: 16, 84: 32, 840: 48 }

const BURSTS = [1.5, 2, 4].flatMap((factor) => [3, 6, 10].map((seconds) => ({ factor, seconds })))

function loadOf ({ decodes = DECODES, entries = 5, factor, seconds }) {
  const usual = 0.7 * PER_DECODE * decodes
  const steady = (count, perSecond) => Array.from({ length: count }, () => Math.round(perSecond))
  return { prefills: decodes, decodes, entries, waitSpread: 0.05, isJudged: true, perSecond: [...steady(4, usual), ...steady(seconds, factor * PER_DECODE * decodes), ...steady(6, usual)] }
}

const FIELDS = ['asked', 'onTime', 'unserved', 'refusals', 'needlessRefusals', 'waits', 'needlessWaits', 'queries', 'attempts']

function total (load, decisions) {
  const results = (load.entries > 5 ? SEEDS.slice(0, 1) : SEEDS).map((seed) => simulateLoad({ ...load, seed, decisions }))
  const sums = Object.fromEntries(FIELDS.map((field) => [field, results.reduce((sum, result) => sum + result[field], 0)]))
  const { heldShare, refusedP95Ms, servedMs } = tallyAttempts(results.flatMap(({ tries }) => tries))
  return { ...sums, heldShare, refusedP95Ms, servedMs, maxQueries: Math.max(...results.map(({ maxQueries }) => maxQueries)), maxReturns: Math.max(...results.map(({ maxReturns }) => maxReturns)), maxRefusalMs: Math.max(...results.map(({ maxRefusalMs }) => maxRefusalMs)) }
}

const names = process.argv.slice(2).filter((name) => !name.startsWith('--'))
const loads = process.argv.includes('--entries') ? Object.entries(FLEETS).map(([entries, decodes]) => ({ entries: Number(entries), decodes, factor: 2, seconds: 4 })) : process.argv.includes('--short') ? SHORT : BURSTS
const variants = [{}, ...names.flatMap((name) => name.includes(':') ? [Object.fromEntries(name.split(',').map((pair) => pair.split(':')))] : DECISION_CHOICES[name].slice(1).map((choice) => ({ [name]: choice })))]
console.log('| load, s | choice | never | of | first output, ms: median, 95 %, 99 % | refused held over 50 ms, 95 % held, ms | within target (reported) | refusals, needless | waits, needless | queries per attempt, most | most returns in 0.1 s | longest hold, ms |')
console.log('|---|---|---|---|---|---|---|---|---|---|---|---|')
for (const load of loads) {
  for (const decisions of variants) {
    const sum = total(loadOf(load), decisions)
    const label = Object.entries(decisions).map(([name, choice]) => `\`${name}\`, \`${choice}\``).join(', ')
    console.log(`| ${load.factor}, ${load.seconds}${load.entries === undefined ? '' : `, ${load.entries} entries`} | ${label || 'defaults'} | ${sum.unserved} | ${sum.asked} | ${Object.values(sum.servedMs).map((ms) => ms.toFixed(0)).join(', ')} | ${sum.heldShare.toFixed(3)}, ${sum.refusedP95Ms.toFixed(0)} | ${sum.onTime} | ${sum.refusals}, ${sum.needlessRefusals} | ${sum.waits}, ${sum.needlessWaits} | ${(sum.queries / sum.attempts).toFixed(1)}, ${sum.maxQueries} | ${sum.maxReturns} | ${sum.maxRefusalMs.toFixed(0)} |`)
  }
}
