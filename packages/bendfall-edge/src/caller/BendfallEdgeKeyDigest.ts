/**
 * Digests of customers' keys. Beyond the adapter a key is known by its digest alone, so that
 * none can come into a log line, a metric or a document; and a comparison of digests tells
 * by its time nothing of a key.
 *
 * @module
 */
import { createHash, randomBytes } from 'node:crypto'

const SALT_BYTES = 16

/** Of this process: its digests are worth nothing elsewhere. */
const SALT = randomBytes(SALT_BYTES)

/**
 * Makes the digest of a key.
 *
 * @param key - as the caller or the configuration has it
 * @returns the digest, the same for equal keys within this process
 */
export function digestKey (key: string): string {
  return createHash('sha256').update(SALT).update(key).digest('base64')
}
