import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { clearCrashes, listCrashes } from '../../BendfallctlCrashes.js'

const NOW = new Date('2026-03-01T10:00:00Z')

/** A service that holds entries. */
function serviceOf (values: Readonly<Record<string, string>>): { readonly port: KeyValuePort, readonly entries: Map<string, KeyValueEntry> } {
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

const REPORT = (processes: readonly string[]): string => JSON.stringify({ suspects: [{ fingerprint: 'f1', processes }], cleared: [] })

test('what several entries saw of one request is listed together', async () => {
  const { port } = serviceOf({ 'bendfall/crashes/entry-1': REPORT(['a/1', 'b/1']), 'bendfall/crashes/entry-2': REPORT(['b/1', 'c/1']) })
  const { exit, text } = await listCrashes(port)
  assert.is(exit, 'done')
  assert.match(text, /f1 +3 +a\/1 b\/1 c\/1 +entry-1 entry-2/)
})

test('the list is cleared with its digest, and is empty then', async () => {
  const { entries, port } = serviceOf({ 'bendfall/crashes/entry-1': REPORT(['a/1']) })
  const { digest } = (await listCrashes(port)).json as { readonly digest: string }
  assert.is((await clearCrashes(port, digest, NOW)).exit, 'done')
  assert.is(entries.get('bendfall/crashes-cleared')?.value, NOW.toISOString())
  assert.is((await listCrashes(port)).text, 'No request is suspected.')
})

test('a list that has changed is not cleared', async () => {
  const { entries, port } = serviceOf({ 'bendfall/crashes/entry-1': REPORT(['a/1']) })
  assert.is((await clearCrashes(port, 'stale', NOW)).exit, 'conflict')
  assert.is(entries.has('bendfall/crashes-cleared'), false)
})

test('a report that can not be read is a finding, and hides no other', async () => {
  const { port } = serviceOf({ 'bendfall/crashes/entry-1': '{"suspects":[{}]}', 'bendfall/crashes/entry-2': REPORT(['a/1']) })
  const { exit, text } = await listCrashes(port)
  assert.is(exit, 'findings')
  assert.match(text, /f1/)
  assert.match(text, /not read: /)
})

test.run()
