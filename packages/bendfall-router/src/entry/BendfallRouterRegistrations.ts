/**
 * Follows the registrations of replicas. A crashed replica's registration
 * outlives it by some heartbeats, in which a new one may come at its address.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import { isLeaving } from './BendfallRouterBelief.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { noteProcessGone } from './BendfallRouterCrashes.js'
import { isOldWord, noteDeparted } from './BendfallRouterDeparted.js'
import { addReplica, removeReplica, renewReplica, replicaAt } from './BendfallRouterMembers.js'
import { endFormerIncarnation } from './BendfallRouterRestarts.js'
import type { RouterState } from './BendfallRouterState.js'

/**
 * Takes a registration. Of those at one address only the latest counts; of 43
 * failed sends of a day with crashes 40 went to the registration of a former
 * replica. Of those under one id the latest incarnation counts, and the latest write of it.
 *
 * @param context - of the event
 * @param replica - as registered
 */
export function learnReplica (context: RouterContext, replica: Replica): void {
  const { state } = context
  const { replicaId } = replica
  const known = state.replicas.get(replicaId)
  if (known !== undefined ? isOutdated(replica, known.replica) : isOldWord(context, replica)) return
  if (isForeign(state, replica)) return noteForeign(context, replica)
  state.foreign.delete(replicaId)
  if (known !== undefined && isSameIncarnation(replica, known.replica)) {
    const { isDraining, stage } = known.replica
    // Its load may be older than the change of its pool.
    if (stage !== replica.stage) known.load = undefined
    renewReplica(state, known, replica)
    if (isDraining !== replica.isDraining || stage !== replica.stage) logLearned(context, replica)
    return
  }
  endFormerIncarnation(context, replica)
  if (!takeAddress(context, replica)) return
  addReplica(state, replica)
  logLearned(context, replica)
}

/**
 * Takes the registrations again whose service the configuration did not have.
 *
 * @param context - of the event
 */
export function learnForeign (context: RouterContext): void {
  for (const replica of [...context.state.foreign.values()]) learnReplica(context, replica)
}

function logLearned ({ effects }: RouterContext, { startedAtMs, isDraining, replicaId, revision, service, stage }: Replica): void {
  effects.push({ type: 'log', decision: 'replica_learned', requestId: '', inputs: { replica: replicaId, service, stage, isDraining, revision, startedAtMs } })
}

// Watches and full reads overlap, and a process that has ended may still be told of. An
// older copy of the registrations tells former words at higher revisions: by its own count
// the replica said more since, and one that leaves never says that it stays.
function isOutdated (replica: Replica, known: Replica): boolean {
  if (replica.startedAtMs !== undefined && known.startedAtMs !== undefined) {
    if (replica.startedAtMs !== known.startedAtMs) return replica.startedAtMs < known.startedAtMs
    if (replica.heartbeats < known.heartbeats || (known.isDraining && !replica.isDraining)) return true
  }
  return replica.revision < known.revision
}

// Where the platform does not tell the start of a process, a registration that was made
// anew and counts its heartbeats from the start again tells it, as does a new address. One
// that only lapsed in an outage goes on counting.
function isSameIncarnation (replica: Replica, known: Replica): boolean {
  if (replica.address !== known.address) return false
  if (replica.startedAtMs !== undefined && known.startedAtMs !== undefined) return replica.startedAtMs === known.startedAtMs
  return replica.registeredAtRevision === known.registeredAtRevision || replica.heartbeats >= known.heartbeats
}

// A service that the configuration does not have, or a model without a pool: another
// writer's entry. It must not take the address of a replica.
function isForeign ({ config }: RouterState, { service, stage }: Replica): boolean {
  if (config === undefined) return false
  const found = config.services.find(({ name }) => name === service)
  return found === undefined || (found.engine !== undefined) !== (stage !== 'plain')
}

function noteForeign ({ effects, state }: RouterContext, replica: Replica): void {
  removeReplica(state, replica.replicaId)
  const isNoted = state.foreign.has(replica.replicaId)
  state.foreign.set(replica.replicaId, replica)
  if (isNoted) return
  const { replicaId, service, stage } = replica
  effects.push({ type: 'log', decision: 'replica_foreign', requestId: '', inputs: { replica: replicaId, service, stage } })
}

/**
 * Forgets a replica whose registration is gone. One that it had replaced
 * counts again if it still registers.
 *
 * @param context - of the event
 * @param replicaId - of the replica
 */
export function forgetReplica (context: RouterContext, replicaId: string): void {
  const { effects, state } = context
  const last = state.replicas.get(replicaId)?.replica
  if (last !== undefined) {
    noteDeparted(context, last)
    noteProcessGone(context, last)
  }
  const isKnown = removeReplica(state, replicaId)
  state.foreign.delete(replicaId)
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
    if (belief === undefined || state.missing.has(replicaId)) continue
    state.missing.add(replicaId)
    effects.push({ type: 'log', decision: 'replica_missing', requestId: '', inputs: { replica: replicaId, isUsed: !isLeaving(state, belief) } })
  }
}

// False: a later registration has the address.
function takeAddress (context: RouterContext, replica: Replica): boolean {
  const { state } = context
  const holder = replicaAt(state, replica.address)?.replica
  if (holder === undefined || state.decisions.addresses === 'all') return true
  const isLater = isLaterIncarnation(replica, holder)
  if (isLater) replace(context, holder, replica)
  else replace(context, replica, holder)
  return isLater
}

function isLaterIncarnation (one: Replica, other: Replica): boolean {
  if (one.startedAtMs !== undefined && other.startedAtMs !== undefined && one.startedAtMs !== other.startedAtMs) return one.startedAtMs > other.startedAtMs
  return one.registeredAtRevision > other.registeredAtRevision
}

function replace (context: RouterContext, former: Replica, by: Replica): void {
  const { effects, state } = context
  removeReplica(state, former.replicaId)
  noteProcessGone(context, former)
  state.replaced.delete(by.replicaId)
  if (state.replaced.get(former.replicaId) === by.replicaId) return
  state.replaced.set(former.replicaId, by.replicaId)
  effects.push({ type: 'log', decision: 'replica_replaced', requestId: '', inputs: { replica: former.replicaId, by: by.replicaId, address: by.address } })
}
