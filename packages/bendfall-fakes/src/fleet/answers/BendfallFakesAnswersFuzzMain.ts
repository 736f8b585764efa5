/**
 * Command line of the response fuzzer: `npm run fuzz:answers -- FIRST_SEED COUNT`; `--verbose` prints the evidence too.
 *
 * @module
 */
import { createFuzzPlan, fuzzAnswers } from './BendfallFakesAnswersFuzz.js'

const [first = 0, count = 9] = process.argv.slice(2).map(Number)
const isVerbose = process.argv.includes('--verbose')
const SHOWN_CHARACTERS = 900

let failed = 0
for (let seed = first; seed < first + count; seed++) {
  const { calls, ends, evidence, plan, violations } = await fuzzAnswers(createFuzzPlan(seed))
  console.log(`seed ${seed} ${plan.profile} busy ${plan.busyMs} ${plan.isInWorker ? 'apart' : 'together'}: ${calls} calls, ${violations.length} violations, ${JSON.stringify(ends)}`)
  for (const { detail, requestId, type } of violations) console.log(`  ${type} ${requestId}: ${detail.slice(0, SHOWN_CHARACTERS)}`)
  if (isVerbose) for (const line of evidence) console.log(`    ${line}`)
  if (violations.length > 0) failed += 1
}
console.log(`${count - failed} passed, ${failed} failed`)
process.exitCode = failed === 0 ? 0 : 1
