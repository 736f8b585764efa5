// Runs every compiled unit and process test with uvu, one process a file,
// and closes with one line of real counts: "N passed, N failed".
import { spawn } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join, relative } from 'node:path'

const ROOT = new URL('..', import.meta.url).pathname
const PARALLEL = Number(process.env.BENDFALL_TEST_JOBS ?? 4)
const FILE_TIMEOUT_MS = 150_000
const filters = process.argv.slice(2)

function findTests () {
  const files = []
  const packages = readdirSync(join(ROOT, 'packages')).sort().map((name) => join('packages', name))
  for (const folder of [...packages, 'platform']) {
    const dir = join(ROOT, folder, 'dist', '__tests__')
    if (!existsSync(dir)) continue
    for (const entry of readdirSync(dir, { recursive: true }).sort()) {
      if (entry.endsWith('.test.js') && hasSource(folder, entry)) files.push(join(dir, entry))
    }
  }
  return files.filter((file) => filters.every((part) => file.includes(part)))
}

// A compiled test whose source is gone is a leftover of an earlier build.
function hasSource (folder, entry) {
  return existsSync(join(ROOT, folder, 'src', '__tests__', entry.replace(/\.js$/, '.ts')))
}

function runFile (file) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], { cwd: ROOT })
    let output = ''
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS)
    child.stdout.on('data', (chunk) => { output += chunk })
    child.stderr.on('data', (chunk) => { output += chunk })
    child.on('close', (code) => {
      clearTimeout(timer)
      resolve({ file: relative(ROOT, file), code, output, ...readCounts(output, code) })
    })
  })
}

function readCounts (output, code) {
  const plain = output.replace(/\x1b\[[0-9;]*m/g, '') // eslint-disable-line no-control-regex
  const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const failed = Math.max(total - passed, code === 0 && total > 0 ? 0 : 1)
  return { passed, failed }
}

// KNOWN-RED.txt: "<test file>, <cause>, <issue>" a line, three lines at most.
function knownRed () {
  const path = join(ROOT, 'KNOWN-RED.txt')
  if (!existsSync(path)) return []
  const lines = readFileSync(path, 'utf8').split('\n').filter((line) => line.trim() !== '')
  if (lines.length > 3) throw new Error('KNOWN-RED.txt has more than three lines')
  return lines.map((line) => line.split(',')[0].trim())
}

const queue = findTests()
const results = []
async function worker () {
  for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
    const result = await runFile(file)
    results.push(result)
    console.log(`${result.failed === 0 ? 'ok  ' : 'FAIL'} ${result.file} ${result.passed} passed, ${result.failed} failed`)
    if (result.failed > 0) console.log(result.output)
  }
}
await Promise.all(Array.from({ length: PARALLEL }, worker))

const red = knownRed()
const isKnown = (result) => red.some((name) => result.file.includes(name))
const passed = results.reduce((sum, result) => sum + result.passed, 0)
const failed = results.reduce((sum, result) => sum + result.failed, 0)
const fresh = results.filter((result) => result.failed > 0 && !isKnown(result))
for (const result of results.filter((one) => one.failed > 0 && isKnown(one))) {
  console.log(`known red: ${result.file}`)
}
console.log(`${passed} passed, ${failed} failed`)
process.exitCode = fresh.length === 0 && passed > 0 ? 0 : 1
