/**
 * Computes digests of customers' API keys. Outside the platform adapter a key is represented only
 * by its digest, so that keys can't leak into log lines, metrics or documents, and the duration of
 * a digest comparison reveals nothing about a key.
 *
 * @module
 */
import { createHash, randomBytes } from 'node:crypto'

const SALT_BYTES = 16

/** Random per process, so that its digests are useless elsewhere. */
const SALT = randomBytes(SALT_BYTES)

/**
 * Computes the digest of a key.
 *
 * @param key - plain key as given by the caller or the configuration
 * @returns the digest, which is equal for equal keys within this process
 */
export function digestKey (key: string): string {
  return createHash('sha256').update(SALT).update(key).digest('base64')
}
