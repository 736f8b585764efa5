/**
 * Applies changes of replica registrations to the state. The registration of a crashed replica
 * expires only after some heartbeats, and a new replica may register at its address before that.
 *
 * @module
 */
import type { Replica } from '../BendfallRouterTypes.js'
import { isLeaving } from './BendfallRouterReplicaHealth.js'
import { tryReplica } from './BendfallRouterPlainWait.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { recordProcessGone } from './BendfallRouterCrashes.js'
import { isStaleRegistration, recordDeparted } from './BendfallRouterDeparted.js'
import { addReplica, removeReplica, updateRegistration, findReplicaByAddress } from './BendfallRouterMembers.js'
import { endPreviousIncarnation } from './BendfallRouterRestarts.js'
import type { RouterState } from './BendfallRouterState.js'
import { assignSends, recordRenewal } from './BendfallRouterSuccession.js'

/**
 * Applies a registration. At one address only the latest registration is used: on a day with
 * crashes, 40 of 43 failed sends went to the registration of a previous replica. Under one id only
 * the latest incarnation is used, and the latest write of it.
 *
 * @param context - state, time and effects of the current event
 * @param replica - registered replica
 */
export function learnReplica (context: RouterContext, replica: Replica): void {
  const { state } = context
  const { replicaId } = replica
  const known = state.replicas.get(replicaId)
  const isBack = known !== undefined || state.departed.has(replicaId)
  if (known !== undefined ? isOutdated(replica, known.replica) : isStaleRegistration(context, replica)) return
  if (isForeign(state, replica)) return recordForeign(context, replica)
  state.foreign.delete(replicaId)
  if (known !== undefined && isSameIncarnation(replica, known.replica)) {
    const { isDraining, stage } = known.replica
    // The known load may date from before the change of stage.
    if (stage !== replica.stage) known.load = undefined
    if (replica.heartbeats > known.replica.heartbeats) recordRenewal(context, known)
    updateRegistration(state, known, replica)
    if (isDraining !== replica.isDraining || stage !== replica.stage) logLearned(context, replica)
    return
  }
  const inherited = endPreviousIncarnation(context, replica)
  if (!claimAddress(context, replica)) return
  addReplica(state, replica)
  const view = state.replicas.get(replicaId)
  if (view !== undefined) assignSends(context, inherited, view)
  if (isBack && view !== undefined) tryReplica(context, view)
  logLearned(context, replica)
}

/**
 * Applies the registrations again whose service was missing from the previous configuration.
 *
 * @param context - state, time and effects of the current event
 */
export function reapplyForeign (context: RouterContext): void {
  for (const replica of [...context.state.foreign.values()]) learnReplica(context, replica)
}

function logLearned ({ effects }: RouterContext, { startedAtMs, isDraining, replicaId, revision, service, softwareVersion, stage }: Replica): void {
  effects.push({ type: 'log', decision: 'replica_learned', requestId: '', inputs: { replica: replicaId, service, softwareVersion, stage, isDraining, revision, startedAtMs } })
}

// Watches and full reads overlap, so a write of a process that has ended may still arrive. A restored
// older copy of the registrations may contain previous writes at higher revisions. These are detected
// by a lower heartbeat count or by a cleared draining flag, since a draining replica never clears it.
function isOutdated (replica: Replica, known: Replica): boolean {
  if (replica.startedAtMs !== undefined && known.startedAtMs !== undefined) {
    if (replica.startedAtMs !== known.startedAtMs) return replica.startedAtMs < known.startedAtMs
    if (replica.heartbeats < known.heartbeats || (known.isDraining && !replica.isDraining)) return true
  }
  return replica.revision < known.revision
}

// Where the platform does not report the start time of a process, a restart is detected by a new
// address or by a new registration whose heartbeat count starts over. A registration that only
// expired during an outage continues its count.
function isSameIncarnation (replica: Replica, known: Replica): boolean {
  if (replica.address !== known.address || replica.softwareVersion !== known.softwareVersion) return false
  if (replica.startedAtMs !== undefined && known.startedAtMs !== undefined) return replica.startedAtMs === known.startedAtMs
  return replica.registeredAtRevision === known.registeredAtRevision || replica.heartbeats >= known.heartbeats
}

