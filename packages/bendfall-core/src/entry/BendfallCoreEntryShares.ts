/**
 * Divides scarce capacity among clients by weight. What a client was admitted
 * of late counts against it, and fades. Only while capacity is scarce, and only
 * when a client had clearly more than its weight's part of what all were
 * admitted, is it refused; what others leave is its to take.
 *
 * @module
 */
import type { State } from '../BendfallCoreState.js'
import type { ClientId } from '../BendfallCoreTypes.js'
import type { ClientUse, LanguageState } from './BendfallCoreEntryState.js'
import { entryOf, updateEntry } from './BendfallCoreEntryUpdate.js'

/** How long capacity counts as scarce after it ran short. */
export const SCARCE_MS = 2000

/** Time constant with which admitted work fades: a few times that of a request. */
const FADE_MS = 10_000

/** Use above its share that a client is allowed, to absorb chance. */
export const SHARE_SLACK = 1.25

/** Typical requests beyond that: a small client sends few, and by chance. */
export const SHARE_FREE_REQUESTS = 3

/** Below this part of a request nothing is left of a use. */
const FADED_REQUESTS = 0.1

const NO_USE: ClientUse = { kvBytes: 0, requests: 0, atMs: 0 }

/**
 * Counts a request against its client.
 *
 * @param state - state of an entry
 * @param clientId - the client
 * @param kvBytes - decode memory the request asks for
 * @param atMs - monotonic time
 * @returns the new state
 */
export function takeShare (state: State, clientId: ClientId, kvBytes: number, atMs: number): State {
  return addUse(sweepFaded(state, atMs), clientId, kvBytes, 1, atMs)
}

/**
 * Gives back what a request counted against its client: it was refused and
 * took nothing from others.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param atMs - monotonic time
 * @returns the new state
 */
export function returnShare (state: State, language: LanguageState, atMs: number): State {
  if (language.sharedKvBytes === 0) return state
  const left = fadedShare(atMs - language.arrivedAtMs)
  return addUse(state, language.request.clientId, -language.sharedKvBytes * left, -left, atMs)
}

/**
 * Marks capacity as scarce for a while.
 *
 * @param state - state of an entry
 * @param atMs - monotonic time
 * @returns the new state
 */
export function markScarce (state: State, atMs: number): State {
  return updateEntry(state, { scarceUntilMs: atMs + SCARCE_MS })
}

/**
 * Tells whether a client is to be refused in favour of others.
 *
 * @param state - state of an entry
 * @param clientId - the client
 * @param kvBytes - decode memory the request asks for; the less, the further
 * above its share may the client be
 * @param atMs - monotonic time
 * @returns true when capacity is scarce and the client is over its share
 */
export function isOverShare (state: State, clientId: ClientId, kvBytes: number, atMs: number): boolean {
  const { policy, scarceUntilMs, clients, allClients } = entryOf(state)
  if (!policy.clientShares || atMs >= scarceUntilMs || clients.size < 2) return false
  const use = fadeUse(clients.get(clientId) ?? NO_USE, atMs)
  if (use.requests <= SHARE_FREE_REQUESTS) return false
  const all = fadeUse(allClients.use, atMs)
  const fairKvBytes = all.kvBytes * weightOf(state, clientId) / allClients.weight
  const typicalKvBytes = all.kvBytes / all.requests
  return use.kvBytes * Math.min(1, kvBytes / typicalKvBytes) > fairKvBytes * SHARE_SLACK + typicalKvBytes * SHARE_FREE_REQUESTS
}

function weightOf (state: State, clientId: ClientId): number {
  return state.config?.clients[clientId]?.shareWeight ?? 1
}

function fadedShare (elapsedMs: number): number {
  return Math.exp(-elapsedMs / FADE_MS)
}

function fadeUse (use: ClientUse, atMs: number): ClientUse {
  const left = fadedShare(atMs - use.atMs)
  return { kvBytes: use.kvBytes * left, requests: use.requests * left, atMs }
}

function addUse (state: State, clientId: ClientId, kvBytes: number, requests: number, atMs: number): State {
  const { clients, allClients } = entryOf(state)
  const known = clients.get(clientId)
  if (known === undefined && requests < 0) return state
  const add = (use: ClientUse): ClientUse => {
    const faded = fadeUse(use, atMs)
    return { kvBytes: Math.max(0, faded.kvBytes + kvBytes), requests: Math.max(0, faded.requests + requests), atMs }
  }
  const weight = allClients.weight + (known === undefined ? weightOf(state, clientId) : 0)
  return updateEntry(state, { clients: clients.set(clientId, add(known ?? NO_USE)), allClients: { ...allClients, use: add(allClients.use), weight } })
}

// Clients that send nothing any more must not be kept for ever. The sums are
// made anew, so that rounding and changed weights do not stay in them.
function sweepFaded (state: State, atMs: number): State {
  const { clients, allClients } = entryOf(state)
  if (atMs - allClients.sweptAtMs < FADE_MS) return state
  const kept = clients.map((use) => fadeUse(use, atMs)).filter(({ requests }) => requests > FADED_REQUESTS)
  const sum = { kvBytes: 0, requests: 0, weight: 0 }
  kept.forEach((use, clientId) => {
    sum.kvBytes += use.kvBytes
    sum.requests += use.requests
    sum.weight += weightOf(state, clientId)
  })
  const use: ClientUse = { kvBytes: sum.kvBytes, requests: sum.requests, atMs }
  return updateEntry(state, { clients: kept, allClients: { use, weight: sum.weight, sweptAtMs: atMs } })
}
