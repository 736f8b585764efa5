import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { cellKey, compareWithBase, createVariant, openResults, pairedDifference, parseSwitches, toMarkdown } from '../../index.js'
import type { Outcome } from '../../index.js'

function outcomeOf (variant: string, seed: number, worth: number, brokenRules: readonly string[] = []): Outcome {
  return { variant, site: 'mill', day: 'quiet', seed, worth, servedShare: worth, brokenRules }
}

test('the interval of paired differences follows the t distribution', () => {
  const { halfWidth, isNoise, mean } = pairedDifference([0.1, 0.2, 0.3])
  assert.ok(Math.abs(mean - 0.2) < 1e-9)
  assert.ok(Math.abs(halfWidth - 4.303 * 0.1 / Math.sqrt(3)) < 1e-3)
  assert.is(isNoise, true)
  assert.is(pairedDifference([0.2, 0.21, 0.19]).isNoise, false)
})

test('a single pair is always noise', () => {
  assert.is(pairedDifference([0.5]).isNoise, true)
})

test('only outcomes with the same day and seed form a pair', () => {
  const rows = compareWithBase([outcomeOf('base', 1, 0.5), outcomeOf('base', 2, 0.6), outcomeOf('off', 1, 0.4, ['LOST']), outcomeOf('off', 3, 0.1)], 'base')
  assert.is(rows.length, 1)
  assert.is(rows[0]?.gain.pairs, 1)
  assert.ok(Math.abs((rows[0]?.gain.mean ?? 0) - 0.1) < 1e-9)
  assert.match(toMarkdown(rows), /\| off \| mill \| 1 \| \+0\.100 .* LOST \|/)
})

test('results survive an interrupted write that leaves a truncated line', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'compare-'))
  const path = join(folder, 'results.jsonl')
  const first = await openResults(path)
  await first.add(outcomeOf('base', 1, 0.5))
  await writeFile(path, `${await readFile(path, 'utf8')}\n{"variant":"ba`)
  const second = await openResults(path)
  assert.equal([...second.outcomes.keys()], [cellKey(outcomeOf('base', 1, 0.5))])
  assert.equal(second.unreadLines, [3])
  await second.add(outcomeOf('base', 2, 0.6))
  assert.is((await openResults(path)).outcomes.size, 2)
  await rm(folder, { recursive: true })
})

test('an unknown mechanism or choice is reported by name', () => {
  assert.match(parseSwitches('speed=fast').unwrapErr(), /"speed" is not a mechanism/)
  assert.match(parseSwitches('read=aloud').unwrapErr(), /"aloud" is not a choice of read; known: by_forecast/)
  assert.equal(parseSwitches('read=apart').unwrap(), [{ decision: 'read', choice: 'apart' }])
})

test('a switched variant differs from the base in one setting', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'compare-'))
  const base = { name: 'base', folder: join(folder, 'base') }
  await mkdir(join(base.folder, 'deploy'), { recursive: true })
  await writeFile(join(base.folder, 'deploy', 'settings.json.template'), '{\n  "decisions": {}\n}\n')
  const variant = await createVariant(base, { decision: 'read', choice: 'apart' })
  assert.is(variant.name, 'read=apart')
  assert.is(await readFile(join(variant.folder, 'deploy', 'settings.json.template'), 'utf8'), '{\n  "decisions": {"read":"apart"}\n}\n')
  await rm(folder, { recursive: true })
})

test.run()
