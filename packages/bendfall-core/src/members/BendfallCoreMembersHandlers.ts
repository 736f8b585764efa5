/**
 * Keeps the members from the lagging instance list and from what the
 * processes say of themselves. What a process says goes before the list.
 *
 * @module
 */
import type { Map } from 'immutable'
import type { Config, InstanceRecord } from '../BendfallCoreConfig.js'
import type { Effect } from '../BendfallCoreEffects.js'
import type { EventOf } from '../BendfallCoreEvents.js'
import type { EventHandler, HandlerTable } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId } from '../BendfallCoreTypes.js'
import type { DrainSaid, Member } from './BendfallCoreMembers.js'
import { createMember, resolveMember } from './BendfallCoreMemberState.js'

/** How long a gone instance is remembered, so that a stale list cannot revive one that said it drains. */
export const GONE_KEPT_MS = 120_000

/**
 * Longest time by which an answer may arrive behind a later one. A process that
 * says later than this that it does not drain has ended its drain.
 */
export const ANSWER_REORDER_MS = 3_000

/** Silence of a draining instance after which an entry asks for its load. */
export const DRAIN_PROBE_MS = 2_000

type Members = Map<InstanceId, Member>

const listInstances: EventHandler<'instances_listed'> = (state, event) => {
  const listed = new Set(event.instances.map((record) => record.instanceId))
  const members = state.members.withMutations((draft) => {
    for (const record of event.instances) listOne(draft, record, state, event.atMs)
    markUnlisted(draft, listed, event.atMs)
  })
  return stay({ ...state, members })
}

const changeInstances: EventHandler<'instances_changed'> = (state, event) => {
  const members = state.members.withMutations((draft) => {
    for (const record of event.changed) listOne(draft, record, state, event.atMs)
    for (const instanceId of event.removed) markGone(draft, instanceId, event.atMs)
    if (event.removed.length > 0) forgetGone(draft, event.atMs)
  })
  return stay({ ...state, members })
}

function listOne (draft: Members, record: InstanceRecord, state: State, atMs: number): void {
  const known = draft.get(record.instanceId)
  const member = known === undefined ? createMember(record) : relist(known, record)
  const resolved = resolveMember(member, state.config, atMs)
  if (resolved !== known) draft.set(record.instanceId, resolved)
}

function relist (known: Member, record: InstanceRecord): Member {
  if (known.goneSinceMs === undefined && isSameRecord(known.record, record)) return known
  if (isOtherProcess(known.record, record)) return createMember(record)
  const { goneSinceMs, ...listed } = known
  return { ...listed, record }
}

// Nearly every record of a reading is as it was in the one before.
function isSameRecord (before: InstanceRecord, after: InstanceRecord): boolean {
  return !isOtherProcess(before, after) && before.pool === after.pool && before.state === after.state
}

function isOtherProcess (before: InstanceRecord, after: InstanceRecord): boolean {
  return before.address !== after.address || before.availabilityZone !== after.availabilityZone || before.kind !== after.kind
}

function markUnlisted (draft: Members, listed: ReadonlySet<InstanceId>, atMs: number): void {
  // All that is listed is in the draft, so with equal sizes nothing is missing.
  if (draft.size === listed.size) return
  for (const instanceId of draft.keySeq().filter((id) => !listed.has(id)).toArray()) markGone(draft, instanceId, atMs)
  forgetGone(draft, atMs)
}

function markGone (draft: Members, instanceId: InstanceId, atMs: number): void {
  const member = draft.get(instanceId)
  if (member === undefined || member.goneSinceMs !== undefined) return
  draft.set(instanceId, { ...member, goneSinceMs: atMs, state: 'gone' })
}

function forgetGone (draft: Members, atMs: number): void {
  const isOld = ({ goneSinceMs }: Member): boolean => goneSinceMs !== undefined && atMs - goneSinceMs > GONE_KEPT_MS
  for (const instanceId of draft.filter(isOld).keySeq().toArray()) draft.delete(instanceId)
}

