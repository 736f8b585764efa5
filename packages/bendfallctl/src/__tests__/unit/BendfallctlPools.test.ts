import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { confirmPools, planPools } from '../../BendfallctlPools.js'

const INTENT = { usualPrefillShare: 0.25, leastPrefillShare: 0.1, leastPrefillReplicas: 1, mostPrefillShare: 0.5 }

async function writeDocument (value: unknown): Promise<string> {
  const path = join(await mkdtemp(join(tmpdir(), 'bendfall-pools-')), 'pools.json')
  await writeFile(path, JSON.stringify(value))
  return path
}

test('a plan shows the changes and the digest to confirm', async () => {
  const path = await writeDocument({ intent: INTENT, confirmedDigest: '' })
  const result = await planPools(path, { prefills: 4, decodes: 8 })
  assert.is(result.exit, 'done')
  assert.match(result.text, /to decode {2}1/)
  assert.is((result.json as { readonly isConfirmed: boolean }).isConfirmed, false)
})

test('a confirmation with the digest of the plan is written to the file', async () => {
  const path = await writeDocument({ intent: INTENT, confirmedDigest: '' })
  const { digest } = (await planPools(path, { prefills: 4, decodes: 8 })).json as { readonly digest: string }
  assert.is((await confirmPools(path, digest)).exit, 'done')
  assert.is(JSON.parse(await readFile(path, 'utf8')).confirmedDigest, digest)
})

test('a stale digest confirms nothing', async () => {
  const path = await writeDocument({ intent: INTENT, confirmedDigest: '' })
  assert.is((await confirmPools(path, 'stale')).exit, 'conflict')
  assert.is(JSON.parse(await readFile(path, 'utf8')).confirmedDigest, '')
})

test('a share that is not a number is a finding with its JSON pointer', async () => {
  const path = await writeDocument({ intent: { ...INTENT, usualPrefillShare: 'most' }, confirmedDigest: '' })
  const result = await planPools(path, { prefills: 4, decodes: 8 })
  assert.is(result.exit, 'findings')
  assert.match(result.text, /intent\/usualPrefillShare/)
})

test.run()
