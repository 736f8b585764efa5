/**
 * Makes calls to a cluster and classifies each outcome: a complete and correct
 * response, a refusal, no connection, a broken connection, or a violation of
 * the guarantees to callers.
 *
 * @module
 */
import { randomBytes } from 'node:crypto'
import type { Outcome } from 'bendfall-core'
import { BOOKING_PATH, CLUSTER_CLIENT, CLUSTER_MODEL } from './BendfallFakesClusterPlan.js'
import { callService, streamChat } from './BendfallFakesDemoCalls.js'
import type { ChatCall, StreamedResponse } from './BendfallFakesDemoCalls.js'
import { expectedTokens } from './BendfallFakesEngineDecode.js'

/** Outcome of a call as its caller sees it. */
export type CallVerdict =
  | { readonly type: 'answered', readonly requestId: string, readonly status: number, readonly body: string }
  | { readonly type: 'refused', readonly requestId: string, readonly outcome: Extract<Outcome, 'not_run' | 'unknown'>, readonly reason: string }
  /** The entry refused the connection, so nothing was sent. */
  | { readonly type: 'unreached' }
  /** The connection broke, so the caller cannot know whether the call ran. */
  | { readonly type: 'broken', readonly detail: string }
  /** The response violates a guarantee to callers. */
  | { readonly type: 'violation', readonly requestId: string, readonly detail: string }

interface RefusalBody {
  readonly error: { readonly outcome: 'not_run' | 'unknown', readonly reason: string, readonly requestId: string }
}

/** A chat completion whose response is checked. */
export type ClusterChat = Pick<ChatCall, 'maxTokens' | 'prompt' | 'signal'> & { readonly onText?: ChatCall['onText'] }

/**
 * Requests a chat completion and compares the response with the output that the
 * engine stand-in generates for its prompt.
 *
 * @param address - `ip:port` of an entry
 * @param chat - prompt, length and callbacks of the request
 * @returns the verdict on the response
 */
export async function judgeChat (address: string, chat: ClusterChat): Promise<CallVerdict> {
  try {
    const response = await streamChat(address, { model: CLUSTER_MODEL, client: CLUSTER_CLIENT, trafficClass: 'summary', ...chat })
    return judgeStream(response, expectedText(chat))
  } catch (error) {
    return judgeError(error)
  }
}

/**
 * Returns the complete text that the engine stand-in generates for a chat
 * completion.
 *
 * @param chat - the request; its prompt and `maxTokens` determine the text
 * @returns the expected text
 */
export function expectedText ({ prompt, maxTokens }: ClusterChat): string {
  return expectedTokens(`user: ${prompt}\n`, maxTokens).join('')
}

function judgeStream (response: StreamedResponse, expected: string): CallVerdict {
  const { requestId, status, text, isComplete, refusal } = response
  const violation = (detail: string): CallVerdict => ({ type: 'violation', requestId, detail: `${detail}\nexpected ${expected}\ngot      ${text}\nrefusal ${refusal}` })
  if (!expected.startsWith(text)) return violation('text that does not belong to this request')
  if (isComplete && refusal !== '') return violation('both a complete response and a refusal')
  if (isComplete) return text === expected ? { type: 'answered', requestId, status, body: text } : violation('partial response marked as complete')
  if (refusal === '') return { type: 'broken', detail: 'the stream ended without an end marker' }
  const verdict = parseRefusal(refusal)
  if (verdict.type === 'refused' && verdict.outcome === 'not_run' && text !== '') return violation('outcome not_run after output')
  return verdict
}

function parseRefusal (text: string): CallVerdict {
  try {
    const { outcome, reason, requestId } = (JSON.parse(text) as RefusalBody).error
    return { type: 'refused', requestId, outcome, reason }
  } catch {
    return { type: 'violation', requestId: '', detail: `response is not a valid refusal: ${text}` }
  }
}

function judgeError (error: unknown): CallVerdict {
  const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
  return isRefused ? { type: 'unreached' } : { type: 'broken', detail: String(error) }
}

/** A booking: a non-idempotent call. */
export interface Booking {
  /** Last segment of the path, by which the service stand-in counts runs. */
  readonly name: string
  /** Idempotency key; the call has none when it is absent. */
  readonly key?: string
}

/**
 * Makes a booking and checks the response.
 *
 * @param address - `ip:port` of an entry
 * @param booking - name and idempotency key of the booking
 * @returns the verdict; a violation when the response belongs to another booking
 */
export async function judgeBooking (address: string, { name, key }: Booking): Promise<CallVerdict> {
  const path = `${BOOKING_PATH}/${name}`
  try {
    const { status, body } = await callService(address, { method: 'POST', path, body: { name }, idempotencyKey: key, client: CLUSTER_CLIENT })
    if (status !== 200) return parseRefusal(body)
    const isMatching = (JSON.parse(body) as { readonly path: string }).path === path
    return isMatching ? { type: 'answered', requestId: '', status, body } : { type: 'violation', requestId: '', detail: `response to another call: ${body}` }
  } catch (error) {
    return judgeError(error)
  }
}

const UUID_VERSION_7 = 0x70
const UUID_VARIANT = 0x80
const UUID_TIME_HEX_CHARS = 12

/**
 * Creates an idempotency key that contains its issue time, as UUID version 7.
 *
 * @param issuedAtMs - wall-clock time in milliseconds
 * @returns the key in canonical UUID notation
 */
export function createKey (issuedAtMs = Date.now()): string {
  const random = randomBytes(10)
  random[0] = UUID_VERSION_7 | (random[0] & 0x0f)
  random[2] = UUID_VARIANT | (random[2] & 0x3f)
  const hex = issuedAtMs.toString(16).padStart(UUID_TIME_HEX_CHARS, '0') + random.toString('hex')
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
}
