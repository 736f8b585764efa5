import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { clearCrashes, listCrashes } from '../../BendfallctlCrashes.js'

const NOW = new Date('2026-03-01T10:00:00Z')

/** Creates a key-value service with initial values. It has only the methods that these tests call. */
function createService (values: Readonly<Record<string, string>>): { readonly port: KeyValuePort, readonly entries: Map<string, KeyValueEntry> } {
  let revision = 0
  const entries = new Map<string, KeyValueEntry>()
  const put = (key: string, value: string): void => { entries.set(key, { key, value, revision: ++revision, leaseId: '' }) }
  for (const [key, value] of Object.entries(values)) put(key, value)
  const port: Partial<KeyValuePort> = {
    list: async (prefix) => ({ type: 'listed', entries: [...entries.values()].filter(({ key }) => key.startsWith(prefix)), storeRevision: revision }),
    get: async (key) => {
      const entry = entries.get(key)
      return entry === undefined ? { type: 'missing', storeRevision: revision } : { type: 'found', entry }
    },
    compareAndSwap: async ({ key, value }) => {
      put(key, value ?? '')
      return { type: 'applied', revision }
    }
  }
  return { port: port as KeyValuePort, entries }
}

const encodeReport = (processes: readonly string[]): string => JSON.stringify({ suspects: [{ fingerprint: 'f1', processes }], cleared: [] })

test('reports of several entries about one request are merged', async () => {
  const { port } = createService({ 'bendfall/crashes/entry-1': encodeReport(['a/1', 'b/1']), 'bendfall/crashes/entry-2': encodeReport(['b/1', 'c/1']) })
  const { exit, text } = await listCrashes(port)
  assert.is(exit, 'done')
  assert.match(text, /f1 +3 +a\/1 b\/1 c\/1 +entry-1 entry-2/)
})

test('the list is empty after it was cleared with its digest', async () => {
  const { entries, port } = createService({ 'bendfall/crashes/entry-1': encodeReport(['a/1']) })
  const { digest } = (await listCrashes(port)).json as { readonly digest: string }
  assert.is((await clearCrashes(port, digest, NOW)).exit, 'done')
  assert.is(entries.get('bendfall/crashes-cleared')?.value, NOW.toISOString())
  assert.is((await listCrashes(port)).text, 'No request is suspected.')
})

test('a list that has changed is not cleared', async () => {
  const { entries, port } = createService({ 'bendfall/crashes/entry-1': encodeReport(['a/1']) })
  assert.is((await clearCrashes(port, 'stale', NOW)).exit, 'conflict')
  assert.is(entries.has('bendfall/crashes-cleared'), false)
})

test('an unreadable report is a finding and does not hide other reports', async () => {
  const { port } = createService({ 'bendfall/crashes/entry-1': '{"suspects":[{}]}', 'bendfall/crashes/entry-2': encodeReport(['a/1']) })
  const { exit, text } = await listCrashes(port)
  assert.is(exit, 'findings')
  assert.match(text, /f1/)
  assert.match(text, /not read: /)
})

test.run()
