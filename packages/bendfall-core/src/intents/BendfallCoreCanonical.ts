/**
 * Canonical JSON and its digest, the same in every process.
 *
 * @module
 */
import { sha256 } from '@noble/hashes/sha2.js'
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js'

const DIGEST_BYTES = 16

/**
 * Writes a JSON value with sorted keys and without white space.
 *
 * @param value - a JSON value; members that are `undefined` are left out
 * @returns the canonical text
 */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, sortKeys)
}

/**
 * Digests a JSON value.
 *
 * @param value - a JSON value
 * @returns 32 hex digits, the first half of the SHA-256 of its canonical text
 */
export function digestJson (value: unknown): string {
  return bytesToHex(sha256(utf8ToBytes(canonicalJson(value))).subarray(0, DIGEST_BYTES))
}

function sortKeys (_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => compareText(a, b)))
}

/**
 * Orders two texts by code unit, whatever the locale.
 *
 * @param a - one text
 * @param b - the other text
 * @returns negative, zero or positive
 */
export function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
