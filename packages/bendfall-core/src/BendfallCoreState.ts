/**
 * The state of one process: slices that only the reducer replaces.
 *
 * @module
 */
import type { Map } from 'immutable'
import type { Config } from './BendfallCoreConfig.js'
import type { AvailabilityZone, InstanceId } from './BendfallCoreTypes.js'
import type { EntryState } from './entry/BendfallCoreEntryState.js'
import type { HomeState } from './home/BendfallCoreHomeState.js'
import type { SidecarState } from './sidecar/BendfallCoreSidecarState.js'
import type { Member } from './members/BendfallCoreMembers.js'

/** Who this process is; constant for its life. */
export interface Self {
  readonly instanceId: InstanceId
  /** Differs at each start of the process. */
  readonly incarnation: string
  readonly availabilityZone: AvailabilityZone
  readonly role: 'entry' | 'sidecar'
  /** Pool label of the instance; empty for entries. */
  readonly pool: string
  /** Whether the engine beside this sidecar refuses orders with an old fencing token. Default false. */
  readonly checksFencing?: boolean
}

/** State of one process. */
export interface State {
  readonly self: Self
  /** Seed of all random choices; moves on with each draw. */
  readonly seed: number
  /** The highest configuration seen; absent until one was learned. */
  readonly config?: Config
  readonly members: Map<InstanceId, Member>
  /** True once a stop was asked for: no new work from then on. */
  readonly stopping: boolean
  readonly entry?: EntryState
  readonly sidecar?: SidecarState
  /** Set at sidecars: the idempotency keys they are home of. */
  readonly home?: HomeState
}
