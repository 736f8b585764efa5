/**
 * Implements the command `check`: validates a settings or intent file without
 * calling any service.
 *
 * @module
 */
import type { Intent, IntentFinding } from 'bendfall-core'
import { checkIntent } from 'bendfall-core'
import type { Finding } from 'bendfall-node/settings'
import { checkDocument, checkSettings, formatFindings, readDocument } from 'bendfall-node/settings'
import type { CommandResult } from './BendfallctlExit.js'
import { findingsResult } from './BendfallctlIntentFile.js'
import { INTENT_SCHEMA } from './BendfallctlIntentSchema.js'

/** Kinds of documents that `check` accepts. */
export type DocumentKind = 'intent' | 'settings'

type Check = (value: unknown, file: string) => CommandResult

const ANY_DOCUMENT = {}

/** Top-level keys that occur in only one kind of document. */
const DISTINCTIVE_KEYS: Readonly<Record<DocumentKind, readonly string[]>> = {
  intent: ['pools', 'models', 'classes', 'withdrawn'],
  settings: ['role', 'instanceId', 'listen', 'platform']
}

const CHECKS: Readonly<Record<DocumentKind, Check>> = {
  intent: checkIntentDocument,
  settings: (value, file) => {
    const checked = checkSettings(value, file)
    return checked.isErr() ? findingsResult(checked.error) : cleanResult(file, 'settings', [])
  }
}

/**
 * Validates a file as settings or as an intent, whichever its keys indicate.
 *
 * @param path - path of a JSON file
 * @returns all findings; exit `findings` if at least one blocks the use of the file
 */
export async function runCheck (path: string): Promise<CommandResult> {
  const read = await readDocument<unknown>(ANY_DOCUMENT, path)
  if (read.isErr()) return findingsResult(read.error)
  const kind = detectKind(read.value)
  if (kind !== undefined) return CHECKS[kind](read.value, path)
  return findingsResult([{ file: path, pointer: '', expected: 'settings or an intent', found: 'keys of neither' }])
}

/** Returns the kind with the most distinctive keys present, or undefined if there are none. */
function detectKind (value: unknown): DocumentKind | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const countKeys = (kind: DocumentKind): number => DISTINCTIVE_KEYS[kind].filter((key) => Object.hasOwn(value, key)).length
  const [intentKeys, settingsKeys] = [countKeys('intent'), countKeys('settings')]
  if (intentKeys + settingsKeys === 0) return undefined
  return intentKeys > settingsKeys ? 'intent' : 'settings'
}

function checkIntentDocument (value: unknown, file: string): CommandResult {
  const checked = checkDocument<Intent>(INTENT_SCHEMA, value, file)
  if (checked.isErr()) return findingsResult(checked.error)
  const found = checkIntent(checked.value)
  const blocks = found.some((finding) => finding.severity === 'blocks')
  return blocks ? findingsResult(toFindings(found, file)) : cleanResult(file, 'intent', toFindings(found, file))
}

function toFindings (findings: readonly IntentFinding[], file: string): readonly Finding[] {
  return findings.map(({ pointer, expected, found }) => ({ file, pointer, expected, found }))
}

function cleanResult (file: string, kind: DocumentKind, warnings: readonly Finding[]): CommandResult {
  const end = `${file}: no findings that block the use of the file`
  const text = warnings.length === 0 ? `${file}: no findings` : `${formatFindings(warnings)}\n${end}`
  return { exit: 'done', text, json: { kind, findings: warnings } }
}
