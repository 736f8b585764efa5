/**
 * Encodes scripted responses to bytes.
 *
 * @module
 */
import type { AnswerScript, RequestPurpose } from './BendfallFakesAnswersScript.js'

/** Request-dependent content of a response. */
export interface ResponseContext {
  readonly asked: RequestPurpose
  /** Id that the request carried. */
  readonly requestId?: string
  readonly replicaId: string
  /** Sequence number of the response at its replica. */
  readonly serial: number
  /** Handle or hold that the response issues. */
  readonly issued?: string
  /** Range of the events of a stream; absent for a plain response. */
  readonly events?: { readonly after: number, readonly last: number }
}

/** An encoded response. */
export interface EncodedResponse {
  readonly head: Buffer
  /** Body with its framing. */
  readonly framed: Buffer
  /** Body without framing. */
  readonly body: Buffer
}

const REASONS: Readonly<Record<AnswerScript['status'], string>> = { 200: 'OK', 421: 'Misdirected Request', 429: 'Too Many Requests', 500: 'Internal Server Error', 503: 'Service Unavailable' }

/** Statuses with which a replica reports that it has not run the request. */
const REFUSALS: ReadonlySet<number> = new Set([421, 429, 503])

const NOTE_LINES: Readonly<Record<AnswerScript['note'], Buffer>> = {
  none: Buffer.alloc(0),
  ascii: Buffer.from('X-Note: plain\r\n'),
  latin1: Buffer.from('X-Note: r\u00e9pliqu\u00e9\r\n', 'latin1'),
  utf8: Buffer.from('X-Note: r\u00e9plique \u2713\r\n', 'utf8')
}

const CHUNK_COUNT = 3

/** Values of the note header, with one Latin-1 character per byte. */
export const NOTE_VALUES: ReadonlySet<string> = new Set(Object.values(NOTE_LINES).map((line) => line.toString('latin1').slice('X-Note: '.length).trim()))

/**
 * Returns whether a status reports that the request was not run.
 *
 * @param status - HTTP status of the response
 * @returns true for statuses that refuse a request
 */
export function isRefusal (status: number): boolean {
  return REFUSALS.has(status)
}

/**
 * Encodes a response.
 *
 * @param script - status, headers and framing
 * @param context - request-dependent content
 * @returns head and body, with and without framing
 */
export function encodeResponse (script: AnswerScript, context: ResponseContext): EncodedResponse {
  const body = createBody(script, context)
  return { head: encodeHead(script, context, body.length), framed: script.framing === 'chunked' ? encodeChunked(body) : body, body }
}

function encodeHead ({ connection, framing, isIdLast, note, status }: AnswerScript, { asked, replicaId, requestId }: ResponseContext, bodyBytes: number): Buffer {
  const id = requestId === undefined ? [] : [`X-Request-Id: ${requestId}`]
  const lines = [
    `HTTP/1.1 ${status} ${REASONS[status]}`,
    ...(isIdLast ? [] : id),
    ...(isRefusal(status) ? ['X-Not-Executed: 1'] : []),
    ...(asked === 'run' && !isRefusal(status) ? [`X-Response-Stamp: ${replicaId}`] : []),
    ...(connection === 'none' ? [] : [`Connection: ${connection}`]),
    ...(connection === 'keep-alive' ? ['Keep-Alive: timeout=5'] : []),
    ...(framing === 'length' ? [`Content-Length: ${bodyBytes}`] : []),
    ...(framing === 'chunked' ? ['Transfer-Encoding: chunked'] : []),
    ...(framing === 'identity' ? ['Transfer-Encoding: identity'] : []),
    ...(isIdLast ? id : [])
  ]
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n`), NOTE_LINES[note], Buffer.from('\r\n')])
}

function createBody (script: AnswerScript, context: ResponseContext): Buffer {
  const { asked, events, issued, replicaId, requestId, serial } = context
  if (isRefusal(script.status)) return Buffer.from(`not run ${requestId ?? ''}`)
  if (asked === 'prefill') return Buffer.from(JSON.stringify({ 'cache-handle': issued, tokens: 1, version: 1 }))
  if (asked === 'hold') return Buffer.from(JSON.stringify({ hold: issued }))
  if (asked !== 'run') return Buffer.from('{}')
  if (events !== undefined && script.status === 200) return Buffer.from(encodeEvents(script, requestId ?? '', events))
  const line = `answer to ${requestId} by ${replicaId} ${serial}\n`
  return Buffer.from(line.padEnd(script.bodyBytes, line))
}

function encodeEvents ({ bodyBytes, hasComments, isLastOpen, lineEnd }: AnswerScript, requestId: string, { after, last }: { readonly after: number, readonly last: number }): string {
  const pad = 'x'.repeat(bodyBytes)
  let text = ''
  for (let id = after + 1; id <= last; id++) {
    if (hasComments) text += `: before ${id}${lineEnd}`
    text += `id: ${id}${lineEnd}data: ${requestId} piece ${id} ${pad}${lineEnd}`
    if (id < last || !isLastOpen) text += lineEnd
  }
  return text
}

/**
 * Encodes a body with the chunked transfer coding.
 *
 * @param body - body to encode; may be empty
 * @returns the chunks including the final empty one
 */
export function encodeChunked (body: Buffer): Buffer {
  const parts: Buffer[] = []
  const size = Math.max(1, Math.ceil(body.length / CHUNK_COUNT))
  for (let at = 0; at < body.length; at += size) {
    const chunk = body.subarray(at, at + size)
    parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'))
  }
  return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')])
}
