// Runs all compiled unit and process tests with uvu, one process for each file. The last line of the
// output has the total counts: "N passed, N failed".
import { spawn } from 'node:child_process'
import { existsSync, readdirSync } from 'node:fs'
import { join, relative } from 'node:path'
import { findStaleEntries, judgeResult, parseKnownRed, readKnownRed, readResult } from './knownRed.mjs'

const ROOT = new URL('..', import.meta.url).pathname
const CONCURRENCY = Number(process.env.BENDFALL_TEST_JOBS ?? 4)
// A soak of three seeds takes two minutes on a busy machine; a file that takes this long hangs.
const FILE_TIMEOUT_MS = 300_000
const filters = process.argv.slice(2)

function listPackages () {
  const packages = readdirSync(join(ROOT, 'packages')).sort().map((name) => join('packages', name))
  return [...packages, 'platform']
}

function listFiles (dir, ending) {
  if (!existsSync(dir)) return []
  const entries = readdirSync(dir, { recursive: true }).sort()
  return entries.filter((entry) => entry.endsWith(ending)).map((entry) => join(dir, entry))
}

function findTests () {
  const compiled = listPackages().flatMap((folder) => {
    const dir = join(ROOT, folder, 'dist', '__tests__')
    return listFiles(dir, '.test.js').filter((file) => hasSource(folder, relative(dir, file)))
  })
  const scriptTests = listFiles(join(ROOT, 'scripts', '__tests__'), '.test.mjs')
  return [...compiled, ...scriptTests].filter((file) => filters.every((part) => file.includes(part)))
}

function findSources () {
  return listPackages().flatMap((folder) => listFiles(join(ROOT, folder, 'src', '__tests__'), '.test.ts'))
}

// A compiled test without a source is left over from a previous build.
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
      resolve({ file: relative(ROOT, file), code, output, ...readResult(output, code) })
    })
  })
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
await Promise.all(Array.from({ length: CONCURRENCY }, worker))

const { entries, findings } = parseKnownRed(readKnownRed(ROOT))
findings.push(...findStaleEntries(entries, findSources()))
const judgedResults = results.map((result) => ({ file: result.file, ...judgeResult(entries, result) }))
for (const { file, known } of judgedResults) {
  for (const name of known) console.log(`known red: ${file} "${name}"`)
}
for (const finding of findings) console.log(finding)
const passed = results.reduce((sum, result) => sum + result.passed, 0)
const failed = results.reduce((sum, result) => sum + result.failed, 0)
console.log(`${passed} passed, ${failed} failed`)
const isSuccess = findings.length === 0 && passed > 0 && !judgedResults.some(({ hasUnlistedFailure }) => hasUnlistedFailure)
process.exitCode = isSuccess ? 0 : 1
