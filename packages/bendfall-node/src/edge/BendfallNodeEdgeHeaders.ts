/**
 * Reads the headers by which callers steer a request.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { ClientId, TrafficClass } from 'bendfall-core'
import type { BadInput } from './BendfallNodeEdgeRefusal.js'

/** What the headers of a caller ask for. */
export interface CallerHeaders {
  readonly clientId: ClientId
  /** Absent: the default of the route. */
  readonly trafficClass?: TrafficClass
  /** Longest useful wait from arrival; absent: the target of the class. */
  readonly deadlineMs?: number
  /** Empty when the caller sent none. */
  readonly idempotencyKey: string
  /** Wall-clock time in milliseconds; 0 when the key tells none. */
  readonly keyIssuedAtMs: number
}

/** Account of callers that name none. */
export const ANONYMOUS_CLIENT = 'anonymous'

/** Longest wait that a caller may ask for. */
export const MAX_DEADLINE_MS = 3_600_000

const CLIENT_ID = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/
const WHOLE_NUMBER = /^-?\d{1,15}$/
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const TRAFFIC_CLASSES: readonly string[] = ['interactive', 'summary'] satisfies TrafficClass[]

/**
 * Reads and checks the headers of a caller. The issue time of a key goes on as
 * the key tells it, also when it lies in the future: the home of the key judges
 * it by its own clock, and an edge that changed it could make a key run twice.
 *
 * @param headers - headers of the HTTP request
 * @returns what they ask for, or the first thing wrong with them
 */
export function readCallerHeaders (headers: IncomingHttpHeaders): Result<CallerHeaders, BadInput> {
  return readClient(one(headers, 'bendfall-client')).andThen((clientId) =>
    readClass(one(headers, 'bendfall-class')).andThen((trafficClass) =>
      readDeadline(one(headers, 'bendfall-deadline-ms')).andThen((deadlineMs) =>
        readKey(one(headers, 'idempotency-key')).andThen((idempotencyKey) =>
          readIssueTime(idempotencyKey, one(headers, 'idempotency-key-issued-at')).map((keyIssuedAtMs) =>
            ({ clientId, trafficClass, deadlineMs, idempotencyKey, keyIssuedAtMs })
          )))))
}

/**
 * Makes the refusal of input that does not have the right form.
 *
 * @param message - what is wrong, for people
 * @returns input refused with status 400
 */
export function badRequest (message: string): BadInput {
  return { status: 400, reason: 'bad_request', message }
}

function one (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value.join(', ') : value
}

function readClient (text: string | undefined): Result<ClientId, BadInput> {
  if (text === undefined) return Ok(ANONYMOUS_CLIENT)
  if (!CLIENT_ID.test(text)) return Err(badRequest('Bendfall-Client: expected 1 to 64 letters, digits, dots, dashes or underscores'))
  return Ok(text)
}

function readClass (text: string | undefined): Result<TrafficClass | undefined, BadInput> {
  if (text === undefined) return Ok(undefined)
  if (!TRAFFIC_CLASSES.includes(text)) return Err(badRequest(`Bendfall-Class: expected one of ${TRAFFIC_CLASSES.join(', ')}`))
  return Ok(text as TrafficClass)
}

function readDeadline (text: string | undefined): Result<number | undefined, BadInput> {
  if (text === undefined) return Ok(undefined)
  if (!WHOLE_NUMBER.test(text) || Number(text) > MAX_DEADLINE_MS) {
    return Err(badRequest(`Bendfall-Deadline-Ms: expected a wait from arrival in milliseconds, at most ${MAX_DEADLINE_MS}`))
  }
  if (Number(text) <= 0) return Err({ status: 504, reason: 'deadline', message: 'the deadline has passed' })
  return Ok(Number(text))
}

function readKey (text: string | undefined): Result<string, BadInput> {
  if (text === undefined) return Ok('')
  const key = text.replace(/^"(.*)"$/, '$1')
  if (!IDEMPOTENCY_KEY.test(key)) return Err(badRequest('Idempotency-Key: expected 1 to 255 printable ASCII characters without spaces'))
  return Ok(key)
}

function readIssueTime (key: string, text: string | undefined): Result<number, BadInput> {
  const fromKey = readUuidTime(key)
  if (fromKey !== undefined) return Ok(fromKey)
  if (text === undefined || key === '') return Ok(0)
  const time = WHOLE_NUMBER.test(text) ? Number(text) : Date.parse(text)
  if (!(time > 0)) return Err(badRequest('Idempotency-Key-Issued-At: expected milliseconds since 1970 or an ISO 8601 time'))
  return Ok(time)
}

function readUuidTime (key: string): number | undefined {
  const match = UUID_V7.exec(key)
  return match === null ? undefined : parseInt(match[1] + match[2], 16)
}
