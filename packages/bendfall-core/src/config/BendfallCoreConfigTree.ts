/**
 * Who learns the configuration from whom. Two watchers an availability zone
 * read the key-value service; all others ask a parent in a tree of bounded
 * fan-out that each process derives from its own members.
 *
 * @module
 */
import { rankByRendezvous } from '../BendfallCoreHash.js'
import type { State } from '../BendfallCoreState.js'
import type { AvailabilityZone, InstanceId } from '../BendfallCoreTypes.js'

/** Processes an availability zone that read the key-value service. */
export const WATCHERS_PER_ZONE = 2

/** Children that a process has in the tree of its availability zone. */
export const CONFIG_FANOUT = 8

type Zones = ReadonlyMap<AvailabilityZone, ZoneProcesses>

interface ZoneProcesses {
  readonly entries: InstanceId[]
  readonly upstreams: InstanceId[]
}

/**
 * Tells whether this process reads the key-value service.
 *
 * @param state - state of the process
 * @returns true for a watcher of its availability zone
 */
export function isConfigWatcher (state: State): boolean {
  const { availabilityZone, instanceId } = state.self
  return watchersOf(listZones(state), availabilityZone).includes(instanceId)
}

/**
 * Lists whom this process asks for the configuration, best first: its parent,
 * then the watchers, those of its own availability zone first.
 *
 * @param state - state of the process
 * @returns instances other than this one, each once
 */
export function configParents (state: State): readonly InstanceId[] {
  const { availabilityZone, instanceId } = state.self
  const zones = listZones(state)
  const ring = zoneRing(zones, availabilityZone)
  const watchers = ring.flatMap((zone) => watchersOf(zones, zone))
  const parent = treeParent(zones, ring, instanceId)
  const asked = parent === undefined ? watchers : [parent, ...watchers]
  return [...new Set(asked)].filter((asking) => asking !== instanceId)
}

function treeParent (zones: Zones, ring: readonly AvailabilityZone[], self: InstanceId): InstanceId | undefined {
  const [ownZone, ...otherZones] = ring
  const watchers = watchersOf(zones, ownZone)
  const order = treeOrder(zones, ownZone, watchers)
  const index = order.indexOf(self)
  if (index === -1) return undefined
  if (index >= watchers.length) return order[Math.floor((index - watchers.length) / CONFIG_FANOUT)]
  const next = otherZones.map((zone) => watchersOf(zones, zone)).find((others) => others.length > 0)
  return next?.[index % next.length]
}

function treeOrder (zones: Zones, zone: AvailabilityZone, watchers: readonly InstanceId[]): readonly InstanceId[] {
  const processes = zones.get(zone)
  if (processes === undefined) return []
  const others = [...processes.entries, ...processes.upstreams].filter((instanceId) => !watchers.includes(instanceId))
  return [...watchers, ...rankByRendezvous(`config/tree/${zone}`, others, others.length)]
}

/** Upstreams watch only in a zone without entries. */
function watchersOf (zones: Zones, zone: AvailabilityZone): readonly InstanceId[] {
  const { entries, upstreams } = zones.get(zone) ?? { entries: [], upstreams: [] }
  const candidates = entries.length > 0 ? entries : upstreams
  return rankByRendezvous(`config/watchers/${zone}`, candidates, WATCHERS_PER_ZONE)
}

function zoneRing (zones: Zones, first: AvailabilityZone): readonly AvailabilityZone[] {
  const sorted = [...new Set([...zones.keys(), first])].sort()
  const start = sorted.indexOf(first)
  return [...sorted.slice(start), ...sorted.slice(0, start)]
}

function listZones (state: State): Zones {
  const zones = new Map<AvailabilityZone, ZoneProcesses>()
  for (const member of state.members.values()) {
    // A suspicion is this process's alone; the tree must be the same for all.
    if (member.state === 'leaving' || member.state === 'gone') continue
    const { availabilityZone, instanceId, kind } = member.record
    const processes = zones.get(availabilityZone) ?? { entries: [], upstreams: [] }
    zones.set(availabilityZone, processes)
    const group = kind === 'entry' ? processes.entries : processes.upstreams
    group.push(instanceId)
  }
  return zones
}
