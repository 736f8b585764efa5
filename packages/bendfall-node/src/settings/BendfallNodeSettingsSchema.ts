/**
 * JSON schema of the settings, with defaults.
 *
 * @module
 */
import type { SchemaObject } from 'ajv'

const NAME = { type: 'string', pattern: '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$' }
const ADDRESS = { type: 'string', format: 'ip-port' }
const URL_BY_IP = { type: 'string', format: 'http-url' }
const ABSENT = false

const KIB = 1024
const MIB = 1024 * KIB
const MAX_BODY_BYTES = 256 * MIB
const MAX_HEADER_BYTES = 256 * KIB
const MAX_OPEN_REQUESTS = 1_000_000
const MAX_WAIT_MS = 3_600_000

function integerUpTo (maximum: number, fallback: number): SchemaObject {
  return { type: 'integer', minimum: 1, maximum, default: fallback }
}

function closedObject (properties: Readonly<Record<string, SchemaObject>>, required: readonly string[]): SchemaObject {
  return { type: 'object', additionalProperties: false, properties, required }
}

function optionalObject (properties: Readonly<Record<string, SchemaObject>>): SchemaObject {
  return { ...closedObject(properties, []), default: {} }
}

const LIMITS = optionalObject({
  bodyBytes: integerUpTo(MAX_BODY_BYTES, 4 * MIB),
  headerBytes: integerUpTo(MAX_HEADER_BYTES, 16 * KIB),
  openRequests: integerUpTo(MAX_OPEN_REQUESTS, 1024),
  bufferedBytes: integerUpTo(MAX_BODY_BYTES, MIB),
  headerTimeoutMs: integerUpTo(MAX_WAIT_MS, 5_000),
  bodyTimeoutMs: integerUpTo(MAX_WAIT_MS, 10_000),
  drainMs: integerUpTo(MAX_WAIT_MS, 130_000),
  lingerMs: integerUpTo(MAX_WAIT_MS, 2_000)
})

const TIMINGS = optionalObject({
  instancePollMs: integerUpTo(MAX_WAIT_MS, 1_000),
  configWatchMs: integerUpTo(MAX_WAIT_MS, 20_000),
  engineReportMs: integerUpTo(MAX_WAIT_MS, 250),
  homeLeaseMs: integerUpTo(MAX_WAIT_MS, 120_000),
  connectTimeoutMs: integerUpTo(MAX_WAIT_MS, 500)
})

const METRICS = closedObject({
  host: { type: 'string', format: 'ip' },
  port: { type: 'integer', minimum: 1, maximum: 65_535 },
  prefix: { type: 'string', default: 'bendfall.' }
}, ['host', 'port'])

const LOG = optionalObject({
  level: { type: 'string', enum: ['error', 'warn', 'info', 'debug'], default: 'info' }
})

const UPSTREAM = closedObject({
  kind: { type: 'string', enum: ['engine', 'service'] },
  url: URL_BY_IP,
  checksFencing: { type: 'boolean', default: false }
}, ['kind', 'url'])

const PLATFORM = closedObject({
  keyValueUrl: URL_BY_IP,
  instanceListUrl: URL_BY_IP
}, ['keyValueUrl', 'instanceListUrl'])

const ENTRY_RULES = {
  properties: {
    listen: { type: 'object', required: ['callers'], properties: { callers: ADDRESS } },
    pool: ABSENT,
    upstream: ABSENT
  }
}

const SIDECAR_RULES = {
  required: ['pool', 'upstream'],
  properties: {
    listen: { type: 'object', properties: { callers: ABSENT } },
    pool: NAME,
    upstream: { type: 'object' }
  }
}

/** Schema of the settings file of both roles. */
export const SETTINGS_SCHEMA: SchemaObject = {
  ...closedObject({
    role: { type: 'string', enum: ['entry', 'sidecar'] },
    instanceId: NAME,
    availabilityZone: NAME,
    pool: { type: 'string' },
    listen: closedObject({ callers: { type: 'string' }, peers: ADDRESS }, ['peers']),
    peersSeeds: { type: 'array', items: ADDRESS, default: [] },
    platform: PLATFORM,
    upstream: UPSTREAM,
    metrics: METRICS,
    log: LOG,
    limits: LIMITS,
    timings: TIMINGS
  }, ['role', 'instanceId', 'availabilityZone', 'listen', 'platform']),
  allOf: [
    { if: roleIs('entry'), then: ENTRY_RULES },
    { if: roleIs('sidecar'), then: SIDECAR_RULES }
  ]
}

function roleIs (role: string): SchemaObject {
  return { type: 'object', required: ['role'], properties: { role: { const: role } } }
}