const seeLoad: EventHandler<'load_seen'> = (state, event) => {
  const member = state.members.get(event.instanceId)
  if (member === undefined) return stay(state)
  const drainSaid = nextDrainSaid(member, event)
  const { drainSaid: former, ...rest } = member
  const seen: Member = {
    ...rest,
    load: event.load,
    loadSeenAtMs: event.atMs,
    suspectedUntilMs: 0,
    ...(event.incarnation !== undefined && { incarnation: event.incarnation }),
    ...(drainSaid !== undefined && { drainSaid })
  }
  const step = stay(putMember(state, seen, event.atMs))
  const beginsDrain = former === undefined && drainSaid !== undefined && state.self.role === 'entry'
  return beginsDrain ? { ...step, effects: [setDrainProbe(event.instanceId, event.atMs)] } : step
}

/**
 * A drain before a change of role ends without an answer to anybody, since
 * nobody sends work. An empty renewal asks for the load and is no work.
 */
const probeDrain: EventHandler<'timer_fired'> = (state, { timer, atMs }) => {
  if (timer.kind !== 'drain_probe') return stay(state)
  const member = state.members.get(timer.id)
  if (member?.drainSaid === undefined) return stay(state)
  const again = setDrainProbe(timer.id, atMs)
  if (!mayComeBack(member, state.config) || atMs - member.loadSeenAtMs < DRAIN_PROBE_MS) return { state, effects: [again] }
  return { state, effects: [{ type: 'send_renewal', instanceId: timer.id, requestIds: [] }, again] }
}

function setDrainProbe (instanceId: InstanceId, atMs: number): Effect {
  return { type: 'set_timer', timer: { kind: 'drain_probe', id: instanceId }, atMs: atMs + DRAIN_PROBE_MS }
}

function mayComeBack ({ drainSaid, goneSinceMs, record }: Member, config: Config | undefined): boolean {
  if (drainSaid === undefined || goneSinceMs !== undefined || record.state === 'leaving') return false
  return !(config?.withdrawn.includes(record.instanceId) ?? false)
}

function nextDrainSaid (member: Member, event: EventOf<'load_seen'>): DrainSaid | undefined {
  const { load, atMs } = event
  if (load.draining) return { atMs, configVersion: load.configVersion }
  if (member.drainSaid === undefined || isOtherIncarnation(member, event)) return undefined
  return isDrainOver(member.drainSaid, event) ? undefined : member.drainSaid
}

function isOtherIncarnation (member: Member, event: EventOf<'load_seen'>): boolean {
  return member.incarnation !== undefined && event.incarnation !== undefined && member.incarnation !== event.incarnation
}

function isDrainOver (said: DrainSaid, event: EventOf<'load_seen'>): boolean {
  return event.load.configVersion > said.configVersion || event.atMs - said.atMs > ANSWER_REORDER_MS
}

function putMember (state: State, member: Member, atMs: number): State {
  const resolved = resolveMember(member, state.config, atMs)
  return { ...state, members: state.members.set(member.record.instanceId, resolved) }
}

/**
 * Leaves an instance out for a while, after it failed to answer.
 *
 * @param state - state of the process
 * @param instanceId - the instance; an unknown one changes nothing
 * @param untilMs - monotonic time at which it may be tried again
 * @returns the state with the instance suspected, unless it leaves or is gone
 */
export function suspectMember (state: State, instanceId: InstanceId, untilMs: number): State {
  const member = state.members.get(instanceId)
  if (member === undefined) return state
  const suspectedUntilMs = Math.max(member.suspectedUntilMs, untilMs)
  return putMember(state, { ...member, suspectedUntilMs }, suspectedUntilMs - 1)
}

/** Handlers of the membership. */
export const membersHandlers: HandlerTable = {
  instances_changed: changeInstances,
  instances_listed: listInstances,
  load_seen: seeLoad,
  timer_fired: probeDrain
}
