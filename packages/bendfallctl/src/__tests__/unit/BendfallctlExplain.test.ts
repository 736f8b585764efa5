import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explainFailures, explainRequest } from '../../BendfallctlExplain.js'

const ENTRY = [
  'time=2026-01-01T00:00:00.000Z level=info event=admitted instance=entry-1 request=aa ageMs=0',
  'time=2026-01-01T00:00:00.004Z level=info event=reservation_refused instance=entry-1 request=aa replica=r1',
  'time=2026-01-01T00:00:00.005Z level=info event=refused instance=entry-1 request=aa status=503 reason=no_memory phase=reserve',
  'time=2026-01-01T00:00:01.000Z level=info event=run_failed instance=entry-1 request=bb failure=unknown',
  'time=2026-01-01T00:00:02.000Z level=info event=answered instance=entry-1 request=bb isLate=true',
  'time=2026-01-01T00:00:03.000Z level=warn event=store_lost instance=entry-1 detail="no answer: \\"timeout\\""',
  'time=2026-01-01T00:00:04.000Z level=info event=cut instance=entry-1 request=cc reason=replica_failed',
  'time=2026-01-01T00:00:05.000Z level=info event=ref',
  'time=2026-01-01T00:00:06.000Z level=info event=refused instance=entry-1 detail="no an'
]
const SIDECAR = ['   3.1 side-1 time=2026-01-01T00:00:00.003Z level=info event=booking_refused instance=side-1 booking=aa/1 roomTokens=-20']

async function withFiles (run: (files: string[]) => Promise<void>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'bendfall-explain-'))
  const files = [SIDECAR, ENTRY].map((lines, index) => join(folder, `${index}.log`))
  try {
    writeFileSync(files[0] as string, SIDECAR.join('\n'))
    writeFileSync(files[1] as string, ENTRY.join('\n'))
    await run(files)
  } finally {
    rmSync(folder, { recursive: true })
  }
}

test('the lines of a request from its entry and its ledgers are merged by time', () => withFiles(async (files) => {
  const { exit, text } = await explainRequest('aa', files)
  assert.is(exit, 'done')
  assert.equal(text.split('\n').slice(0, 4).map((line) => line.trim().split(/ {2}/)[2]), ['admitted', 'booking_refused', 'reservation_refused', 'refused'])
}))

test('failures are listed by cause, including an intermediate failure before the end', () => withFiles(async (files) => {
  const { json } = await explainFailures(files)
  assert.equal((json as { causes: unknown }).causes, [
    { cause: 'refused 503 no_memory in reserve after reservation_refused', count: 1, requestIds: ['aa'] },
    { cause: 'cut replica_failed', count: 1, requestIds: ['cc'] }
  ])
}))

test('late responses are listed by their longest wait, and all outcomes by second', () => withFiles(async (files) => {
  const { json, text } = await explainFailures(files)
  const { late, seconds } = json as { late: unknown, seconds: unknown }
  assert.equal(late, [{ cause: 'answered', count: 1, meanMs: 1_000 }])
  assert.equal(seconds, [
    { second: 0, answered: 0, late: 0, refused: 1, cut: 0, cancelled: 0 },
    { second: 1, answered: 0, late: 1, refused: 0, cut: 0, cancelled: 0 },
    { second: 3, answered: 0, late: 0, refused: 0, cut: 1, cancelled: 0 }
  ])
  assert.match(text, /1 {2}late, longest wait before answered, 1000 ms on average/)
}))

test('truncated lines are counted and skipped', () => withFiles(async (files) => {
  const { text } = await explainFailures(files)
  assert.match(text, '2 lines are not from bendfall')
}))

test('an id without any log line is a failure', () => withFiles(async (files) => {
  const { exit, text } = await explainRequest('zz', files)
  assert.is(exit, 'failed')
  assert.match(text, 'no line has the request zz')
}))

test('a missing file is reported with its path', async () => {
  const { exit, text } = await explainFailures(['/nowhere/entry.log'])
  assert.is(exit, 'findings')
  assert.match(text, 'not read: /nowhere/entry.log')
})

test.run()
