/**
 * Reads the list of known test failures and applies it to test results. Each entry names a single
 * test of a single file, so that any other failure, or a file that does not load, still fails the run.
 */
import { existsSync, readFileSync } from 'node:fs'
import { basename, join } from 'node:path'

const ENTRY_FIELDS = ['file', 'test', 'command', 'seen', 'issue']
const SEPARATOR = ' | '

/**
 * Parses the list. Each line has the form
 * `<test file> | <test name> | <command and seed> | <what was seen> | issue <number>`.
 *
 * @param {string} text - content of the list
 * @returns {{ entries: Array<{ file: string, test: string, command: string, seen: string, issue: string }>, findings: string[] }}
 *   the entries, and a finding with the line number for each invalid line
 */
export function parseKnownRed (text) {
  const entries = []
  const findings = []
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue
    const parts = line.split(SEPARATOR).map((part) => part.trim())
    const isEntry = parts.length === ENTRY_FIELDS.length && parts.every((part) => part !== '') && /^issue \d+$/.test(parts.at(-1))
    if (isEntry) entries.push(Object.fromEntries(ENTRY_FIELDS.map((field, place) => [field, parts[place]])))
    else findings.push(`KNOWN-RED.txt:${index + 1}: not an entry of the form ${ENTRY_FIELDS.join(SEPARATOR)}`)
  }
  return { entries, findings }
}

/**
 * Finds entries whose test no longer exists.
 *
 * @param {Array<{ file: string, test: string }>} entries - entries of the list
 * @param {string[]} sourcePaths - paths of the sources of all tests
 * @returns {string[]} one finding for each such entry
 */
export function findStaleEntries (entries, sourcePaths) {
  const stale = entries.filter(({ file, test }) => {
    const path = sourcePaths.find((one) => basename(one) === file)
    return path === undefined || !readFileSync(path, 'utf8').includes(`'${test}'`)
  })
  return stale.map(({ file, test }) => `KNOWN-RED.txt: no test '${test}' in ${file}`)
}

/**
 * Parses the output of a test file.
 *
 * @param {string} output - output of uvu
 * @param {number | null} code - exit code; null if a signal ended the process
 * @returns {{ passed: number, failed: number, failedTests: string[], isComplete: boolean }}
 *   counts, names of the failed tests, and whether these names account for all failures
 */
export function readResult (output, code) {
  const plain = output.replace(/\x1b\[[0-9;]*m/g, '') // eslint-disable-line no-control-regex
  const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const failed = Math.max(total - passed, code === 0 && total > 0 ? 0 : 1)
  const failedTests = [...plain.matchAll(/^ {2} FAIL {2}.*?"(.*)"$/gm)].map(([, name]) => name)
  const isComplete = total > 0 && total - passed === failedTests.length && (failedTests.length > 0) === (code === 1) && (code === 0 || code === 1)
  return { passed, failed, failedTests, isComplete }
}

/**
 * Separates the known failures of a file from others.
 *
 * @param {Array<{ file: string, test: string }>} entries - entries of the list
 * @param {{ file: string, failedTests: string[], isComplete: boolean, failed: number }} result - result of the file
 * @returns {{ known: string[], hasUnlistedFailure: boolean }} listed failures, and whether there are others
 */
export function judgeResult (entries, { file, failedTests, isComplete, failed }) {
  if (failed === 0) return { known: [], hasUnlistedFailure: false }
  const source = basename(file).replace(/\.js$/, '.ts')
  const names = new Set(entries.filter((entry) => entry.file === source).map(({ test }) => test))
  const known = failedTests.filter((test) => names.has(test))
  return { known, hasUnlistedFailure: !isComplete || known.length < failedTests.length }
}

/**
 * Reads KNOWN-RED.txt of a checkout.
 *
 * @param {string} root - root folder of the checkout
 * @returns {string} content of the list; empty if there is none
 */
export function readKnownRed (root) {
  const path = join(root, 'KNOWN-RED.txt')
  return existsSync(path) ? readFileSync(path, 'utf8') : ''
}
