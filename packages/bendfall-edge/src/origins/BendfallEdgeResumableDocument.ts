/**
 * Format of the record of resumable software, which entries keep together in the key-value service.
 *
 * @module
 */
import { checkDocument, parseDocument } from 'bendfall-node'
import type { ResumableSoftware, SoftwareDigest } from 'bendfall-router'
import type { Result } from 'ts-results-es'

/** Key of the record. */
export const RESUMABLE_KEY = 'bendfall/streams/resumable-software'

/** Maximum number of routes in the record, since values of the service are bounded. */
const MAX_ROUTES = 1_000

interface ResumableDocument {
  readonly routes: ReadonlyArray<{ readonly route: string, readonly software: readonly SoftwareDigest[] }>
}

/** Schema of the record. */
export const RESUMABLE_SCHEMA = {
  type: 'object',
  required: ['routes'],
  properties: {
    routes: {
      type: 'array',
      maxItems: MAX_ROUTES,
      items: { type: 'object', required: ['route', 'software'], properties: { route: { type: 'string', minLength: 1 }, software: { type: 'array', items: { type: 'integer', minimum: 0 } } } }
    }
  }
}

/**
 * Encodes the record.
 *
 * @param software - software by the name of the route; those beyond the maximum number of routes are left out
 * @returns JSON document
 */
export function encodeResumable (software: ResumableSoftware): string {
  const document: ResumableDocument = { routes: [...software].slice(0, MAX_ROUTES).map(([route, digests]) => ({ route, software: digests })) }
  return JSON.stringify(document)
}

/**
 * Decodes the record.
 *
 * @param text - JSON document
 * @returns the software by the name of the route, or a description of why the text is invalid
 */
export function decodeResumable (text: string): Result<ResumableSoftware, string> {
  const checked = parseDocument(text, RESUMABLE_KEY).andThen((document) => checkDocument<ResumableDocument>(RESUMABLE_SCHEMA, document, RESUMABLE_KEY))
  return checked
    .map(({ routes }) => new Map(routes.map(({ route, software }) => [route, software])))
    .mapErr((findings) => findings.map(({ expected, found, pointer }) => `${pointer}: expected ${expected}, found ${found}`).join('; '))
}
