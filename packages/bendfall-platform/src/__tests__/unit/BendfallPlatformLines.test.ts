// Guards against a response that stops the event loop: a long line in chunks of one byte was copied and scanned anew for each.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLineReader } from '../../BendfallPlatformHttpReaders.js'

const LINE_BYTES = 300_000
const MAX_READ_MS = 2_000

test('a long line in chunks of one byte is read in time that grows with its size', () => {
  const lines: string[] = []
  const reader = createLineReader(LINE_BYTES, (line) => { lines.push(line) })
  const bytes = Buffer.from(`${'x'.repeat(LINE_BYTES)}\nä\n`)
  const startedAtMs = performance.now()
  for (let at = 0; at < bytes.length; at += 1) reader.onChunk(bytes.subarray(at, at + 1))
  const tookMs = performance.now() - startedAtMs
  assert.equal(lines.map((line) => line.length), [LINE_BYTES, 1])
  assert.ok(tookMs < MAX_READ_MS, `${tookMs} ms`)
})

test('lines are split wherever chunks are, and the last one needs no line break', () => {
  const text = 'one\n\ntwo\nthree'
  for (let chunkBytes = 1; chunkBytes <= text.length; chunkBytes += 1) {
    const lines: string[] = []
    const reader = createLineReader(LINE_BYTES, (line) => { lines.push(line) })
    for (let at = 0; at < text.length; at += chunkBytes) reader.onChunk(Buffer.from(text.slice(at, at + chunkBytes)))
    reader.end()
    assert.equal(lines, ['one', '', 'two', 'three'])
  }
})

test.run()
