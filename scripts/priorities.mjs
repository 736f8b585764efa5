// What urgent streams get while others load the same memory, in virtual time (four decode replicas, five
// entries, five seeds): alone, during a burst of less urgent streams, and beside callers that retry at
// once; and what less urgent streams get beside urgent ones that take all memory.
//   node scripts/priorities.mjs floor:none passing:none      variants beside the defaults
import { simulateLoad } from '../packages/bendfall-router/dist/__tests__/unit/LoadSimulation.js'

const SEEDS = [11, 12, 13, 14, 15]

/** Streams per second that the memory of one decode replica supports. */
const PER_DECODE = 3.2

const CAPACITY = 4 * PER_DECODE

const flat = (count, share) => Array.from({ length: count }, () => Math.round(share * CAPACITY))

const SHARED = { prefills: 4, decodes: 4, entries: 5, waitSpread: 0.05 }
const none = Array.from({ length: 14 }, () => 0)
const burst = [...flat(4, 0.05), ...flat(5, 2), ...flat(5, 0.05)]

const CASES = {
  'urgent at 0.7 alone': { perSecond: flat(14, 0.7), lessUrgentPerSecond: none },
  'urgent at 0.7, less urgent at 2 for 5 s': { perSecond: flat(14, 0.7), lessUrgentPerSecond: burst },
  'the same, a third retry at once': { perSecond: flat(14, 0.7), lessUrgentPerSecond: burst, eagerShare: 1 / 3 },
  'urgent at 1.5, less urgent at 0.05': { perSecond: flat(14, 1.5), lessUrgentPerSecond: flat(14, 0.05) },
  'urgent at 0.9, less urgent at 0.2, prompts doubled': { perSecond: flat(14, 0.9), lessUrgentPerSecond: flat(14, 0.2), lessUrgentSize: 2 }
}

const variants = [{}, ...process.argv.slice(2).map((list) => Object.fromEntries(list.split(',').map((pair) => pair.split(':'))))]
console.log('| load | choice | urgent: on time, late, never, of | less urgent: on time, late, never, of |')
console.log('|---|---|---|---|')
for (const [name, load] of Object.entries(CASES)) {
  for (const decisions of variants) {
    const results = SEEDS.map((seed) => simulateLoad({ ...SHARED, ...load, seed, decisions }))
    const describe = (pick) => ['onTime', 'late', 'unserved', 'asked'].map((field) => results.reduce((sum, result) => sum + pick(result)[field], 0)).join(', ')
    console.log(`| ${name} | ${Object.entries(decisions).flat().join(' ') || 'defaults'} | ${describe((result) => result)} | ${describe(({ lessUrgent }) => lessUrgent)} |`)
  }
}
