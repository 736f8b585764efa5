/**
 * The list of known failures and what it excuses: one test of one file an entry, so that
 * another failure beside it, or a file that does not load, still fails the run.
 */
import { existsSync, readFileSync } from 'node:fs'
import { basename, join } from 'node:path'

const FIELDS = ['file', 'test', 'command', 'seen', 'issue']
const SEPARATOR = ' | '

/**
 * Reads the list: `<test file> | <test name> | <command and seed> | <what was seen> | issue <number>` a line.
 *
 * @param {string} text - of the list
 * @returns {{ entries: Array<{ file: string, test: string, command: string, seen: string, issue: string }>, findings: string[] }}
 *   the entries, and each line that is none with its place
 */
export function parseKnownRed (text) {
  const entries = []
  const findings = []
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue
    const parts = line.split(SEPARATOR).map((part) => part.trim())
    const isEntry = parts.length === FIELDS.length && parts.every((part) => part !== '') && /^issue \d+$/.test(parts.at(-1))
    if (isEntry) entries.push(Object.fromEntries(FIELDS.map((field, place) => [field, parts[place]])))
    else findings.push(`KNOWN-RED.txt:${index + 1}: not an entry of the form ${FIELDS.join(SEPARATOR)}`)
  }
  return { entries, findings }
}

/**
 * Finds entries whose test does not exist any more.
 *
 * @param {Array<{ file: string, test: string }>} entries - of the list
 * @param {string[]} sourcePaths - sources of all tests
 * @returns {string[]} a finding for each
 */
export function findStaleEntries (entries, sourcePaths) {
  const stale = entries.filter(({ file, test }) => {
    const path = sourcePaths.find((one) => basename(one) === file)
    return path === undefined || !readFileSync(path, 'utf8').includes(`'${test}'`)
  })
  return stale.map(({ file, test }) => `KNOWN-RED.txt: no test '${test}' in ${file}`)
}

/**
 * Reads what a test file printed.
 *
 * @param {string} output - of uvu
 * @param {number | null} code - exit code; null after a signal
 * @returns {{ passed: number, failed: number, failedTests: string[], isWhole: boolean }}
 *   counts, names of the tests that failed, and whether those names account for all that failed
 */
export function readResult (output, code) {
  const plain = output.replace(/\x1b\[[0-9;]*m/g, '') // eslint-disable-line no-control-regex
  const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0)
  const failed = Math.max(total - passed, code === 0 && total > 0 ? 0 : 1)
  const failedTests = [...plain.matchAll(/^ {2} FAIL {2}.*?"(.*)"$/gm)].map(([, name]) => name)
  const isWhole = total > 0 && total - passed === failedTests.length && (failedTests.length > 0) === (code === 1) && (code === 0 || code === 1)
  return { passed, failed, failedTests, isWhole }
}

/**
 * Divides the failures of a file.
 *
 * @param {Array<{ file: string, test: string }>} entries - of the list
 * @param {{ file: string, failedTests: string[], isWhole: boolean, failed: number }} result - of the file
 * @returns {{ known: string[], isFresh: boolean }} failures that the list names, and whether there are others
 */
export function judgeResult (entries, { file, failedTests, isWhole, failed }) {
  if (failed === 0) return { known: [], isFresh: false }
  const source = basename(file).replace(/\.js$/, '.ts')
  const names = new Set(entries.filter((entry) => entry.file === source).map(({ test }) => test))
  const known = failedTests.filter((test) => names.has(test))
  return { known, isFresh: !isWhole || known.length < failedTests.length }
}

/**
 * Reads the list of a checkout.
 *
 * @param {string} root - of the checkout
 * @returns {string} its text; empty without a list
 */
export function readKnownRed (root) {
  const path = join(root, 'KNOWN-RED.txt')
  return existsSync(path) ? readFileSync(path, 'utf8') : ''
}
