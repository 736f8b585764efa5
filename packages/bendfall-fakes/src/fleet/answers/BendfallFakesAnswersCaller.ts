/**
 * Client on a persistent connection that can read slowly or disconnect early.
 *
 * @module
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { encodeChunked } from './BendfallFakesAnswersEncode.js'
import { createResponseReader } from './BendfallFakesAnswersResponses.js'
import type { ReceivedResponse, ResponseReader } from './BendfallFakesAnswersResponses.js'

/** Request of a call and the caller's behavior. */
export interface AnswersCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly requestId: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Whether the body is sent with chunked transfer coding instead of a length. */
  readonly isChunked: boolean
  /** Pause after each chunk read, in milliseconds; 0: none. */
  readonly readPauseMs: number
  /** Time after which the caller disconnects; absent: never. */
  readonly leavesAfterMs?: number
}

/** Outcome of a call. */
export interface CallOutcome {
  /** `left`: the caller closed the connection; `silent`: the response did not end in time. */
  readonly end: 'broken' | 'complete' | 'left' | 'silent'
  readonly answer: ReceivedResponse
}

/** A client with one connection. */
export interface AnswersCaller {
  readonly call: (call: AnswersCall) => Promise<CallOutcome>
  /** @returns the start of each piece of data received outside a response */
  readonly unsolicited: () => readonly string[]
  readonly close: () => void
}

/** A call that has not ended by then is a violation, since routes allow 4 s. */
const MAX_CALL_MS = 7_000

/** Maximum number of pauses of a slow reader: with 10 ms each, 8 MB in chunks of 64 KB take 1.3 s. */
const MAX_PAUSES = 200

interface Pending {
  readonly call: AnswersCall
  readonly reader: ResponseReader
  pauses: number
  readonly finish: (end: CallOutcome['end'], answer: ReceivedResponse) => void
}

/**
 * Creates a client.
 *
 * @param address - host and port of the entry
 * @returns the client, which connects on its first call
 */
export function createAnswersCaller (address: { readonly host: string, readonly port: number }): AnswersCaller {
  const unsolicited: string[] = []
  let socket: Socket | undefined
  let pending: Pending | undefined

  function openConnection (): Socket {
    // Half-open connections let the end of the peer be observed before this side closes, so that it can be distinguished from a reset.
    const opened = connect({ ...address, allowHalfOpen: true })
    opened.setNoDelay(true)
    opened.on('data', (chunk) => { if (opened === socket) handleData(opened, chunk) })
    opened.on('end', () => {
      // A reset connection no longer has a remote address. Node emits no error if it detects
      // the reset together with the last bytes.
      handleEnd(opened, opened.remoteAddress !== undefined)
      opened.end()
    })
    opened.on('error', () => handleEnd(opened, false))
    opened.on('close', () => handleEnd(opened, false))
    return opened
  }

  function handleData (from: Socket, chunk: Buffer): void {
    if (pending === undefined) {
      unsolicited.push(chunk.subarray(0, 100).toString('latin1'))
      return
    }
    const { call, reader } = pending
    const rest = reader.push(chunk)
    if (rest !== undefined) {
      if (rest.length > 0) unsolicited.push(rest.subarray(0, 100).toString('latin1'))
      return pending.finish('complete', reader.answer())
    }
    if (call.readPauseMs === 0 || pending.pauses >= MAX_PAUSES) return
    pending.pauses += 1
    from.pause()
    setTimeout(() => from.resume(), call.readPauseMs)
  }

  function handleEnd (closed: Socket, isOrderly: boolean): void {
    if (closed !== socket) return
    socket = undefined
    if (pending === undefined) return
    const answer = pending.reader.finish(isOrderly)
    pending.finish(answer.isComplete ? 'complete' : 'broken', answer)
  }

  function call (request: AnswersCall): Promise<CallOutcome> {
    socket ??= openConnection()
    const used = socket
    return new Promise((resolve) => {
      const timers: NodeJS.Timeout[] = []
      const disconnect = (end: 'left' | 'silent'): void => {
        const answer = pending?.reader.answer()
        socket = undefined
        used.destroy()
        if (answer !== undefined) pending?.finish(end, answer)
      }
      pending = {
        call: request,
        reader: createResponseReader(),
        pauses: 0,
        finish: (end, answer) => {
          pending = undefined
          timers.forEach(clearTimeout)
          const isKept = end === 'complete' && answer.framing !== 'connection' && answer.headers.get('connection')?.[0] !== 'close'
          if (!isKept && socket === used) {
            socket = undefined
            used.destroy()
          }
          resolve({ end, answer })
        }
      }
      timers.push(setTimeout(() => disconnect('silent'), MAX_CALL_MS))
      if (request.leavesAfterMs !== undefined) timers.push(setTimeout(() => disconnect('left'), request.leavesAfterMs))
      used.resume()
      used.write(encodeCall(request))
    })
  }

  return { call, unsolicited: () => unsolicited, close: () => socket?.destroy() }
}

function encodeCall ({ body, headers, isChunked, method, path, requestId }: AnswersCall): Buffer {
  const framing = isChunked ? { 'transfer-encoding': 'chunked' } : { 'content-length': String(body.length) }
  const all = { ...headers, 'x-request-id': requestId, ...(method === 'POST' ? framing : {}) }
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`)
  return Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`), method === 'POST' && isChunked ? encodeChunked(body) : body])
}
