/**
 * What a scripted replica does with one request, down to the bytes.
 *
 * @module
 */

/** What tells the end of an answer's body; `identity` is a transfer coding without chunks, which ends with the connection as well. */
export type ScriptFraming = 'chunked' | 'connection' | 'identity' | 'length'

/** What a request asks of a replica. */
export type AskedFor = 'drop' | 'free' | 'hold' | 'prefill' | 'run'

/** Where an answer breaks off. */
export interface ScriptCut {
  /** Closed in order, or reset. */
  readonly how: 'fin' | 'reset'
  /** Part of the answer in which it breaks off; `end` is behind its last byte. */
  readonly at: 'body' | 'end' | 'head' | 'last_byte'
  /** Place within that part, 0 to 1. */
  readonly share: number
  /** Milliseconds from the last bytes to the break; 0: in the same turn. */
  readonly afterMs: number
}

/** A second answer to the same request. */
export interface ScriptDouble {
  /** `line_cut`: nothing behind the status. */
  readonly part: 'body_cut' | 'head_cut' | 'line_cut' | 'whole'
  /** In the segment of the first, some time after it, or right before the next answer on the connection. */
  readonly when: 'late' | 'same_segment' | 'with_next'
  readonly afterMs: number
  /** Place within the part at which it breaks off, 0 to 1. */
  readonly share: number
}

/** End of a connection that was kept behind an answer. */
export interface ScriptIdleEnd {
  readonly how: 'fin' | 'reset'
  readonly afterMs: number
}

/** How one request is answered. */
export interface AnswerScript {
  readonly status: 200 | 421 | 429 | 500 | 503
  readonly framing: ScriptFraming
  readonly connection: 'close' | 'keep-alive' | 'none'
  /** Sent before the answer. */
  readonly prelude: 'garbage' | 'hints' | 'none'
  /** Characters of a header's value. */
  readonly note: 'ascii' | 'latin1' | 'none' | 'utf8'
  /** Whether the id stands behind the other lines of the head. */
  readonly isIdLast: boolean
  readonly write: 'bytes' | 'pieces' | 'whole'
  readonly pieces: number
  readonly pieceDelayMs: number
  /** Size of a plain body, or of each event's data. */
  readonly bodyBytes: number
  readonly lineEnd: '\n' | '\r' | '\r\n'
  readonly hasComments: boolean
  /** Whether the last event lacks its empty line. */
  readonly isLastOpen: boolean
  readonly cut?: ScriptCut
  readonly double?: ScriptDouble
  /** Meets the next request where that comes sooner. */
  readonly idleEnd?: ScriptIdleEnd
  /** Whether the answer begins before the request's body was read. */
  readonly isEarly: boolean
  readonly workMs: number
}

/** An answer without any fault. */
export const SOUND_SCRIPT: AnswerScript = {
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
 * Tells whether the body of an answer ends with its connection.
 *
 * @param framing - of the answer
 * @returns whether it does
 */
export function hasOpenEnd (framing: ScriptFraming): boolean {
  return framing === 'connection' || framing === 'identity'
}

/**
 * Tells in a line how a script differs from a sound one.
 *
 * @param script - the script
 * @returns the differences
 */
export function describeScript (script: AnswerScript): string {
  const sound = SOUND_SCRIPT as unknown as Readonly<Record<string, unknown>>
  const changed = Object.entries(script).filter(([name, value]) => value !== undefined && value !== sound[name])
  return JSON.stringify(Object.fromEntries(changed))
}
