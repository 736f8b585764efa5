/**
 * JSON schema of intents. No property has a default value, so that an intent is
 * complete on its own.
 *
 * @module
 */
interface Schema { readonly [keyword: string]: unknown }

const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'
const NAME: Schema = { type: 'string', pattern: NAME_PATTERN }
const COUNT: Schema = { type: 'integer', minimum: 0, maximum: 100_000 }
const BYTES: Schema = { type: 'integer', minimum: 1 }
const WAIT_MS: Schema = { type: 'number', exclusiveMinimum: 0, maximum: 86_400_000 }
const WEIGHT: Schema = { type: 'number', exclusiveMinimum: 0 }

function closedObject (properties: Readonly<Record<string, Schema>>, required: readonly string[] = Object.keys(properties)): Schema {
  return { type: 'object', additionalProperties: false, properties, required }
}

function recordOf (values: Schema): Schema {
  return { type: 'object', propertyNames: { pattern: NAME_PATTERN }, additionalProperties: values }
}

function listOf (items: Schema): Schema {
  return { type: 'array', items }
}

const TARGETS = closedObject({ firstOutputMs: WAIT_MS, stepMs: WAIT_MS })

const MODEL = closedObject({
  version: { type: 'string', minLength: 1 },
  adapters: listOf(NAME),
  kvBytesPerToken: BYTES,
  weightBytes: BYTES
})

const POOL = closedObject({
  role: { type: 'string', enum: ['prefill', 'decode', 'service'] },
  model: NAME,
  replicas: COUNT
}, ['role', 'replicas'])

const ROUTE = closedObject({
  pathPrefix: { type: 'string', pattern: '^/[^?#\\s]*$' },
  pool: NAME,
  trafficClass: { type: 'string', enum: ['interactive', 'summary'] },
  repeatableMethods: listOf({ type: 'string', pattern: '^[A-Z]+$' })
})

const LINK = closedObject({ from: NAME, to: NAME, bytesPerSecond: BYTES })

const SECTIONS: Readonly<Record<string, Schema>> = {
  classes: closedObject({ interactive: TARGETS, summary: TARGETS }),
  models: recordOf(MODEL),
  pools: recordOf(POOL),
  routes: listOf(ROUTE),
  clients: recordOf(closedObject({ shareWeight: WEIGHT })),
  links: listOf(LINK),
  withdrawn: listOf(NAME),
  assignments: recordOf(NAME)
}

/** JSON schema of an intent; all sections except `assignments` are required. */
export const INTENT_SCHEMA: Schema = closedObject(SECTIONS, Object.keys(SECTIONS).filter((name) => name !== 'assignments'))
