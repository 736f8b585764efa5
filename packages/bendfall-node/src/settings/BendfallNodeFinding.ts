/**
 * Findings: what is wrong with a document, each with its place.
 *
 * @module
 */

/** One thing that is wrong with a document. */
export interface Finding {
  readonly file: string
  /** JSON pointer of the place; empty for the whole document. */
  readonly pointer: string
  readonly expected: string
  readonly found: string
}

const FOUND_MAX_CHARS = 80

/**
 * Describes a found value for people, cut to a bounded length.
 *
 * @param value - any JSON value
 * @returns its JSON text, or `nothing` when it is absent
 */
export function describeFound (value: unknown): string {
  const text = stringify(value) ?? 'nothing'
  if (text.length <= FOUND_MAX_CHARS) return text
  return `${text.slice(0, FOUND_MAX_CHARS)}...`
}

/**
 * Formats findings for a terminal, one line each.
 *
 * @param findings - findings in the order of their discovery
 * @returns the lines, without a line feed at the end
 */
export function formatFindings (findings: readonly Finding[]): string {
  return findings.map(formatFinding).join('\n')
}

function formatFinding (finding: Finding): string {
  const place = finding.pointer === '' ? finding.file : `${finding.file}#${finding.pointer}`
  return `${place}: expected ${finding.expected}, found ${finding.found}`
}

function stringify (value: unknown): string | undefined {
  try {
    return JSON.stringify(value)
  } catch {
    return 'a value nested too deeply'
  }
}
