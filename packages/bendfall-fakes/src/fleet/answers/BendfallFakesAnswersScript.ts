/**
 * Scripts of the scripted replicas: how one request is answered, down to framing, segments and connection faults.
 *
 * @module
 */

/** How a response body is delimited; `identity` is a transfer coding without chunks and close-delimited like `connection`. */
export type ScriptFraming = 'chunked' | 'connection' | 'identity' | 'length'

/** Operation that a request asks a replica for. */
export type RequestPurpose = 'drop' | 'free' | 'hold' | 'prefill' | 'run'

/** Where and how a response is cut off. */
export interface ScriptCut {
  /** Orderly close or reset. */
  readonly how: 'fin' | 'reset'
  /** Part of the response that contains the cut; `end` is after its last byte. */
  readonly at: 'body' | 'end' | 'head' | 'last_byte'
  /** Position within that part, 0 to 1. */
  readonly share: number
  /** Milliseconds from the last bytes to the cut; 0: in the same turn of the event loop. */
  readonly afterMs: number
}

/** A duplicate response to the same request. */
export interface ScriptDuplicate {
  /** How much of the response is repeated; `line_cut` ends after the status code. */
  readonly part: 'body_cut' | 'head_cut' | 'line_cut' | 'whole'
  /** In the segment of the first response, some time after it, or directly before the next response on the connection. */
  readonly when: 'late' | 'same_segment' | 'with_next'
  readonly afterMs: number
  /** Position of the cut within the part, 0 to 1. */
  readonly share: number
}

/** End of a connection that was kept alive after a response. */
export interface ScriptIdleEnd {
  readonly how: 'fin' | 'reset'
  readonly afterMs: number
}

/** Response to one request, with its faults. */
export interface AnswerScript {
  readonly status: 200 | 421 | 429 | 500 | 503
  readonly framing: ScriptFraming
  readonly connection: 'close' | 'keep-alive' | 'none'
  /** Bytes sent before the response. */
  readonly prelude: 'garbage' | 'hints' | 'none'
  /** Character set of an additional header value. */
  readonly note: 'ascii' | 'latin1' | 'none' | 'utf8'
  /** Whether the request id follows the other header lines. */
  readonly isIdLast: boolean
  readonly write: 'bytes' | 'pieces' | 'whole'
  readonly pieces: number
  readonly pieceDelayMs: number
  /** Size of a plain body, or the padding of the data of each event. */
  readonly bodyBytes: number
  readonly lineEnd: '\n' | '\r' | '\r\n'
  readonly hasComments: boolean
  /** Whether the last event lacks its terminating empty line. */
  readonly isLastOpen: boolean
  readonly cut?: ScriptCut
  readonly double?: ScriptDuplicate
  /** End of the connection while it is idle; it may hit the next request if that arrives sooner. */
  readonly idleEnd?: ScriptIdleEnd
  /** Whether the response begins before the request body has been read. */
  readonly isEarly: boolean
  readonly workMs: number
}

/** Script of a response without faults. */
export const DEFAULT_SCRIPT: AnswerScript = {
  status: 200,
  framing: 'length',
  connection: 'none',
  prelude: 'none',
  note: 'none',
  isIdLast: false,
  write: 'whole',
  pieces: 1,
  pieceDelayMs: 0,
  bodyBytes: 200,
  lineEnd: '\n',
  hasComments: false,
  isLastOpen: false,
  isEarly: false,
  workMs: 0
}

/**
 * Returns whether a response body is delimited by the end of the connection.
 *
 * @param framing - framing of the response
 * @returns true for framings without a length or chunks
 */
export function isCloseDelimited (framing: ScriptFraming): boolean {
  return framing === 'connection' || framing === 'identity'
}

/**
 * Describes in one line how a script differs from `DEFAULT_SCRIPT`.
 *
 * @param script - script to describe
 * @returns the differing fields as JSON
 */
export function describeScript (script: AnswerScript): string {
  const defaults = DEFAULT_SCRIPT as unknown as Readonly<Record<string, unknown>>
  const changed = Object.entries(script).filter(([name, value]) => value !== undefined && value !== defaults[name])
  return JSON.stringify(Object.fromEntries(changed))
}
