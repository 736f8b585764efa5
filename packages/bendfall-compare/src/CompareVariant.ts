/**
 * Variants of the router: other checkouts, or the base with a mechanism switched.
 *
 * @module
 */
import { cp, readFile, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { DECISION_CHOICES } from 'bendfall-router'
import type { DecisionName } from 'bendfall-router'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'

/** A build that is played. */
export interface Variant {
  readonly name: string
  /** Folder of its checkout. */
  readonly folder: string
}

/** A mechanism and the choice that replaces its default. */
export interface Switch {
  readonly decision: DecisionName
  readonly choice: string
}

/** Where the settings of a checkout switch mechanisms. */
const TEMPLATE = join('deploy', 'settings.json.template')

const NO_SWITCHES = '"decisions": {}'

/**
 * Reads switches as written on the command line.
 *
 * @param text - `NAME=CHOICE` separated by commas, or `all`
 * @returns the switches, or what is wrong with the first bad one
 */
export function parseSwitches (text: string): Result<Switch[], string> {
  if (text === 'all') return Ok(allSwitches())
  const switches: Switch[] = []
  for (const part of text.split(',').filter((one) => one !== '')) {
    const [name = '', choice = ''] = part.split('=')
    const choices: readonly string[] | undefined = DECISION_CHOICES[name as DecisionName]
    if (choices === undefined) return Err(`"${name}" is no mechanism; known: ${Object.keys(DECISION_CHOICES).join(', ')}`)
    if (!choices.includes(choice)) return Err(`"${choice}" is no choice of ${name}; known: ${choices.join(', ')}`)
    switches.push({ decision: name as DecisionName, choice })
  }
  return Ok(switches)
}

function allSwitches (): Switch[] {
  return Object.entries(DECISION_CHOICES).flatMap(([name, [, ...others]]) => others.map((choice) => ({ decision: name as DecisionName, choice })))
}

/**
 * Copies the base with one mechanism switched.
 *
 * @param base - the base
 * @param change - the switch
 * @returns the variant; its folder lies beside the base's
 * @throws Error when the base's settings already switch something
 */
export async function createVariant (base: Variant, { choice, decision }: Switch): Promise<Variant> {
  const variant = { name: `${decision}=${choice}`, folder: `${base.folder}-${decision}-${choice}` }
  const template = await readFile(join(base.folder, TEMPLATE), 'utf8')
  if (!template.includes(NO_SWITCHES)) throw new Error(`${TEMPLATE} of ${base.name} must hold ${NO_SWITCHES}`)
  await rm(variant.folder, { recursive: true, force: true })
  await cp(base.folder, variant.folder, { recursive: true, verbatimSymlinks: true, preserveTimestamps: true })
  await writeFile(join(variant.folder, TEMPLATE), template.replace(NO_SWITCHES, `"decisions": ${JSON.stringify({ [decision]: choice })}`))
  return variant
}
