/**
 * Compiles the schemas of documents. The bundler replaces this module by one with validators that it
 * compiled itself: of 456 ms from process start to `started`, 115 ms went into compiling two schemas.
 *
 * @module
 */
import { Ajv } from 'ajv'
import type { Options, SchemaObject, ValidateFunction } from 'ajv'
import { ACCEPTED_FORMATS } from './BendfallNodeFormats.js'

/** Options of the validator, which the build uses as well. */
export const VALIDATOR_OPTIONS: Options = {
  allErrors: true,
  strict: true,
  strictRequired: false,
  allowUnionTypes: true,
  useDefaults: true,
  verbose: true,
  formats: ACCEPTED_FORMATS
}

let ajv: Ajv | undefined

/**
 * Compiles a schema.
 *
 * @param schema - JSON schema; may use the formats of {@link ACCEPTED_FORMATS}
 * @returns the validator
 * @throws Error if the schema is invalid
 */
export function compileValidator (schema: SchemaObject): ValidateFunction {
  ajv ??= new Ajv(VALIDATOR_OPTIONS)
  return ajv.compile(schema)
}
