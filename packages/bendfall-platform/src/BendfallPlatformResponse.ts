/**
 * Runtime checks of JSON responses before they are used as typed outcomes.
 *
 * @module
 */
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'

/** Returns whether a value of a response has the expected type. */
export type FieldCheck = (value: unknown) => boolean

/** Fields that an object must have. Additional fields are allowed. */
export type Shape = Readonly<Record<string, FieldCheck>>

/** Shape of each kind of response, by its `type` field. */
export type ShapesByType = Readonly<Record<string, Shape>>

/** Accepts strings. */
export const isString: FieldCheck = (value) => typeof value === 'string'

/** Accepts finite numbers. */
export const isNumber: FieldCheck = (value) => Number.isFinite(value)

/** Accepts booleans. */
export const isBoolean: FieldCheck = (value) => typeof value === 'boolean'

/**
 * Creates a check that accepts arrays whose items all pass another check.
 *
 * @param isItem - check of one item
 * @returns the check of the array
 */
export function isArrayOf (isItem: FieldCheck): FieldCheck {
  return (value) => Array.isArray(value) && value.every(isItem)
}

/**
 * Creates a check that accepts objects with the fields of a shape.
 *
 * @param shape - required fields with their checks
 * @returns the check of the object
 */
export function isObjectOf (shape: Shape): FieldCheck {
  return (value) => typeof value === 'object' && value !== null && hasShape(value as Record<string, unknown>, shape)
}

/**
 * Parses a response and checks it against the shape that its `type` field selects.
 *
 * @param text - JSON as received
 * @param shapes - shape of each known type
 * @returns the response, or why it was rejected
 */
export function parseResponse<T extends { readonly type: string }> (text: string | Uint8Array, shapes: ShapesByType): Result<T, string> {
  const parsed = parseJson(text)
  if (typeof parsed !== 'object' || parsed === null) return Err('response is not a JSON object')
  const response = parsed as Record<string, unknown>
  const type = String(response['type'])
  if (!Object.hasOwn(shapes, type)) return Err('response has an unknown type')
  if (!hasShape(response, shapes[type] as Shape)) return Err(`response of type ${type} has missing or invalid fields`)
  return Ok(response as unknown as T)
}

function hasShape (value: Record<string, unknown>, shape: Shape): boolean {
  return Object.entries(shape).every(([field, check]) => check(value[field]))
}

function parseJson (text: string | Uint8Array): unknown {
  try {
    return JSON.parse(typeof text === 'string' ? text : Buffer.from(text).toString('utf8'))
  } catch {
    return undefined
  }
}
