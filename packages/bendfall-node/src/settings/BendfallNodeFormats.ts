/**
 * Formats of texts that the schemas of documents may name.
 *
 * @module
 */
import { isIP } from 'node:net'

const MAX_PORT = 65_535

/** A format: the words that findings use, and which texts have it. */
export interface DocumentFormat {
  readonly expected: string
  readonly accepts: (text: string) => boolean
}

/** Formats by the name that schemas use. */
export const DOCUMENT_FORMATS: Readonly<Record<string, DocumentFormat>> = {
  'http-url': { expected: 'an http or https URL whose host is an IP number', accepts: isHttpUrl },
  ip: { expected: 'an IP number, no host name', accepts: (text) => isIP(text) !== 0 },
  'ip-port': { expected: '"ip:port" with an IP number, no host name', accepts: isIpPort }
}

/** What accepts the texts of each format, in the form of the validator's options. */
export const ACCEPTED_FORMATS = Object.fromEntries(Object.entries(DOCUMENT_FORMATS).map(([name, { accepts }]) => [name, accepts]))

/**
 * Tells whether a text is `ip:port`; an IPv6 number stands in brackets.
 *
 * @param text - the text
 * @returns true for an IP number and a port from 0 to 65535
 */
export function isIpPort (text: string): boolean {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, ip6, ip4, port] = match
  const version = ip6 === undefined ? 4 : 6
  return isIP(ip6 ?? ip4) === version && Number(port) <= MAX_PORT
}

function isHttpUrl (text: string): boolean {
  if (!URL.canParse(text)) return false
  const url = new URL(text)
  const host = url.hostname.replace(/^\[|\]$/g, '')
  return ['http:', 'https:'].includes(url.protocol) && isIP(host) !== 0
}
