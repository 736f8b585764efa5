/**
 * Removes hop-by-hop headers, which apply to a single connection and must not be forwarded.
 *
 * @module
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'

/** Headers of RFC 9110, section 7.6.1, and framing headers, which are set for each connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'expect', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Lowercase names of request headers that are exceptions to the general rule. */
export interface HeaderExceptions {
  /** Removed in addition to hop-by-hop headers. */
  readonly dropped: ReadonlySet<string>
  /** Kept even if the `Connection` header lists them. */
  readonly endToEnd: ReadonlySet<string>
}

/**
 * Removes the hop-by-hop headers of the caller's connection, the headers listed in the
 * `Connection` header, and the headers to be dropped.
 *
 * @param raw - alternating names and values
 * @param exceptions - further headers to remove, and headers to keep
 * @returns alternating names and values of the remaining headers
 */
export function removeHopByHopHeaders (raw: readonly string[], { dropped, endToEnd }: HeaderExceptions): string[] {
  const connectionOptions = readConnectionOptions(raw)
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] as string).toLowerCase()
    const isHopByHop = HOP_BY_HOP_HEADERS.has(name) || (connectionOptions.has(name) && !endToEnd.has(name))
    if (isHopByHop || dropped.has(name)) continue
    kept.push(raw[i] as string, raw[i + 1] as string)
  }
  return kept
}

/**
 * Returns the headers of a replica's response that are forwarded to the caller.
 *
 * @param headers - headers of the replica's response
 * @returns the headers without hop-by-hop headers
 */
export function toCallerHeaders (headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name)) kept[name] = value
  }
  return kept
}

function readConnectionOptions (raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>()
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if ((raw[i] as string).toLowerCase() !== 'connection') continue
    for (const name of (raw[i + 1] as string).split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}
