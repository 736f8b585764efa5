/**
 * Checks JSON documents against a schema as a whole: every finding with its
 * place, all reported together. Settings and intents share it.
 *
 * @module
 */
import { readFile } from 'node:fs/promises'
import { parse as parseWithPlaces } from '@humanwhocodes/momoa'
import type { ErrorObject, SchemaObject, ValidateFunction } from 'ajv'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { describeFound } from './BendfallNodeFinding.js'
import type { Finding } from './BendfallNodeFinding.js'
import { DOCUMENT_FORMATS } from './BendfallNodeFormats.js'
import { compileValidator } from './BendfallNodeValidator.js'

/** Turns one error of the validator into `expected` and a place. */
type ErrorReader = (error: ErrorObject) => { readonly pointer: string, readonly expected: string, readonly found: string }

const ERROR_READERS: Readonly<Record<string, ErrorReader>> = {
  additionalProperties: (error) => readUnknownKey(error, error.params.additionalProperty),
  const: (error) => readAtPlace(error, describeFound(error.params.allowedValue)),
  'false schema': (error) => readAtPlace(error, 'nothing here for this role or kind'),
  enum: (error) => readAtPlace(error, `one of ${error.params.allowedValues.map(describeFound).join(', ')}`),
  format: (error) => readAtPlace(error, DOCUMENT_FORMATS[error.params.format]?.expected ?? error.params.format),
  required: readMissingKey,
  type: (error) => readAtPlace(error, `${error.params.type}`),
  unevaluatedProperties: (error) => readUnknownKey(error, error.params.unevaluatedProperty)
}

/** Keywords whose error only repeats that a nested one failed. */
const REPEATED_KEYWORDS = new Set(['if'])

const TOO_DEEP = Symbol('nested too deeply')
const compiled = new WeakMap<SchemaObject, ValidateFunction>()

/**
 * Checks a JSON value against a schema and fills in the schema's defaults.
 *
 * @param schema - JSON schema; may use the formats `ip`, `ip-port`, `http-url`
 * @param value - the parsed document; left as it is
 * @param file - name of the document in findings
 * @returns a copy of the document with defaults, or all findings
 */
export function checkDocument<T> (schema: SchemaObject, value: unknown, file: string): Result<T, Finding[]> {
  const copy = copyDeep(value)
  if (copy === TOO_DEEP) return Err([{ file, pointer: '', expected: 'a document of modest depth', found: 'one nested too deeply' }])
  const validate = compileOnce(schema)
  if (validate(copy)) return Ok(copy as T)
  return Err(readErrors(validate.errors ?? [], value, file))
}

/**
 * Parses JSON text.
 *
 * @param text - the document
 * @param file - name of the document in findings
 * @returns the value, or one finding with line and column
 */
export function parseDocument (text: string, file: string): Result<unknown, Finding[]> {
  try {
    return Ok(JSON.parse(text))
  } catch (error) {
    const found = findSyntaxError(text) ?? (error as Error).message
    return Err([{ file, pointer: '', expected: 'JSON', found }])
  }
}

/**
 * Reads, parses and checks a JSON file.
 *
 * @param schema - JSON schema, see {@link checkDocument}
 * @param path - path of the file
 * @returns the document with defaults, or all findings
 */
export async function readDocument<T> (schema: SchemaObject, path: string): Promise<Result<T, Finding[]>> {
  let text: string
  try {
    text = await readFile(path, 'utf8')
  } catch (error) {
    return Err([{ file: path, pointer: '', expected: 'a readable file', found: (error as Error).message }])
  }
  return parseDocument(text, path).andThen((value) => checkDocument<T>(schema, value, path))
}

function copyDeep (value: unknown): unknown {
  try {
    return structuredClone(value)
  } catch {
    return TOO_DEEP
  }
}

function compileOnce (schema: SchemaObject): ValidateFunction {
  const known = compiled.get(schema)
  if (known !== undefined) return known
  const validate = compileValidator(schema)
  compiled.set(schema, validate)
  return validate
}

function readErrors (errors: readonly ErrorObject[], value: unknown, file: string): Finding[] {
  const telling = errors.filter((error) => !REPEATED_KEYWORDS.has(error.keyword))
  return telling.map((error) => ({ file, ...readError({ ...error, data: valueAt(value, error.instancePath) }) }))
}

// The validator's copy has defaults filled in; findings show what was written.
function valueAt (value: unknown, pointer: string): unknown {
  const keys = pointer.split('/').slice(1).map((key) => key.replaceAll('~1', '/').replaceAll('~0', '~'))
  return keys.reduce<unknown>((parent, key) => (parent as Record<string, unknown> | undefined)?.[key], value)
}

function readError (error: ErrorObject): ReturnType<ErrorReader> {
  const reader = ERROR_READERS[error.keyword] ?? readOther
  return reader(error)
}

function readAtPlace (error: ErrorObject, expected: string): ReturnType<ErrorReader> {
  return { pointer: error.instancePath, expected, found: describeFound(error.data) }
}

function readOther (error: ErrorObject): ReturnType<ErrorReader> {
  const expected = (error.message ?? error.keyword).replace(/^must (be |have |match )?/, '')
  return readAtPlace(error, expected)
}

function readMissingKey (error: ErrorObject): ReturnType<ErrorReader> {
  const key: string = error.params.missingProperty
  const schema = error.parentSchema?.properties?.[key]
  const pointer = appendKey(error.instancePath, key)
  return { pointer, expected: schema?.type ?? 'a value', found: 'nothing' }
}

function readUnknownKey (error: ErrorObject, key: string): ReturnType<ErrorReader> {
  const known = Object.keys(error.parentSchema?.properties ?? {}).sort()
  const pointer = appendKey(error.instancePath, key)
  return { pointer, expected: `one of the keys ${known.join(', ')}`, found: `the unknown key ${describeFound(key)}` }
}

function appendKey (pointer: string, key: string): string {
  return `${pointer}/${key.replaceAll('~', '~0').replaceAll('/', '~1')}`
}

function findSyntaxError (text: string): string | undefined {
  try {
    parseWithPlaces(text, { mode: 'json' })
    return undefined
  } catch (error) {
    const { message, line, column } = error as Error & { line?: number, column?: number }
    if (line === undefined) return undefined
    const cause = message.replace(/\s*\(\d+:\d+\)$/, '')
    return `${cause} at line ${line}, column ${column}`
  }
}
