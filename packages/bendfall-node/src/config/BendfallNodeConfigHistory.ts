/**
 * The last configurations of a process, to hand over what changed instead of
 * the whole document.
 *
 * @module
 */
import type { Config } from 'bendfall-core'
import { canonicalJson, decodeConfig, encodeConfig, toConfig } from 'bendfall-core'
import type { ConfigPatch } from './BendfallNodeConfigPatch.js'
import { diffConfig, patchConfig } from './BendfallNodeConfigPatch.js'

/** Configurations kept, the one in force included. */
const KEPT_CONFIGS = 8

/** A configuration on its way between processes; empty texts say nothing. */
export interface ConfigAnswer {
  /** Version in force at the sender; 0 while it has none. */
  readonly version: number
  readonly configJson: string
  /** Sections that changed, for processes that take no patch. */
  readonly deltaJson: string
  /** Merge patch of what changed. */
  readonly patchJson: string
  /** Age of the last proof that the version is current. */
  readonly verifiedAgeMs: number
}

/** The configurations that a process keeps. */
export interface ConfigHistory {
  readonly add: (config: Config) => void
  /**
   * @param haveVersion - version of the asker
   * @param takesPatch - whether the asker reads a patch
   * @returns texts for the asker; empty ones when it is up to date
   */
  readonly write: (haveVersion: number, takesPatch: boolean) => Omit<ConfigAnswer, 'verifiedAgeMs'>
  /**
   * @param answer - answer to a question that named `haveVersion`
   * @returns the configuration; nothing when there is none or its base is lost
   */
  readonly read: (answer: ConfigAnswer, haveVersion: number) => Config | undefined
}

const NO_TEXTS = { configJson: '', deltaJson: '', patchJson: '' } as const

interface MadePatch {
  readonly base: Config
  readonly patchJson: string
}

/** Sections that changed, for a process that has the base. */
interface ConfigDelta {
  readonly baseWriteId: string
  readonly sections: Partial<Config>
}

/**
 * Makes an empty history.
 *
 * @returns the history
 */
export function createConfigHistory (): ConfigHistory {
  const kept: Config[] = []
  // All children ask for the same patch.
  let made: MadePatch | undefined
  const find = (version: number): Config | undefined => kept.find((config) => config.version === version)

  return {
    add: (config) => {
      made = undefined
      kept.push(config)
      if (kept.length > KEPT_CONFIGS) kept.shift()
    },
    write: (haveVersion, takesPatch) => {
      const current = kept.at(-1)
      if (current === undefined) return { version: 0, ...NO_TEXTS }
      const { version } = current
      if (version <= haveVersion) return { version, ...NO_TEXTS }
      const base = find(haveVersion)
      if (base === undefined) return { version, ...NO_TEXTS, configJson: encodeConfig(current) }
      if (!takesPatch) return { version, ...NO_TEXTS, deltaJson: writeDelta(base, current) }
      if (made?.base !== base) made = { base, patchJson: JSON.stringify(diffConfig(base, current)) }
      return { version, ...NO_TEXTS, patchJson: made.patchJson }
    },
    read: (answer, haveVersion) => {
      if (answer.configJson !== '') return decodeConfig(answer.configJson)
      const base = find(haveVersion)
      if (base === undefined) return undefined
      if (answer.patchJson !== '') return patchConfig(base, JSON.parse(answer.patchJson) as ConfigPatch)
      return readDelta(base, answer.deltaJson)
    }
  }
}

function writeDelta (base: Config, current: Config): string {
  const changed = Object.entries(current).filter(([name, section]) => canonicalJson(section) !== canonicalJson(base[name as keyof Config]))
  const delta: ConfigDelta = { baseWriteId: base.writeId, sections: Object.fromEntries(changed) }
  return JSON.stringify(delta)
}

function readDelta (base: Config, deltaJson: string): Config | undefined {
  if (deltaJson === '') return undefined
  const { baseWriteId, sections } = JSON.parse(deltaJson) as ConfigDelta
  return baseWriteId === base.writeId ? toConfig({ ...base, ...sections }) : undefined
}
