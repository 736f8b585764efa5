// The test runner must tolerate only the failing test that an entry of KNOWN-RED.txt names. It used
// to tolerate any failure of the whole file: when a library was missing, the file did not load, and
// the run ended with "0 passed, 1 failed" and exit code 0.
import { spawnSync } from 'node:child_process'
import { cpSync, mkdirSync, mkdtempSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const ROOT = new URL('../..', import.meta.url).pathname
const ENTRY = 'Sample.test.ts | the known one | node scripts/test.mjs Sample | seen once | issue 7\n'
const createTestFile = (listedBody, otherBody) => `import { test } from 'uvu'
test('the known one', () => { ${listedBody} })
test('another', () => { ${otherBody} })
test.run()
`
const THROW = "throw new Error('as known')"

// Runs a copy of this checkout's test runner in a temporary checkout with a single compiled test file.
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

test('succeeds if all tests pass', () => {
  const { status, lastLine } = runSample(createTestFile('', ''), '')
  assert.is(lastLine, '2 passed, 0 failed')
  assert.is(status, 0)
})

test('counts, prints and tolerates the failure of a listed test', () => {
  const { status, stdout, lastLine } = runSample(createTestFile(THROW, ''), ENTRY)
  assert.match(stdout, /known red: .*Sample.test.js "the known one"/)
  assert.is(lastLine, '1 passed, 1 failed')
  assert.is(status, 0)
})

test('succeeds if a listed test passes', () => {
  const { status, lastLine } = runSample(createTestFile('', ''), ENTRY)
  assert.is(lastLine, '2 passed, 0 failed')
  assert.is(status, 0)
})

test('fails if another test of the file fails, alone or together with the listed one', () => {
  for (const known of ['', THROW]) {
    assert.is(runSample(createTestFile(known, THROW), ENTRY).status, 1)
  }
})

test('fails if the file does not load', () => {
  const { status, lastLine } = runSample(`import 'no-such-library'\n${createTestFile('', '')}`, ENTRY)
  assert.is(lastLine, '0 passed, 1 failed')
  assert.is(status, 1)
})

test('fails if the process sets another exit code after the listed failure', () => {
  assert.is(runSample(`${createTestFile(THROW, '')}process.on('exit', () => { process.exitCode = 3 })\n`, ENTRY).status, 1)
})

test('fails if the test or file of an entry no longer exists', () => {
  assert.is(runSample(createTestFile('', ''), ENTRY.replace('the known one', 'a removed one')).status, 1)
  assert.is(runSample(createTestFile('', ''), ENTRY.replace('Sample.test.ts', 'Removed.test.ts')).status, 1)
})

test('fails on an invalid line and prints its line number', () => {
  const { status, stdout } = runSample(createTestFile('', ''), `${ENTRY}Sample.test.ts, seen once, issue 7\n`)
  assert.match(stdout, /KNOWN-RED.txt:2:/)
  assert.is(status, 1)
})

test('accepts more than three entries', () => {
  assert.is(runSample(createTestFile('', ''), ENTRY.repeat(4)).status, 0)
})

test('fails if there are no tests', () => {
  assert.is(runSample('', '').status, 1)
})

test.run()
