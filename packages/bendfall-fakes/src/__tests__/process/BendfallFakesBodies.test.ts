// Guards against callers that make an entry use up its memory with the bodies of their requests: it was killed with
// all requests on it. The memory guard counted a body only once it was complete, and a body in tiny chunks cost
// far more than its bytes. The tests read the memory of a real process from outside.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRandom } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import { buildBundle } from './BundleHarness.js'
import type { Bundle } from './BundleHarness.js'
import { drawBurst, MEMORY_MB, withBodiesHarness } from './BodiesHarness.js'
import type { BodyBurst, BurstOutcome } from './BodiesHarness.js'

const LARGE: BodyBurst = { callers: 34, bodyBytes: 4_194_304, isChunked: false, chunkBytes: 65_536, withheldBytes: 0, durationMs: 2_500 }

/** Share of sound small calls that are served beside a burst. */
const MIN_SMALL_SHARE = 0.95

/** Seeds of the drawn bursts, `FIRST-LAST`; a short run in CI. */
const [FIRST_SEED = 1, LAST_SEED = FIRST_SEED] = (process.env['BENDFALL_BODY_SEEDS'] ?? '1-2').split('-').map(Number)
const BURSTS_PER_SEED = 4

const BURSTS: Readonly<Record<string, readonly BodyBurst[]>> = {
  'large bodies of a declared length, five times, leave the entry within its memory, and small calls are served': Array.from({ length: 5 }, () => LARGE),
  'large bodies in chunks leave the entry within its memory, and small calls are served': [{ ...LARGE, isChunked: true }],
  'a large body in chunks of one byte leaves the entry within its memory, and small calls are served': [{ ...LARGE, callers: 1, isChunked: true, chunkBytes: 1, durationMs: 8_000 }],
  'large bodies whose last bytes are withheld, twice, leave the entry within its memory, and small calls are served': Array.from({ length: 2 }, () => ({ ...LARGE, callers: 60, withheldBytes: 100 }))
}

function check (burst: BodyBurst, { isRunning, peakMb, smallCalls, smallCallsServed, statuses }: BurstOutcome): void {
  const seen = `${JSON.stringify(burst)}: ${JSON.stringify(statuses)}, ${smallCallsServed} of ${smallCalls} small calls served, ${Math.round(peakMb)} MB`
  if (process.env['BENDFALL_BODY_SEEDS'] !== undefined) console.log(seen)
  assert.ok(isRunning, `ended: ${seen}`)
  assert.ok(peakMb <= MEMORY_MB, seen)
  assert.ok(smallCallsServed >= MIN_SMALL_SHARE * smallCalls, seen)
}

let bundle: Bundle
test.before(() => { bundle = buildBundle() })
test.after(() => bundle.remove())

for (const [name, bursts] of Object.entries(BURSTS)) {
  test(name, async () => {
    await withBodiesHarness(bundle, async ({ play }) => {
      for (const burst of bursts) check(burst, await play(burst))
    })
  })
}

test('drawn bursts of bodies leave the entry within its memory, and small calls are served', async () => {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    const random = createRandom(seed)
    await withBodiesHarness(bundle, async ({ play }) => {
      for (let count = 0; count < BURSTS_PER_SEED; count++) {
        const burst = drawBurst(random)
        check(burst, await play(burst))
      }
    })
  }
})

test.run()
