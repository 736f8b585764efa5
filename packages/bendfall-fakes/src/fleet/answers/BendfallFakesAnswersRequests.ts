/**
 * Incremental parser for the requests on a connection.
 *
 * @module
 */

/** A parsed request head. */
export interface RequestHead {
  readonly method: string
  readonly path: string
  /** Values by lower-case name. */
  readonly headers: ReadonlyMap<string, string>
  readonly bodyBytes: number
}

/** Parser of one connection. */
export interface RequestReader {
  readonly push: (chunk: Buffer) => void
}

/** Callbacks of the parser. */
export interface RequestListener {
  readonly onHead: (head: RequestHead) => void
  readonly onRequest: (head: RequestHead, body: Buffer) => void
  /** Called with a head that is not a valid request. */
  readonly onGarbage: (bytes: Buffer) => void
}

const HEAD_END = Buffer.from('\r\n\r\n')
const REQUEST_LINE = /^(GET|POST|DELETE|PUT) (\S+) HTTP\/1\.1$/

/**
 * Creates a parser. Bodies must have a `Content-Length`.
 *
 * @param listener - called for each parsed head and request
 * @returns the parser
 */
export function createRequestReader (listener: RequestListener): RequestReader {
  let chunks: Buffer[] = []
  let bytes = 0
  let head: RequestHead | undefined

  function consume (count: number): Buffer {
    const all = Buffer.concat(chunks)
    const rest = all.subarray(count)
    chunks = rest.length > 0 ? [rest] : []
    bytes = rest.length
    return all.subarray(0, count)
  }

  function readHead (): boolean {
    const all = Buffer.concat(chunks)
    chunks = [all]
    const end = all.indexOf(HEAD_END)
    if (end < 0) return false
    const text = consume(end + HEAD_END.length).toString('latin1')
    head = parseHead(text)
    if (head === undefined) listener.onGarbage(Buffer.from(text, 'latin1'))
    else listener.onHead(head)
    return true
  }

  function readBody (known: RequestHead): boolean {
    if (bytes < known.bodyBytes) return false
    head = undefined
    listener.onRequest(known, consume(known.bodyBytes))
    return true
  }

  function readNext (): boolean {
    if (head !== undefined) return readBody(head)
    return bytes > 0 && readHead()
  }

  return {
    push: (chunk) => {
      chunks.push(chunk)
      bytes += chunk.length
      while (readNext()) continue
    }
  }
}

function parseHead (text: string): RequestHead | undefined {
  const [line = '', ...rest] = text.trimEnd().split('\r\n')
  const match = REQUEST_LINE.exec(line)
  if (match === null) return undefined
  const headers = new Map<string, string>()
  for (const header of rest) {
    const colon = header.indexOf(':')
    headers.set(header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim())
  }
  return { method: match[1] ?? '', path: match[2] ?? '', headers, bodyBytes: Number(headers.get('content-length') ?? 0) }
}
