/**
 * The stored form of a configuration.
 *
 * @module
 */
import type { Config } from '../BendfallCoreConfig.js'
import { canonicalJson } from '../intents/BendfallCoreCanonical.js'

/** Key of the confirmed configuration in the key-value service. */
export const CONFIG_KEY = 'config/current'

type SectionCheck = (value: unknown) => boolean

const isText: SectionCheck = (value) => typeof value === 'string'
const isVersion: SectionCheck = (value) => Number.isSafeInteger(value) && Number(value) > 0
const isRecord: SectionCheck = (value) => typeof value === 'object' && value !== null && !Array.isArray(value)

const SECTION_CHECKS: Readonly<Record<keyof Config, SectionCheck>> = {
  version: isVersion,
  writeId: isText,
  classes: isRecord,
  models: isRecord,
  pools: isRecord,
  routes: Array.isArray,
  clients: isRecord,
  links: Array.isArray,
  assignments: isRecord,
  withdrawn: Array.isArray
}

/**
 * Writes a configuration.
 *
 * @param config - the configuration
 * @returns canonical JSON
 */
export function encodeConfig (config: Config): string {
  return canonicalJson(config)
}

/**
 * Reads a configuration that was written by {@link encodeConfig}.
 *
 * @param text - JSON
 * @returns the configuration; nothing when the text is none
 */
export function decodeConfig (text: string): Config | undefined {
  return toConfig(parseJson(text))
}

/**
 * Checks that a JSON value has the sections of a configuration.
 *
 * @param value - a JSON value
 * @returns the configuration; nothing when the value is none
 */
export function toConfig (value: unknown): Config | undefined {
  if (!isRecord(value)) return undefined
  const sections = value as Record<string, unknown>
  const isWhole = Object.entries(SECTION_CHECKS).every(([name, check]) => check(sections[name]))
  return isWhole ? value as Config : undefined
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
