/**
 * What the sidecar serves at the moment, and why it refuses the rest.
 *
 * @module
 */
import type { Config, PoolConfig } from '../BendfallCoreConfig.js'
import type { Self } from '../BendfallCoreState.js'
import type { ModelName, PoolName, RefusalReason } from '../BendfallCoreTypes.js'
import type { SidecarState } from './BendfallCoreSidecarState.js'
import type { SidecarUpdate } from './BendfallCoreSidecarUpdate.js'

/** What the decision to serve depends on; both state and working copy have it. */
export interface ServingView {
  readonly self: Self
  readonly config?: Config | undefined
  readonly stopping: boolean
  readonly sidecar: SidecarState
}

/**
 * Tells the pool of this instance.
 *
 * @param view - state or working copy
 * @returns the assignment of the configuration in force, else the label
 */
export function ownPool ({ self, config }: Pick<ServingView, 'self' | 'config'>): PoolName {
  return config?.assignments[self.instanceId] ?? self.pool
}

/**
 * Looks up the configuration of this instance's pool.
 *
 * @param view - state or working copy
 * @returns the pool, undefined when the configuration does not have it
 */
export function ownPoolConfig (view: Pick<ServingView, 'self' | 'config'>): PoolConfig | undefined {
  return view.config?.pools[ownPool(view)]
}

/**
 * Tells whether operators withdraw this instance.
 *
 * @param view - state or working copy
 * @returns true while the configuration in force says so
 */
export function isWithdrawn ({ self, config }: Pick<ServingView, 'self' | 'config'>): boolean {
  return config?.withdrawn.includes(self.instanceId) ?? false
}

/**
 * Tells whether new work is refused because this sidecar drains: it stops, its
 * instance leaves or is withdrawn, or its engine is about to change its work.
 *
 * @param view - state or working copy
 * @returns true while draining
 */
export function isDraining (view: ServingView): boolean {
  const { drain, order } = view.sidecar
  return view.stopping || drain.isLeaving || order.phase === 'draining' || isWithdrawn(view)
}

/**
 * Finds what speaks against new work at the engine.
 *
 * @param update - working copy
 * @param role - what the engine is asked to do
 * @param model - model that it is asked for
 * @returns the reason for a refusal, undefined when the work may start
 */
export function refuseEngineWork (update: SidecarUpdate, role: 'prefill' | 'decode', model: ModelName): RefusalReason | undefined {
  const reason = refuseAnyWork(update)
  if (reason !== undefined) return reason
  const { held } = update.sidecar.order
  return held?.role === role && held.model === model ? undefined : 'no_upstream'
}

/**
 * Finds what speaks against a new call of the plain service.
 *
 * @param update - working copy
 * @param pool - pool that the call is for
 * @returns the reason for a refusal, undefined when the call may start
 */
export function refuseServiceWork (update: SidecarUpdate, pool: PoolName): RefusalReason | undefined {
  const reason = refuseAnyWork(update)
  if (reason !== undefined) return reason
  const isOwn = pool === ownPool(update) && ownPoolConfig(update)?.role === 'service'
  return isOwn ? undefined : 'no_upstream'
}

function refuseAnyWork (update: SidecarUpdate): RefusalReason | undefined {
  if (isDraining(update)) return 'draining'
  return update.config === undefined ? 'config_missing' : undefined
}
