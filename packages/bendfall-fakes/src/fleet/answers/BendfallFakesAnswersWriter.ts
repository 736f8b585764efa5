/**
 * Writes scripted responses to a connection, with their cuts and duplicates.
 *
 * @module
 */
import type { Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import type { EncodedResponse } from './BendfallFakesAnswersEncode.js'
import type { AnswerScript, ScriptCut, ScriptDuplicate } from './BendfallFakesAnswersScript.js'
import { isCloseDelimited } from './BendfallFakesAnswersScript.js'

/** Longer responses are not written byte by byte. */
const MAX_BYTEWISE_BYTES = 400

/** Length of `HTTP/1.1 200 `. */
const STATUS_BYTES = 13

const HINTS = Buffer.from('HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n')
const GARBAGE = Buffer.from('what is this\r\n\r\n')

/**
 * Writes a response up to its end or its cut.
 *
 * @param socket - connection to write to
 * @param script - segments, pauses and faults of the response
 * @param response - encoded response
 * @param previousDuplicate - duplicate of a previous response to send in the same segment
 */
export async function writeResponse (socket: Socket, script: AnswerScript, response: EncodedResponse, previousDuplicate: Buffer): Promise<void> {
  const { cut } = script
  const bytes = Buffer.concat([preludeOf(script), previousDuplicate, response.head, response.framed])
  const prefixBytes = bytes.length - response.head.length - response.framed.length
  const sent = cut === undefined ? bytes : bytes.subarray(0, prefixBytes + cutPosition(cut, response))
  const after = hasAppendedDuplicate(script) ? encodeDuplicate(script.double, response) : Buffer.alloc(0)
  await writeParts(socket, Buffer.concat([sent, after]), script)
  if (cut !== undefined) await cutConnection(socket, cut)
  else if (endsConnection(script)) socket.end()
}

/**
 * Returns whether the connection ends with the response.
 *
 * @param script - script of the response
 * @returns true if no further response can follow
 */
export function endsConnection (script: AnswerScript): boolean {
  return script.cut !== undefined || isCloseDelimited(script.framing) || script.connection === 'close'
}

/**
 * Encodes a duplicate response.
 *
 * @param double - part of the response to repeat
 * @param response - response to duplicate
 * @returns the bytes
 */
export function encodeDuplicate ({ part, share }: ScriptDuplicate, response: EncodedResponse): Buffer {
  if (part === 'whole') return Buffer.concat([response.head, response.framed])
  if (part === 'line_cut') return response.head.subarray(0, STATUS_BYTES)
  if (part === 'head_cut') return response.head.subarray(0, Math.ceil(share * response.head.length))
  return Buffer.concat([response.head, response.framed.subarray(0, Math.floor(share * response.framed.length))])
}

/**
 * Returns the position at which a response is cut off.
 *
 * @param cut - part and relative position of the cut
 * @param answer - encoded response
 * @returns number of bytes of head and framed body before the cut
 */
export function cutPosition ({ at, share }: ScriptCut, { framed, head }: EncodedResponse): number {
  const places: Readonly<Record<ScriptCut['at'], number>> = {
    head: Math.floor(share * head.length),
    body: head.length + Math.floor(share * framed.length),
    last_byte: head.length + Math.max(0, framed.length - 1),
    end: head.length + framed.length
  }
  return places[at]
}

// A close-delimited response can't be followed by a duplicate, whose bytes would be part of the body.
function hasAppendedDuplicate (script: AnswerScript): script is AnswerScript & { readonly double: ScriptDuplicate } {
  return script.double?.when === 'same_segment' && script.cut === undefined && !isCloseDelimited(script.framing)
}

function preludeOf ({ prelude }: AnswerScript): Buffer {
  if (prelude === 'hints') return HINTS
  return prelude === 'garbage' ? GARBAGE : Buffer.alloc(0)
}

async function writeParts (socket: Socket, bytes: Buffer, { pieceDelayMs, pieces, write }: AnswerScript): Promise<void> {
  const isBytewise = write === 'bytes' && bytes.length <= MAX_BYTEWISE_BYTES
  const count = isBytewise ? bytes.length : write === 'pieces' ? pieces : 1
  const size = Math.max(1, Math.ceil(bytes.length / Math.max(1, count)))
  for (let at = 0; at < bytes.length && !socket.destroyed; at += size) {
    socket.write(bytes.subarray(at, at + size))
    if (at + size >= bytes.length) return
    if (isBytewise) await nextTurn()
    else await sleep(pieceDelayMs)
  }
}

async function cutConnection (socket: Socket, { afterMs, how }: ScriptCut): Promise<void> {
  if (afterMs > 0) await sleep(afterMs)
  if (!socket.writable) return
  if (how === 'fin') socket.end()
  else socket.resetAndDestroy()
}
