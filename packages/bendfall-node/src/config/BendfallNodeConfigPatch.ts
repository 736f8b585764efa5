/**
 * What changed between two configurations: a merge patch (RFC 7386) down to
 * the entries of each section. An entry is replaced whole; null removes it.
 *
 * @module
 */
import type { Config } from 'bendfall-core'
import { canonicalJson, toConfig } from 'bendfall-core'

/** Sections whose entries are handed over one by one. */
const ENTRY_SECTIONS = ['classes', 'models', 'pools', 'clients', 'assignments'] as const

type EntrySection = typeof ENTRY_SECTIONS[number]
type Entries = Readonly<Record<string, unknown>>

/** Changes from one configuration to another. */
export interface ConfigPatch {
  /** Write id of the configuration that the patch starts from. */
  readonly baseWriteId: string
  /** Sections that are replaced whole. */
  readonly sections: Partial<Omit<Config, EntrySection>>
  /** Changed entries by section; null for those that were removed. */
  readonly entries: Readonly<Partial<Record<EntrySection, Entries>>>
}

/**
 * Makes the patch that turns one configuration into another.
 *
 * @param base - configuration that the receiver has
 * @param current - configuration that it is to have
 * @returns the patch
 */
export function diffConfig (base: Config, current: Config): ConfigPatch {
  const entries = ENTRY_SECTIONS.map((name) => [name, diffEntries(base[name], current[name])] as const)
  const sections = Object.entries(current).filter(([name, section]) => !isEntrySection(name) && !isSame(section, base[name as keyof Config]))
  return {
    baseWriteId: base.writeId,
    sections: Object.fromEntries(sections),
    entries: Object.fromEntries(entries.filter(([, changed]) => Object.keys(changed).length > 0))
  }
}

/**
 * Applies a patch.
 *
 * @param base - configuration that the receiver has
 * @param patch - the patch
 * @returns the configuration; nothing when the patch starts from another one
 *   or leads to no configuration
 */
export function patchConfig (base: Config, patch: ConfigPatch): Config | undefined {
  if (patch.baseWriteId !== base.writeId) return undefined
  const entries = Object.entries(patch.entries).map(([name, changed]) => [name, mergeEntries(base[name as EntrySection], changed)] as const)
  return toConfig({ ...base, ...patch.sections, ...Object.fromEntries(entries) })
}

function isEntrySection (name: string): boolean {
  return (ENTRY_SECTIONS as readonly string[]).includes(name)
}

function diffEntries (base: Entries, current: Entries): Entries {
  if (base === current) return {}
  const removed = Object.keys(base).filter((key) => !Object.hasOwn(current, key)).map((key) => [key, null] as const)
  const changed = Object.entries(current).filter(([key, entry]) => !Object.hasOwn(base, key) || !isSame(entry, base[key]))
  return Object.fromEntries([...changed, ...removed])
}

function mergeEntries (base: Entries, changed: Entries): Entries {
  const merged = Object.entries({ ...base, ...changed })
  return Object.fromEntries(merged.filter(([, entry]) => entry !== null))
}

function isSame (left: unknown, right: unknown): boolean {
  return left === right || canonicalJson(left) === canonicalJson(right)
}
