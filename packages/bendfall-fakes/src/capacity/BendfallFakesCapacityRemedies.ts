/**
 * Estimates design changes that would bring rows within their limits, from the
 * same measurements. None of the changes is implemented.
 *
 * @module
 */
import type { Facts } from './BendfallFakesCapacityFacts.js'
import type { Estimate } from './BendfallFakesCapacityFit.js'
import { exactly, times } from './BendfallFakesCapacityFit.js'
import type { CapacityRole, Resource } from './BendfallFakesCapacityRow.js'
import { HOME_TIMES } from './BendfallFakesCapacityServiceRows.js'
import { bytesPerKey, keysAtHolder } from './BendfallFakesCapacitySidecarRows.js'
import { DERIVED, SIZE } from './BendfallFakesCapacitySize.js'

/** A design change with the affected cost before and after it. */
export interface Remedy {
  readonly role: CapacityRole
  readonly resource: Resource
  readonly change: string
  readonly before: Estimate
  readonly after: Estimate
}

/**
 * Estimates the effect of all remedies.
 *
 * @param facts - measured slopes and constants
 * @returns the changes, each with the cost of its row before and after
 */
export function remedies (facts: Facts): readonly Remedy[] {
  return [...configRemedies(facts), ...homeRemedies(facts)]
}

function configRemedies ({ configBytes }: Facts): readonly Remedy[] {
  return [
    { role: 'watcher', resource: 'traffic', change: 'one key per section entry, watched by prefix', before: exactly(DERIVED.changesPerSecond * configBytes.whole), after: exactly(DERIVED.changesPerSecond * configBytes.assignmentPatch) }
  ]
}

function homeRemedies (facts: Facts): readonly Remedy[] {
  const holders = SIZE.models * facts.homeCandidates
  const regional = holders * SIZE.regions
  const perKey = bytesPerKey(facts)
  return [
    { role: 'home holder', resource: 'memory', change: 'one pool per model and region', before: times(perKey, keysAtHolder(holders).kept), after: times(perKey, keysAtHolder(regional).kept) },
    { role: 'key-value service', resource: 'writes', change: 'one pool per model and region: lease renewals of its holders', before: exactly(holders / HOME_TIMES.renewalSeconds), after: exactly(regional / HOME_TIMES.renewalSeconds) }
  ]
}
