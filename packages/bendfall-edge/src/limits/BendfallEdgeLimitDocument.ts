/**
 * Document in the key-value service that lists the request rate limits advertised by replicas.
 * The leader of the permits writes it, so that an entry requests a permit before it sends its
 * first request to a limited replica.
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

/** Changes within this time are written together. */
const BATCH_DELAY_MS = 50

/** Minimum pause between two writes. */
const MIN_WRITE_INTERVAL_MS = 250

/** Maximum number of limits in the document, since values of the service are bounded; entries learn further limits from responses. */
const MAX_PUBLISHED_LIMITS = 1_000

const NO_REVISION = 0

/** Schema of the document of limits. */
export const LIMITS_SCHEMA = {
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

/** Publisher of the document. */
export interface LimitPublisher {
  /** Schedules a write of the limits; limits published before it starts replace them. */
  readonly publish: (limits: readonly NamedLimit[]) => void
  readonly close: Teardown
}

/** Options of the publisher. */
export interface LimitPublisherOptions {
  readonly port: KeyValuePort
  readonly clock: Clock
  readonly logger: Logger
}

/**
 * Creates a publisher of the document.
 *
 * @param options - key-value service, clock and logger
 * @returns the publisher
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
 * @param text - JSON document
 * @returns the limits, or a description of why the text is invalid
 */
export function decodeLimits (text: string): Result<readonly NamedLimit[], string> {
  const checked = parseDocument(text, LIMITS_KEY).andThen((document) => checkDocument<{ readonly limits: readonly NamedLimit[] }>(LIMITS_SCHEMA, document, LIMITS_KEY))
  return checked.map(({ limits }) => limits).mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
