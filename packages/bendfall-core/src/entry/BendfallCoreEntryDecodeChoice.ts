/**
 * Chooses the decode replica that is asked for memory.
 *
 * @module
 */
import { drawIndex } from '../BendfallCoreRandom.js'
import type { State } from '../BendfallCoreState.js'
import type { InstanceId } from '../BendfallCoreTypes.js'
import type { Member } from '../members/BendfallCoreMembers.js'
import { candidatesFor } from './BendfallCoreEntryCandidates.js'
import { decodeFill, decodeReadyMs, transferMsByZone } from './BendfallCoreEntryEstimate.js'
import { kvBytesPerToken, promptTokens } from './BendfallCoreEntryPrefillChoice.js'
import type { PrefillPlan } from './BendfallCoreEntryPrefillChoice.js'
import { LOAD_MEMORY_MS } from './BendfallCoreEntryPolicy.js'
import type { DecodeChoice } from './BendfallCoreEntryPolicy.js'
import type { LanguageState } from './BendfallCoreEntryState.js'
import { entryOf, updateEntry } from './BendfallCoreEntryUpdate.js'

/** A chosen instance and the state after the draw. */
export interface Choice {
  readonly instanceId?: InstanceId
  readonly state: State
}

/** A candidate with the time by which its output could begin. */
interface Candidate {
  readonly member: Member
  readonly startMs: number
}

type Chooser = (state: State, candidates: readonly Candidate[]) => Choice

/** Part of the target for a step that a replica may take before others are preferred. */
const STEP_SHARE = 0.8

/** Later than the soonest by this much still counts as soon. */
const NEAR_FACTOR = 1.2
const NEAR_MS = 50

const choosers: Readonly<Record<DecodeChoice, Chooser>> = {
  least_loaded: chooseLeastLoaded,
  round_robin: chooseRoundRobin,
  two_choices: chooseOfTwo
}

/**
 * Chooses a decode replica that was not asked yet in this attempt.
 *
 * @param state - state of an entry
 * @param language - the request
 * @param plan - how its KV cache will be made; nothing when that is not known
 * @param atMs - monotonic time
 * @returns the choice; without instance when none is left
 */
export function chooseDecode (state: State, language: LanguageState, plan: PrefillPlan | undefined, atMs: number): Choice {
  const fresh = candidatesFor(state, language.request.model, 'decode', atMs)
    .filter((member) => !language.askedDecodeIds.includes(member.record.instanceId))
  if (fresh.length === 0) return { state }
  const sound = prefer(fresh, (member) => !language.failedIds.includes(member.record.instanceId))
  const candidates = prefer(sound, (member) => isSteady(state, language, member, atMs))
  const kvBytes = promptTokens(language) * kvBytesPerToken(state, language.request)
  const moveMsOf = transferMsByZone(state, plan?.prefillId ?? '', kvBytes, atMs)
  const scored = candidates.map((member): Candidate => ({ member, startMs: startMs(member, plan, moveMsOf(member.record.availabilityZone), atMs) }))
  return choosers[entryOf(state).policy.decodeChoice](state, scored)
}

function prefer (members: readonly Member[], isPreferred: (member: Member) => boolean): readonly Member[] {
  const preferred = members.filter(isPreferred)
  return preferred.length > 0 ? preferred : members
}

// Each request in its batch makes the steps of all the others longer.
function isSteady (state: State, { request }: LanguageState, { load, loadSeenAtMs }: Member, atMs: number): boolean {
  const targetMs = state.config?.classes[request.trafficClass].stepMs ?? Infinity
  if (load === undefined || atMs - loadSeenAtMs > LOAD_MEMORY_MS) return true
  return load.stepMs <= targetMs * STEP_SHARE
}

// The KV cache has to be made and moved, the memory has to be free.
function startMs (member: Member, plan: PrefillPlan | undefined, moveMs: number, atMs: number): number {
  const readyMs = decodeReadyMs(member, atMs)
  if (plan === undefined) return readyMs
  return Math.max(readyMs, plan.totalMs - plan.moveMs) + moveMs
}

// Two at random of those whose output could begin soon, so that entries with
// the same view do not all go to the same replica.
function chooseOfTwo (state: State, candidates: readonly Candidate[]): Choice {
  const soonestMs = Math.min(...candidates.map((candidate) => candidate.startMs))
  const near = candidates.filter((candidate) => candidate.startMs <= soonestMs * NEAR_FACTOR + NEAR_MS)
  const first = drawIndex(state.seed, near.length)
  if (near.length === 1) return { instanceId: near[0].member.record.instanceId, state }
  const second = drawIndex(first.seed, near.length - 1)
  const other = second.value >= first.value ? second.value + 1 : second.value
  const better = pickBetter(near[first.value], near[other])
  return { instanceId: better.member.record.instanceId, state: { ...state, seed: second.seed } }
}

function chooseLeastLoaded (state: State, candidates: readonly Candidate[]): Choice {
  const best = candidates.reduce(pickBetter)
  return { instanceId: best.member.record.instanceId, state }
}

function chooseRoundRobin (state: State, candidates: readonly Candidate[]): Choice {
  const turn = entryOf(state).turn
  const chosen = candidates[turn % candidates.length]
  return { instanceId: chosen.member.record.instanceId, state: updateEntry(state, { turn: turn + 1 }) }
}

function pickBetter (left: Candidate, right: Candidate): Candidate {
  const gapMs = left.startMs - right.startMs
  if (gapMs !== 0) return gapMs < 0 ? left : right
  return decodeFill(left.member) <= decodeFill(right.member) ? left : right
}
