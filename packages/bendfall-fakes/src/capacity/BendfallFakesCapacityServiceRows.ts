/**
 * Estimates the load of the key-value service, in ordinary operation and during
 * faults, and the costs of a watcher.
 *
 * @module
 */
import { HOME_SLOT_COUNT, WATCHERS_PER_ZONE } from 'bendfall-core'
import { DEFAULT_HOME_HOLDER_TIMES } from 'bendfall-node'
import { cores } from './BendfallFakesCapacityEntryRows.js'
import type { Facts } from './BendfallFakesCapacityFacts.js'
import { times } from './BendfallFakesCapacityFit.js'
import { createRowFactory } from './BendfallFakesCapacityRow.js'
import type { Row } from './BendfallFakesCapacityRow.js'
import { DERIVED, SIZE } from './BendfallFakesCapacitySize.js'

const MS_PER_SECOND = 1000
const SECONDS_PER_DAY = 86_400

/** Intervals of the home holders. */
export const HOME_TIMES = {
  renewalSeconds: DEFAULT_HOME_HOLDER_TIMES.renewalMs / MS_PER_SECOND,
  watchSeconds: DEFAULT_HOME_HOLDER_TIMES.watchWaitMs / MS_PER_SECOND
} as const

/** Mean retry delay of a process that has no configuration yet: full jitter over 15 s. */
const FIRST_CONFIG_RETRY_SECONDS = 7.5

/** A conditional read and its 304 response, including headers, as counted by a relay. */
const UNCHANGED_LIST_BYTES = 362

/** Time within which the calls that a fault causes must be completed. */
const FAULT_SECONDS = 10

const service = createRowFactory('key-value service', 'control')
const fault: typeof service = (...parts) => ({ ...service(...parts), isFault: true })
const watcher = createRowFactory('watcher', 'control')

/**
 * Estimates the rate of calls at the key-value service.
 *
 * @param facts - measured slopes and constants
 * @returns the rows; those of faults come in addition to the ordinary load
 */
export function serviceRows (facts: Facts): readonly Row[] {
  return [...ordinaryRows(facts), ...faultRows(facts)]
}

/**
 * Estimates the costs of a watcher, in addition to those of an entry.
 *
 * @param facts - measured slopes and constants
 * @returns the rows
 */
export function watcherRows ({ config, configBytes, members, timings }: Facts): readonly Row[] {
  return [
    watcher('traffic', 'watch of the configuration, complete document per change', DERIVED.changesPerSecond * configBytes.whole),
    watcher('traffic', 'instance list, unchanged reads', UNCHANGED_LIST_BYTES * MS_PER_SECOND / timings.instancePollMs),
    watcher('traffic', 'instance list, complete and compressed, at each change', times(members.listZippedBytes.at(DERIVED.instances), DERIVED.instanceChangesPerSecond)),
    watcher('cpu', 'instance list, parsing at each change', cores(members.listParseUs.at(DERIVED.instances), DERIVED.instanceChangesPerSecond)),
    watcher('cpu', 'complete document, parsing and validation', cores(config.parseUs.at(configBytes.whole), DERIVED.changesPerSecond))
  ]
}

function ordinaryRows ({ timings, homeCandidates }: Facts): readonly Row[] {
  const watchers = WATCHERS_PER_ZONE * SIZE.availabilityZones
  const holders = SIZE.models * homeCandidates
  const slotChanges = (SIZE.failuresPerDay + SIZE.restartsPerDay) / SECONDS_PER_DAY * holders / SIZE.replicas
  return [
    service('reads', 'watch of the configuration, two watchers per availability zone', watchers * (MS_PER_SECOND / timings.configWatchMs + DERIVED.changesPerSecond)),
    service('reads', 'first configuration of restarted processes', SIZE.restartsPerDay / SECONDS_PER_DAY),
    service('reads', 'watch of the slots, 8 holders per pool', holders * (1 / HOME_TIMES.watchSeconds + slotChanges)),
    service('reads', 'plan and confirm', 2 * DERIVED.changesPerSecond),
    service('writes', 'renewal of the holders\' leases', holders / HOME_TIMES.renewalSeconds),
    service('writes', 'confirm', DERIVED.changesPerSecond)
  ]
}

function faultRows ({ homeCandidates }: Facts): readonly Row[] {
  const holders = SIZE.models * homeCandidates
  const slots = SIZE.models * HOME_SLOT_COUNT
  const lostHolders = holders / SIZE.availabilityZones
  const lostSlots = slots / SIZE.availabilityZones
  const watchersOfRegion = WATCHERS_PER_ZONE * SIZE.availabilityZones / SIZE.regions
  return [
    fault('writes', 'availability zone lost: evict, grant, claim within 10 s', (2 * lostHolders + lostSlots) / FAULT_SECONDS),
    fault('reads', 'availability zone lost: watches of all holders end once per slot', homeCandidates * lostSlots / FAULT_SECONDS),
    fault('reads', 'region reconnected after minutes: its watchers read once', watchersOfRegion / FAULT_SECONDS),
    fault('writes', 'all restarted: grants and claims within 10 s', (holders + slots) / FAULT_SECONDS),
    fault('reads', 'all restarted: first configuration within 10 s', DERIVED.instances / FAULT_SECONDS),
    fault('reads', 'service down while all restart: retries of all processes', DERIVED.instances / FIRST_CONFIG_RETRY_SECONDS)
  ]
}
