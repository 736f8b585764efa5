/**
 * Adapter of the platform's instance list over HTTP and JSON. Requests are conditional, and
 * responses compressed, if the server supports it.
 *
 * @module
 */
import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { isArrayOf, isObjectOf, isString, parseResponse } from './BendfallPlatformResponse.js'
import type { FieldCheck, ShapesByType } from './BendfallPlatformResponse.js'
import { createHttpExchanger } from './BendfallPlatformHttp.js'
import type { HttpResponse } from './BendfallPlatformHttp.js'
import type { InstanceListPort, InstancesOutcome } from './BendfallPlatformInstances.js'

const DEFAULT_TIMEOUT_MS = 2_000
const NOT_MODIFIED = 304
const MAX_LIST_BYTES = 64 * 1024 * 1024

const unzip = promisify(gunzip)

const isKind: FieldCheck = (value) => value === 'entry' || value === 'upstream'
const isState: FieldCheck = (value) => value === 'live' || value === 'leaving'
const INSTANCE = { instanceId: isString, availabilityZone: isString, address: isString, kind: isKind, pool: isString, state: isState }
const SHAPES: ShapesByType = {
  listed: { instances: isArrayOf(isObjectOf(INSTANCE)) },
  unavailable: { detail: isString }
}

/** Options of the adapter. */
export interface HttpInstanceListOptions {
  /** Origin of the instance list. */
  readonly origin: string
  readonly timeoutMs?: number
}

/**
 * Creates the adapter.
 *
 * @param options - origin and timeout
 * @returns the port; close it to free its connections
 */
export function createHttpInstanceList (options: HttpInstanceListOptions): InstanceListPort {
  const http = createHttpExchanger({ origin: options.origin })
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS

  let last: TaggedList | undefined

  async function list (): Promise<InstancesOutcome> {
    const response = await http.send({ method: 'GET', path: '/instances', headers: headersFor(last), timeoutMs })
    if (response.isErr()) return { type: 'unavailable', detail: response.error.detail }
    if (response.value.status === NOT_MODIFIED && last !== undefined) return last.outcome
    const body = await readBody(response.value)
    const outcome = body.andThen((bytes) => parseResponse<InstancesOutcome>(bytes, SHAPES))
    if (outcome.isErr()) return { type: 'unavailable', detail: outcome.error }
    last = tagList(response.value.etag, outcome.value) ?? last
    return outcome.value
  }

  return { list, close: () => http.close() }
}

/** The last list with its entity tag, for conditional requests. */
interface TaggedList {
  readonly etag: string
  readonly outcome: InstancesOutcome
}

function headersFor (last: TaggedList | undefined): Readonly<Record<string, string>> {
  const accepted = { 'accept-encoding': 'gzip' }
  return last === undefined ? accepted : { ...accepted, 'if-none-match': last.etag }
}

function tagList (etag: string, outcome: InstancesOutcome): TaggedList | undefined {
  return etag === '' || outcome.type !== 'listed' ? undefined : { etag, outcome }
}

async function readBody ({ body, contentEncoding }: HttpResponse): Promise<Result<Uint8Array, string>> {
  if (contentEncoding !== 'gzip') return Ok(body)
  try {
    return Ok(await unzip(body, { maxOutputLength: MAX_LIST_BYTES }))
  } catch (error) {
    return Err(String(error))
  }
}
