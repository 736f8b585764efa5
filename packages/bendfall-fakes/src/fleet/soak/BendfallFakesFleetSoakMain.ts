/**
 * Command line of the soak: `npm run soak:fleet -- --seeds 1-50 --seconds 8`. Further plans: `--plan drills`
 * for a store restored from backups, `--plan notices` for replicas that report that they leave or back off
 * while a request crashes replicas, `--plan customers` for API keys that are revoked and reissued and a customer
 * that exceeds its limit, `--plan load` for scarce capacity under hard load, `--plan parts` for prompt parts that crash replicas, `--plan limits` for limits that replicas advertise on the total request rate,
 * `--plan versions` for streams that callers resume while software versions replace one another, and `--plan releases` for
 * the same when all entries are killed.
 *
 * @module
 */
import { parseArgs } from 'node:util'
import { soakFleet } from './BendfallFakesFleetSoak.js'
import type { SoakPlan } from './BendfallFakesSoakPlan.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '1-5' }, seconds: { type: 'string', default: '8' }, plan: { type: 'string', default: 'faults' } } })
const [first = 1, last = first] = values.seeds.split('-').map(Number)

const PLANS: readonly SoakPlan[] = ['faults', 'drills', 'limits', 'load', 'notices', 'customers', 'parts', 'releases', 'versions']
const plan = PLANS.find((one) => one === values.plan)
if (plan === undefined) throw new Error(`--plan: expected one of ${PLANS.join(', ')}, found ${values.plan}`)

let failed = 0
for (let seed = first; seed <= last; seed++) {
  const { answered, calls, evidence, faults, orders, refused, streams, violations } = await soakFleet(seed, Number(values.seconds), plan)
  console.log(`seed ${seed}: ${calls} calls, ${answered} answered, ${refused} refused as not run, ${streams === undefined ? '' : `${streams}, `}${faults.length} faults, ${orders} orders, ${violations.length} violations`)
  for (const violation of violations) console.log(`  ${violation}`)
  if (violations.length === 0) continue
  failed += 1
  console.log(`  faults: ${faults.join('; ')}`)
  for (const line of evidence) console.log(`  ${line}`)
}
console.log(`${last - first + 1 - failed} passed, ${failed} failed`)
process.exitCode = failed === 0 ? 0 : 1
