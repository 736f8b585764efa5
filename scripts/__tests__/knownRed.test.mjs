// The runner passes over the test that an entry of KNOWN-RED.txt names, and nothing else.
// It once passed over the whole file: with a library missing the file did not load, and the
// run closed with "0 passed, 1 failed" and exit code 0.
import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, mkdtempSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const ROOT = new URL('../..', import.meta.url).pathname
const ENTRY = 'Sample.test.ts | the known one | node scripts/test.mjs Sample | seen once | issue 7\n'
const BOTH = (known, other) => `import { test } from 'uvu'
test('the known one', () => { ${known} })
test('another', () => { ${other} })
test.run()
`
const FAIL = "throw new Error('as known')"

// A checkout with one compiled test file beside the runner of this one.
function runSample (compiled, knownRed, source = compiled) {
  const root = mkdtempSync(join(tmpdir(), 'bendfall-runner-'))
  try {
    for (const folder of ['scripts', 'platform', 'packages/sample/src/__tests__', 'packages/sample/dist/__tests__']) mkdirSync(join(root, folder), { recursive: true })
    for (const name of ['test.mjs', 'knownRed.mjs']) cpSync(join(ROOT, 'scripts', name), join(root, 'scripts', name))
    symlinkSync(join(ROOT, 'node_modules'), join(root, 'node_modules'))
    writeFileSync(join(root, 'package.json'), '{"type":"module"}')
    writeFileSync(join(root, 'packages/sample/src/__tests__/Sample.test.ts'), source)
    writeFileSync(join(root, 'packages/sample/dist/__tests__/Sample.test.js'), compiled)
    writeFileSync(join(root, 'KNOWN-RED.txt'), knownRed)
    const { status, stdout } = spawnSync(process.execPath, ['scripts/test.mjs'], { cwd: root, encoding: 'utf8' })
    return { status, stdout, lastLine: stdout.trim().split('\n').at(-1) }
  } finally {
    rmSync(root, { recursive: true })
  }
}

test('all pass', () => {
  const { status, lastLine } = runSample(BOTH('', ''), '')
  assert.is(lastLine, '2 passed, 0 failed')
  assert.is(status, 0)
})

test('the listed test fails: counted, printed, passed over', () => {
  const { status, stdout, lastLine } = runSample(BOTH(FAIL, ''), ENTRY)
  assert.match(stdout, /known red: .*Sample.test.js "the known one"/)
  assert.is(lastLine, '1 passed, 1 failed')
  assert.is(status, 0)
})

test('the listed test passes', () => {
  const { status, lastLine } = runSample(BOTH('', ''), ENTRY)
  assert.is(lastLine, '2 passed, 0 failed')
  assert.is(status, 0)
})

test('another test of the file fails, alone or beside the listed one', () => {
  for (const known of ['', FAIL]) {
    assert.is(runSample(BOTH(known, FAIL), ENTRY).status, 1)
  }
})

test('the file does not load', () => {
  const { status, lastLine } = runSample(`import 'no-such-library'\n${BOTH('', '')}`, ENTRY)
  assert.is(lastLine, '0 passed, 1 failed')
  assert.is(status, 1)
})

test('the process ends itself after the listed failure', () => {
  assert.is(runSample(`${BOTH(FAIL, '')}process.on('exit', () => { process.exitCode = 3 })\n`, ENTRY).status, 1)
})

test('an entry whose test or file no longer exists', () => {
  assert.is(runSample(BOTH('', ''), ENTRY.replace('the known one', 'a former one')).status, 1)
  assert.is(runSample(BOTH('', ''), ENTRY.replace('Sample.test.ts', 'Former.test.ts')).status, 1)
})

test('a line that is no entry, with its place', () => {
  const { status, stdout } = runSample(BOTH('', ''), `${ENTRY}Sample.test.ts, seen once, issue 7\n`)
  assert.match(stdout, /KNOWN-RED.txt:2:/)
  assert.is(status, 1)
})

test('more than three entries', () => {
  assert.is(runSample(BOTH('', ''), ENTRY.repeat(4)).status, 0)
})

test('no test at all is no success', () => {
  assert.is(runSample('', '').status, 1)
})

test.run()
