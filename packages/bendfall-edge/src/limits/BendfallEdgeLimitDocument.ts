/**
 * Tells all entries which replicas name a limit, by a document of the key-value service that
 * its keeper writes: an entry that has callers for such a replica asks for a permit before
 * its first request there.
 *
 * @module
 */
import { checkDocument, parseDocument, pause } from 'bendfall-node'
import type { Clock, Logger, Teardown } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import type { NamedLimit } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Key of the document. */
export const LIMITS_KEY = 'bendfall/limits/named'

/** Changes within this are written at once. */
const BATCH_DELAY_MS = 50

/** Between two writes at least. */
const MIN_WRITE_INTERVAL_MS = 250

/** Limits in the document: a value of the service has bounds, and the others are heard in answers. */
const MAX_PUBLISHED_LIMITS = 1_000

const NO_REVISION = 0

const LIMITS_SCHEMA = {
  type: 'object',
  required: ['limits'],
  properties: {
    limits: {
      type: 'array',
      maxItems: MAX_PUBLISHED_LIMITS,
      items: { type: 'object', required: ['processName', 'perS'], properties: { processName: { type: 'string', minLength: 1 }, perS: { type: 'number', minimum: 0 } } }
    }
  }
}

/** Writer of the document. */
export interface LimitPublisher {
  /** Has the limits written, the newest ones if they change meanwhile. */
  readonly publish: (limits: readonly NamedLimit[]) => void
  readonly close: Teardown
}

/** What the writer needs. */
export interface LimitPublisherOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
}

/**
 * Makes the writer of the document.
 *
 * @param options - the service
 * @returns the writer
 */
export function createLimitPublisher ({ clock, logger, port }: LimitPublisherOptions): LimitPublisher {
  const ended = new AbortController()
  let latest: string | undefined
  let isWriting = false

  async function write (value: string): Promise<boolean> {
    const read = await port.get(LIMITS_KEY)
    if (read.type === 'unavailable') return false
    if (read.type === 'found' && read.entry.value === value) return true
    const written = await port.compareAndSwap({ key: LIMITS_KEY, expectedRevision: read.type === 'found' ? read.entry.revision : NO_REVISION, value, leaseId: '' })
    return written.type === 'applied'
  }

  async function writeLatest (): Promise<void> {
    for (let value = latest; value !== undefined && !ended.signal.aborted; value = latest) {
      await pause(clock, BATCH_DELAY_MS, ended.signal)
      value = latest ?? value
      if (!ended.signal.aborted && await write(value) && latest === value) latest = undefined
      await pause(clock, MIN_WRITE_INTERVAL_MS, ended.signal)
    }
  }

  return {
    publish: (limits) => {
      latest = JSON.stringify({ limits: limits.slice(0, MAX_PUBLISHED_LIMITS) })
      if (isWriting) return
      isWriting = true
      writeLatest().catch((error: unknown) => logger.warn('limits_not_published', { error })).finally(() => { isWriting = false })
    },
    close: () => ended.abort()
  }
}

/**
 * Decodes the document.
 *
 * @param text - JSON
 * @returns the limits, or what is wrong with the text
 */
export function decodeLimits (text: string): Result<readonly NamedLimit[], string> {
  const checked = parseDocument(text, LIMITS_KEY).andThen((document) => checkDocument<{ readonly limits: readonly NamedLimit[] }>(LIMITS_SCHEMA, document, LIMITS_KEY))
  return checked.map(({ limits }) => limits).mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
