/**
 * Headers that concern one connection only and are never passed on.
 *
 * @module
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** RFC 9110, section 7.6.1, and the framing that each connection sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'expect', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Headers of a request that don't go by the general rule, in lower case. */
export interface HeaderExceptions {
  readonly dropped: ReadonlySet<string>
  /** Kept although the `Connection` header names them. */
  readonly endToEnd: ReadonlySet<string>
}

/**
 * Leaves out headers that concern the caller's connection, those that the
 * `Connection` header names, and those that are to be dropped.
 *
 * @param raw - names and values by turns
 * @param exceptions - further names to leave out, and names to keep
 * @returns names and values by turns
 */
export function dropConnectionHeaders (raw: readonly string[], { dropped, endToEnd }: HeaderExceptions): string[] {
  const named = namedByConnection(raw)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] as string).toLowerCase()
    const isOfConnection = CONNECTION_HEADERS.has(name) || (named.has(name) && !endToEnd.has(name))
    if (isOfConnection || dropped.has(name)) continue
    kept.push(raw[i] as string, raw[i + 1] as string)
  }
  return kept
}

/**
 * Headers of a replica's answer that go to the caller.
 *
 * @param headers - headers of the answer
 * @returns the headers without those of the replica's connection
 */
export function toCallerHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!CONNECTION_HEADERS.has(name)) kept[name] = value
  }
  return kept
}

function namedByConnection (raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>()
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if ((raw[i] as string).toLowerCase() !== 'connection') continue
    for (const name of (raw[i + 1] as string).split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}
