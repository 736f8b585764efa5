/**
 * Incremental parser for a response on a caller's connection, which also determines whether the response
 * is complete.
 *
 * @module
 */

/** A response as its caller receives it. */
export interface ReceivedResponse {
  readonly status: number
  /** Values by lower-case name; a repeated header has several. */
  readonly headers: ReadonlyMap<string, readonly string[]>
  readonly framing: 'chunked' | 'connection' | 'length'
  readonly body: Buffer
  readonly isComplete: boolean
}

/** Parser of one response. */
export interface ResponseReader {
  /** @returns bytes after the end of the response; undefined while the response is incomplete */
  readonly push: (chunk: Buffer) => Buffer | undefined
  /**
   * Handles the end of the connection.
   *
   * @param isOrderly - whether the connection was closed in an orderly way, as opposed to reset
   */
  readonly finish: (isOrderly: boolean) => ReceivedResponse
  readonly answer: () => ReceivedResponse
}

interface Head {
  readonly status: number
  readonly headers: ReadonlyMap<string, readonly string[]>
  readonly framing: ReceivedResponse['framing']
  readonly bodyBytes: number
}

const HEAD_END = Buffer.from('\r\n\r\n')
const LINE_END = Buffer.from('\r\n')
const MIN_FINAL_STATUS = 200

/**
 * Creates a parser.
 *
 * @returns the parser of one response
 */
export function createResponseReader (): ResponseReader {
  let rest: Buffer = Buffer.alloc(0)
  let head: Head | undefined
  const body: Buffer[] = []
  let bodyBytes = 0
  let isComplete = false

  function appendBody (bytes: Buffer): void {
    body.push(bytes)
    bodyBytes += bytes.length
  }

  function readHead (): boolean {
    const end = rest.indexOf(HEAD_END)
    if (end < 0) return false
    const parsed = parseHead(rest.subarray(0, end).toString('latin1'))
    rest = rest.subarray(end + HEAD_END.length)
    if (parsed.status >= MIN_FINAL_STATUS || parsed.status === 0) head = parsed
    return true
  }

  function readWithLength (size: number): void {
    const taken = rest.subarray(0, size - bodyBytes)
    rest = rest.subarray(taken.length)
    appendBody(taken)
    isComplete = bodyBytes === size
  }

  function readChunk (): boolean {
    const lineEnd = rest.indexOf(LINE_END)
    if (lineEnd < 0) return false
    const size = Number.parseInt(rest.subarray(0, lineEnd).toString('latin1'), 16)
    const from = lineEnd + LINE_END.length
    if (rest.length < from + size + LINE_END.length) return false
    appendBody(rest.subarray(from, from + size))
    rest = rest.subarray(from + size + LINE_END.length)
    isComplete = size === 0
    return !isComplete
  }

  function readBody (known: Head): void {
    if (known.framing === 'length') return readWithLength(known.bodyBytes)
    if (known.framing === 'chunked') {
      while (readChunk()) continue
      return
    }
    appendBody(rest)
    rest = Buffer.alloc(0)
  }

  function answer (): ReceivedResponse {
    return { status: head?.status ?? 0, headers: head?.headers ?? new Map(), framing: head?.framing ?? 'length', body: Buffer.concat(body), isComplete }
  }

  return {
    push: (chunk) => {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      while (head === undefined && readHead()) continue
      if (head !== undefined) readBody(head)
      return isComplete ? rest : undefined
    },
    finish: (isOrderly) => {
      if (head?.framing === 'connection') isComplete = isOrderly
      return answer()
    },
    answer
  }
}

function parseHead (text: string): Head {
  const [line = '', ...rest] = text.split('\r\n')
  const headers = new Map<string, string[]>()
  for (const header of rest) {
    const colon = header.indexOf(':')
    const name = header.slice(0, colon).toLowerCase()
    headers.set(name, [...headers.get(name) ?? [], header.slice(colon + 1).trim()])
  }
  const length = headers.get('content-length')?.[0]
  const isChunked = headers.has('transfer-encoding')
  return {
    status: Number(/^HTTP\/1\.1 (\d{3})/.exec(line)?.[1] ?? 0),
    headers,
    framing: isChunked ? 'chunked' : length === undefined ? 'connection' : 'length',
    bodyBytes: Number(length ?? 0)
  }
}