// A service that is not in the configuration, or a stage that does not match the kind of service,
// means that another system wrote the registration. It must not claim the address of a replica.
function isForeign ({ config }: RouterState, { service, stage }: Replica): boolean {
  if (config === undefined) return false
  const found = config.services.find(({ name }) => name === service)
  return found === undefined || (found.engine !== undefined) !== (stage !== 'plain')
}

function recordForeign ({ effects, state }: RouterContext, replica: Replica): void {
  removeReplica(state, replica.replicaId)
  const isRecorded = state.foreign.has(replica.replicaId)
  state.foreign.set(replica.replicaId, replica)
  if (isRecorded) return
  const { replicaId, service, stage } = replica
  effects.push({ type: 'log', decision: 'replica_foreign', requestId: '', inputs: { replica: replicaId, service, stage } })
}

/**
 * Removes a replica whose registration is gone. A replica that it had replaced at its address is
 * used again if that one still registers.
 *
 * @param context - state, time and effects of the current event
 * @param replicaId - id of the removed registration
 */
export function handleRegistrationRemoved (context: RouterContext, replicaId: string): void {
  const { effects, state } = context
  const last = state.replicas.get(replicaId)?.replica
  if (last !== undefined) {
    recordDeparted(context, last)
    recordProcessGone(context, last)
  }
  const isKnown = removeReplica(state, replicaId)
  state.foreign.delete(replicaId)
  state.replaced.delete(replicaId)
  for (const [previousId, replacedBy] of state.replaced) {
    if (replacedBy === replicaId) state.replaced.delete(previousId)
  }
  if (isKnown) effects.push({ type: 'log', decision: 'replica_gone', requestId: '', inputs: { replica: replicaId } })
}

/**
 * Marks replicas whose registrations are missing after an outage, until they register again or are
 * removed.
 *
 * @param context - state, time and effects of the current event
 * @param replicaIds - ids of the missing registrations; unknown ids are ignored
 */
export function recordMissing ({ effects, state }: RouterContext, replicaIds: readonly string[]): void {
  for (const replicaId of replicaIds) {
    const view = state.replicas.get(replicaId)
    if (view === undefined || state.missing.has(replicaId)) continue
    state.missing.add(replicaId)
    effects.push({ type: 'log', decision: 'replica_missing', requestId: '', inputs: { replica: replicaId, isUsed: !isLeaving(state, view) } })
  }
}

// Returns false if a later registration already uses the address.
function claimAddress (context: RouterContext, replica: Replica): boolean {
  const { state } = context
  const current = findReplicaByAddress(state, replica.address)?.replica
  if (current === undefined || state.decisions.addresses === 'all') return true
  const isLater = isLaterIncarnation(replica, current)
  if (isLater) replaceReplica(context, current, replica)
  else replaceReplica(context, replica, current)
  return isLater
}

function isLaterIncarnation (one: Replica, other: Replica): boolean {
  if (one.startedAtMs !== undefined && other.startedAtMs !== undefined && one.startedAtMs !== other.startedAtMs) return one.startedAtMs > other.startedAtMs
  return one.registeredAtRevision > other.registeredAtRevision
}

function replaceReplica (context: RouterContext, previous: Replica, successor: Replica): void {
  const { effects, state } = context
  removeReplica(state, previous.replicaId)
  recordProcessGone(context, previous)
  state.replaced.delete(successor.replicaId)
  if (state.replaced.get(previous.replicaId) === successor.replicaId) return
  state.replaced.set(previous.replicaId, successor.replicaId)
  effects.push({ type: 'log', decision: 'replica_replaced', requestId: '', inputs: { replica: previous.replicaId, by: successor.replicaId, address: successor.address } })
}
