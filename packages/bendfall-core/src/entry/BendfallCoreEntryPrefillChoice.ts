/**
 * Chooses the prefill replica by expected completion: queue, tokens that its
 * prefix cache lacks, transfer to the decode replica.
 *
 * @module
 */
import type { LanguageRequest } from '../BendfallCoreEvents.js'
import { hashText, rendezvousScore } from '../BendfallCoreHash.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId } from '../BendfallCoreTypes.js'
import type { Member } from '../members/BendfallCoreMembers.js'
import { candidatesFor } from './BendfallCoreEntryCandidates.js'
import { prefillComputeMs, prefillQueueMs, transferMsByZone } from './BendfallCoreEntryEstimate.js'
import type { PrefillChoice } from './BendfallCoreEntryPolicy.js'
import { placeOfPrefix } from './BendfallCoreEntryPrefixes.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { entryOf } from './BendfallCoreEntryUpdate.js'

/** A prefill replica with what is expected of it. */
export interface PrefillPlan {
  readonly prefillId: InstanceId
  /** Tokens that its cache is expected to lack. */
  readonly expectedTokens: number
  /** Transfer of the result. */
  readonly moveMs: number
  /** Computation and transfer, without the queue. */
  readonly workMs: number
  /** Computation of the whole prompt, as if nothing were cached. */
  readonly wholeMs: number
  /** Queue, computation and transfer. */
  readonly totalMs: number
}

/** Times its own computation that a prompt waits longer at the home of its prefix. */
const HOME_LOYALTY = 8

interface Scene {
  readonly state: State
  readonly request: LanguageRequest
  readonly plans: readonly PrefillPlan[]
}

type Chooser = (scene: Scene) => PrefillPlan

const choosers: Readonly<Record<PrefillChoice, Chooser>> = {
  affinity: soonestNearHome,
  carp: byRendezvous,
  least_completion: soonest,
  mod_ring: (scene) => nearestOnRing(scene, true),
  ring: (scene) => nearestOnRing(scene, false),
  round_robin: byTurn
}

/**
 * Chooses a prefill replica.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param decodeId - replica the result goes to; empty when not known yet
 * @param excludedIds - replicas that refused or failed in this attempt
 * @param atMs - monotonic time
 * @returns the plan, or nothing when no replica is left
 */
export function choosePrefill (state: State, language: LanguageState, decodeId: InstanceId, excludedIds: readonly InstanceId[], atMs: number): PrefillPlan | undefined {
  const candidates = candidatesFor(state, language.request.model, 'prefill', atMs)
    .filter((member) => !excludedIds.includes(member.record.instanceId))
  if (candidates.length === 0) return undefined
  const cached = cachedTokensByPlace(state, language)
  const kvBytes = promptTokens(language) * kvBytesPerToken(state, language.request)
  const moveMsOf = transferMsByZone(state, decodeId, kvBytes, atMs)
  const plans = candidates.map((member) => {
    const { instanceId, availabilityZone } = member.record
    return planAt(state, language, member, cached.get(instanceId) ?? 0, moveMsOf(availabilityZone), atMs)
  })
  return choosers[entryOf(state).policy.prefillChoice]({ state, request: language.request, plans })
}

function planAt (state: State, language: LanguageState, member: Member, cachedTokens: number, moveMs: number, atMs: number): PrefillPlan {
  const prefillId = member.record.instanceId
  const expectedTokens = Math.max(1, Math.round(promptTokens(language) - cachedTokens))
  const workMs = prefillComputeMs(member, expectedTokens) + moveMs
  const totalMs = prefillQueueMs(state, member, language.request.trafficClass, atMs) + workMs
  const wholeMs = prefillComputeMs(member, promptTokens(language))
  return { prefillId, expectedTokens, moveMs, workMs, wholeMs, totalMs }
}

/**
 * Counts the tokens to prefill: the prompt and what was already sent.
 *
 * @param language - the request
 * @returns tokens
 */
export function promptTokens (language: LanguageState): number {
  return language.request.promptTokens + language.sentTokens.size
}

/**
 * Reads the size of a model's KV cache.
 *
 * @param state - state of an entry
 * @param request - the request
 * @returns bytes a token; 0 for an unknown model
 */
export function kvBytesPerToken (state: State, request: LanguageRequest): number {
  return state.config?.models[request.model]?.kvBytesPerToken ?? 0
}

// The longest prefix that was computed last at each replica, as far as this
// entry remembers: in one walk, not in one for each replica.
function cachedTokensByPlace (state: State, language: LanguageState): ReadonlyMap<InstanceId, number> {
  const { policy, prefixPlaces } = entryOf(state)
  const cached = new Map<InstanceId, number>()
  if (policy.prefillChoice === 'least_completion') return cached
  const { prefixHashes, promptTokens: total } = language.request
  for (let index = prefixHashes.length - 1; index >= 0; index--) {
    const place = placeOfPrefix(prefixPlaces, prefixHashes[index])
    if (place !== undefined && !cached.has(place)) cached.set(place, total * (index + 1) / prefixHashes.length)
  }
  return cached
}

function soonest (scene: Scene): PrefillPlan {
  return scene.plans.reduce((left, right) => right.totalMs < left.totalMs ? right : left)
}

// A prompt that leaves the home of its prefix is computed again and takes the
// place of others in a second cache, which costs more than itself.
function soonestNearHome (scene: Scene): PrefillPlan {
  const home = byRendezvous(scene)
  const best = soonest(scene)
  return home.totalMs <= best.totalMs + home.wholeMs * HOME_LOYALTY ? home : best
}

function prefixKey (request: LanguageRequest): number {
  return hashText(request.prefixHashes[0] ?? request.requestId)
}

function byRendezvous (scene: Scene): PrefillPlan {
  const key = prefixKey(scene.request)
  let [best] = scene.plans
  let bestScore = -1
  for (const plan of scene.plans) {
    const score = rendezvousScore(key, plan.prefillId)
    if (score <= bestScore) continue
    best = plan
    bestScore = score
  }
  return best
}

function nearestOnRing (scene: Scene, bothWays: boolean): PrefillPlan {
  const key = prefixKey(scene.request)
  const distance = (plan: PrefillPlan): number => ringDistance(key, hashText(plan.prefillId), bothWays)
  return scene.plans.reduce((left, right) => distance(right) < distance(left) ? right : left)
}

function ringDistance (key: number, node: number, bothWays: boolean): number {
  const clockwise = (node - key) >>> 0
  if (!bothWays) return clockwise
  return Math.min(clockwise, (key - node) >>> 0)
}

function byTurn (scene: Scene): PrefillPlan {
  return scene.plans[entryOf(scene.state).turn % scene.plans.length]
}
