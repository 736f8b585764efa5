/**
 * Takes a learned configuration into force, upwards only.
 *
 * Handlers of other features read `state.config`, never `event.config`: the
 * event may carry a version that is not in force.
 *
 * @module
 */
import type { Config } from '../BendfallCoreConfig.js'
import type { Effect } from '../BendfallCoreEffects.js'
import type { EventHandler, HandlerTable } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import { resolveMembers } from '../members/BendfallCoreMemberState.js'

/**
 * Tells the version in force.
 *
 * @param state - state of the process
 * @returns the version, 0 while none was learned
 */
export function configVersion (state: State): number {
  return state.config?.version ?? 0
}

/**
 * Names the time line of a configuration.
 *
 * @param version - version of the configuration
 * @returns the subject of its records
 */
export function configSubject (version: number): string {
  return `config/${version}`
}

const learnConfig: EventHandler<'config_learned'> = (state, event) => {
  if (event.config.version <= configVersion(state)) return stay(state)
  const members = resolveMembers(state.members, event.config, event.atMs)
  return {
    state: { ...state, config: event.config, members },
    effects: [recordInForce(event.config)]
  }
}

function recordInForce (config: Config): Effect {
  return {
    type: 'record',
    subject: configSubject(config.version),
    event: 'config_in_force',
    fields: { version: config.version, writeId: config.writeId }
  }
}

/** Handlers of the configuration; must come before those that read it. */
export const configHandlers: HandlerTable = {
  config_learned: learnConfig
}
