/**
 * Record of a run: one line for each request that was sent, answered or run, and for each step of the script.
 */
import { writeFileSync } from 'node:fs'

/**
 * @param {string} path - file that the lines are written to
 * @returns the record
 */
export function createRecord (path) {
  const startedMs = performance.now()
  const lines = []

  return {
    add: (kind, fields = {}) => {
      const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
      lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3)} ${kind} ${text}`.trimEnd())
    },
    write: () => writeFileSync(path, `${lines.join('\n')}\n`)
  }
}
