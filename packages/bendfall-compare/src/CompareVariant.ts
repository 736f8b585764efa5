/**
 * Creates variants of the router: other checkouts, or copies of the base with one
 * mechanism switched.
 *
 * @module
 */
import { cp, readFile, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { DECISION_CHOICES } from 'bendfall-router'
import type { DecisionName } from 'bendfall-router'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'

/** A build to compare. */
export interface Variant {
  readonly name: string
  /** Folder of the checkout. */
  readonly folder: string
}

/** A mechanism of the router and the choice that replaces its default. */
export interface Switch {
  readonly decision: DecisionName
  readonly choice: string
}

/** Path, within a checkout, of the settings that select the choices of mechanisms. */
const SETTINGS_TEMPLATE = join('deploy', 'settings.json.template')

const NO_SWITCHES = '"decisions": {}'

/**
 * Parses the switches given on the command line.
 *
 * @param text - `NAME=CHOICE` separated by commas, or `all`
 * @returns the switches, or the error in the first invalid one
 */
export function parseSwitches (text: string): Result<Switch[], string> {
  if (text === 'all') return Ok(allSwitches())
  const switches: Switch[] = []
  for (const part of text.split(',').filter((one) => one !== '')) {
    const [name = '', choice = ''] = part.split('=')
    const choices: readonly string[] | undefined = DECISION_CHOICES[name as DecisionName]
    if (choices === undefined) return Err(`"${name}" is not a mechanism; known: ${Object.keys(DECISION_CHOICES).join(', ')}`)
    if (!choices.includes(choice)) return Err(`"${choice}" is not a choice of ${name}; known: ${choices.join(', ')}`)
    switches.push({ decision: name as DecisionName, choice })
  }
  return Ok(switches)
}

function allSwitches (): Switch[] {
  return Object.entries(DECISION_CHOICES).flatMap(([name, [, ...others]]) => others.map((choice) => ({ decision: name as DecisionName, choice })))
}

/**
 * Copies the base and switches one mechanism in the copy.
 *
 * @param base - variant to copy
 * @param change - mechanism and choice to set in the copy
 * @returns the variant, in a folder next to that of the base
 * @throws Error if the base's settings already switch a mechanism
 */
export async function createVariant (base: Variant, { choice, decision }: Switch): Promise<Variant> {
  const variant = { name: `${decision}=${choice}`, folder: `${base.folder}-${decision}-${choice}` }
  const template = await readFile(join(base.folder, SETTINGS_TEMPLATE), 'utf8')
  if (!template.includes(NO_SWITCHES)) throw new Error(`${SETTINGS_TEMPLATE} of ${base.name} must contain ${NO_SWITCHES}`)
  await rm(variant.folder, { recursive: true, force: true })
  await cp(base.folder, variant.folder, { recursive: true, verbatimSymlinks: true, preserveTimestamps: true })
  await writeFile(join(variant.folder, SETTINGS_TEMPLATE), template.replace(NO_SWITCHES, `"decisions": ${JSON.stringify({ [decision]: choice })}`))
  return variant
}
