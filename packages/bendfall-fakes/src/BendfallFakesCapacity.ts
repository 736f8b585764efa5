/**
 * Entry point of `npm run capacity`: measures the cost of each mechanism on
 * this machine and extrapolates it to the target size of a deployment. Needs
 * `node --expose-gc`.
 *
 * @module
 */
import { cpus, loadavg } from 'node:os'
import { entryRows } from './capacity/BendfallFakesCapacityEntryRows.js'
import { measureFacts } from './capacity/BendfallFakesCapacityFacts.js'
import { remedies } from './capacity/BendfallFakesCapacityRemedies.js'
import { sumRows } from './capacity/BendfallFakesCapacityRow.js'
import { serviceRows, watcherRows } from './capacity/BendfallFakesCapacityServiceRows.js'
import { homeRows, sidecarRows } from './capacity/BendfallFakesCapacitySidecarRows.js'
import { formatCosts, formatRemedies, formatSlopes } from './capacity/BendfallFakesCapacityTable.js'

const { facts, slopes } = await measureFacts(process.memoryUsage().rss)
const rows = [...entryRows(facts), ...sidecarRows(facts), ...homeRows(facts), ...watcherRows(facts), ...serviceRows(facts)]

console.log(`Node.js ${process.version}, ${cpus().length} cores, load average ${loadavg()[0].toFixed(1)} at the end of the measurements.\n`)
console.log(`## Slopes\n\n${formatSlopes(slopes)}\n`)
console.log(`## Constants\n\n${JSON.stringify({ ...facts.wireBytes, ...facts.constants, ...facts.timings, config: facts.configBytes }, undefined, 2)}\n`)
console.log(`## Costs at target size\n\n${formatCosts(rows)}\n`)
console.log(`## Totals\n\n${formatCosts(sumRows(rows))}\n`)
console.log(`## Remedies\n\n${formatRemedies(remedies(facts))}`)
