/**
 * Keeps the leases of this entry's requests. The open connection holds those
 * with an open stream, as long as heartbeats come on it; a reservation that
 * waits for its prefill has no stream and is renewed by name.
 *
 * @module
 */
import type { Effect } from '../BendfallCoreEffects.js'
import type { EventHandler, Step } from '../BendfallCoreReducer.js'
import { stay } from '../BendfallCoreReducer.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId, RequestId } from '../BendfallCoreTypes.js'
import { HEARTBEAT_MS } from './BendfallCoreEntryPolicy.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { retryLanguage } from './BendfallCoreEntryRetry.js'
import { andThen, entryOf, findLanguage, step, updateEntry } from './BendfallCoreEntryUpdate.js'

const RENEWAL_TIMER = { kind: 'lease_renewal', id: 'all' } as const

/**
 * Sets the heartbeat timer unless it is set.
 *
 * @param state - state of an entry
 * @param atMs - monotonic time
 * @returns the step
 */
export function setRenewal (state: State, atMs: number): Step {
  if (entryOf(state).renewalSet) return stay(state)
  return step(updateEntry(state, { renewalSet: true }), { type: 'set_timer', timer: RENEWAL_TIMER, atMs: atMs + HEARTBEAT_MS })
}

/**
 * Proves to each sidecar with requests of this entry that it lives, renews the
 * reservations there that no stream holds, and sets the timer again while
 * there are any requests.
 *
 * @param state - state of an entry
 * @param atMs - monotonic time
 * @returns the step
 */
export function renewLeases (state: State, atMs: number): Step {
  const idle = updateEntry(state, { renewalSet: false })
  const held = renewalsByDecode(state, atMs)
  if (held.size === 0) return stay(idle)
  const effects = [...held].flatMap(([instanceId, requestIds]): Effect[] => [
    { type: 'send_heartbeat', instanceId },
    ...renewal(instanceId, requestIds)
  ])
  return andThen(step(idle, ...effects), (next) => setRenewal(next, atMs))
}

/**
 * Names the reservations at a sidecar to which the connection closed; on the
 * new connection it holds those, or says that it no longer does.
 *
 * @param state - state of an entry
 * @param event - the closed connection
 * @returns the step
 */
export const resyncLeases: EventHandler<'sidecar_disconnected'> = (state, { instanceId }) => {
  if (state.entry === undefined) return stay(state)
  const requestIds: RequestId[] = []
  for (const language of state.entry.requests.values()) {
    if (language.phase === 'prefilling' && language.reservation?.decodeId === instanceId) requestIds.push(language.request.requestId)
  }
  return step(state, ...renewal(instanceId, requestIds))
}

function renewal (instanceId: InstanceId, requestIds: readonly RequestId[]): readonly Effect[] {
  return requestIds.length === 0 ? [] : [{ type: 'send_renewal', instanceId, requestIds }]
}

/** All sidecars that hold something, with the requests to be renewed by name. */
function renewalsByDecode (state: State, atMs: number): ReadonlyMap<InstanceId, readonly RequestId[]> {
  const held = new Map<InstanceId, RequestId[]>()
  for (const language of entryOf(state).requests.values()) {
    const decodeId = holderOf(language)
    if (decodeId === undefined) continue
    const requestIds = held.get(decodeId) ?? []
    held.set(decodeId, requestIds)
    if (isRenewedByName(language, atMs)) requestIds.push(language.request.requestId)
  }
  return held
}

// An ask that waits for its grant has its stream open, as a decode has.
function holderOf ({ phase, reservation, askedDecodeIds }: LanguageState): InstanceId | undefined {
  return phase === 'reserving' ? askedDecodeIds.at(-1) : reservation?.decodeId
}

// The lease of a younger grant outlasts the time to the next heartbeat.
function isRenewedByName ({ phase, reservation }: LanguageState, atMs: number): boolean {
  return phase === 'prefilling' && reservation !== undefined && atMs - reservation.grantedAtMs >= HEARTBEAT_MS
}

/**
 * Handles leases that a sidecar no longer holds: their attempts are over.
 *
 * @param state - state of an entry
 * @param event - the refused renewals
 * @returns the step
 */
export const loseLeases: EventHandler<'leases_refused'> = (state, event) => {
  return event.requestIds.reduce((done, requestId) => andThen(done, (next) => loseLease(next, requestId, event.instanceId, event.atMs)), stay(state))
}

function loseLease (state: State, requestId: RequestId, instanceId: InstanceId, atMs: number): Step {
  const language = findLanguage(state, requestId)
  if (language === undefined || language.reservation?.decodeId !== instanceId) return stay(state)
  return retryLanguage(state, language, 'lease_lapsed', atMs)
}
