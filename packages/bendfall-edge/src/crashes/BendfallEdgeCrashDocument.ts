/**
 * Format of the crash reports that entries exchange through the key-value service.
 *
 * @module
 */
import { checkDocument, parseDocument } from 'bendfall-node'
import type { CrashReport } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Key prefix of all reports, followed by the name of the reporting entry. */
export const CRASH_PREFIX = 'bendfall/crashes/'

/** Key that operators write to clear all crash records; each request uses a different value. */
export const CRASHES_CLEARED_KEY = 'bendfall/crashes-cleared'

const AGE_MS = { type: 'number', minimum: 0 } as const

const AGES = {
  type: 'object',
  additionalProperties: { type: 'object', required: ['knownMs', 'sentMs'], properties: { knownMs: AGE_MS, sentMs: AGE_MS } }
} as const

const SUSPECTS = {
  type: 'array',
  items: {
    type: 'object',
    required: ['fingerprint', 'processes'],
    properties: {
      fingerprint: { type: 'string', minLength: 1 },
      processes: { type: 'array', items: { type: 'string', minLength: 1 } },
      ages: AGES,
      isServed: { type: 'boolean' }
    }
  }
} as const

const REPORT_SCHEMA = { type: 'object', required: ['suspects', 'cleared'], properties: { suspects: SUSPECTS, cleared: SUSPECTS, served: { type: 'array', items: { type: 'string', minLength: 1 } } } }

/**
 * Encodes a report.
 *
 * @param report - crash report of an entry
 * @returns JSON text
 */
export function encodeCrashReport (report: CrashReport): string {
  return JSON.stringify(report)
}

/**
 * Decodes a report.
 *
 * @param text - JSON text
 * @param key - key of the report, used in error messages
 * @returns the report, or a description of the errors in it
 */
export function decodeCrashReport (text: string, key: string): Result<CrashReport, string> {
  const checked = parseDocument(text, key).andThen((document) => checkDocument<CrashReport>(REPORT_SCHEMA, document, key))
  return checked.mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
