/**
 * Formats a log event as one line of key=value pairs.
 *
 * @module
 */

/** Values of a log line by key. */
export type LogFields = Readonly<Record<string, unknown>>

const REDACTED = '[redacted]'
const SECRET_KEYS = /^(.*(password|passphrase|secret|credentials?|cookie|privatekey|apikey|accesstoken|bearertoken)|authorization)$/
const URL_MARK = '://'
// Starts with fixed text: a pattern that starts with the scheme's name tries each
// run of word characters from each of its places.
const URL_CREDENTIALS = /:\/\/[^/\s@]+@/g
const PLAIN_VALUE = /^[^\s"=\\\p{Cc}]+$/u

/**
 * Formats pairs, in the order of their keys in the object.
 *
 * Values of keys that name secrets are replaced, also inside nested values, as
 * are user and password of URLs. Values with spaces, quotes or control
 * characters are quoted as JSON, so that an event is always one line.
 *
 * @param fields - values by key; keys with `undefined` are left out
 * @returns the line, without a line feed
 */
export function formatLogLine (fields: LogFields): string {
  const present = Object.entries(fields).filter(([, value]) => value !== undefined)
  return present.map(([key, value]) => `${key}=${formatValue(key, value)}`).join(' ')
}

function formatValue (key: string, value: unknown): string {
  const text = redactUrls(stringify(redactByKey(key, value)))
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text)
}

function redactUrls (text: string): string {
  return text.includes(URL_MARK) ? text.replace(URL_CREDENTIALS, `${URL_MARK}${REDACTED}@`) : text
}

function stringify (value: unknown): string {
  if (typeof value === 'string') return value
  if (value instanceof Error) return value.message
  if (typeof value === 'object' && value !== null) return JSON.stringify(value, redactByKey)
  return String(value)
}

function redactByKey (key: string, value: unknown): unknown {
  const name = key.toLowerCase().replace(/[^a-z]/g, '')
  return SECRET_KEYS.test(name) ? REDACTED : value
}
