/**
 * Compares the decode replicas whose memory a request may book, by what their ledgers
 * told and by what this process booked since.
 *
 * @module
 */
import type { Prompt } from '../BendfallRouterTypes.js'
import { ROOM_HORIZONS_MS } from '../BendfallRouterTypes.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** Share of a replica's memory that one entry uses when no ledger answers: others do the same. */
const BLIND_SHARE = 0.5

/** Memory of a replica whose ledger never answered: below every engine of the users. */
const FIRST_CAPACITY_TOKENS = 30_000

/** A decode replica whose memory may be booked. */
export interface MemoryOption {
  readonly belief: ReplicaBelief
  /** Until the memory is likely to be free; infinite beyond the last horizon. */
  readonly waitMs: number
  readonly roomTokens: number
}

/**
 * Memory that a request is expected to occupy in the end.
 *
 * @param request - the request
 * @returns tokens of its prompt and of the answer as its caller estimates it
 */
export function expectedTokens ({ prompt }: RequestState): number {
  return prompt === undefined ? 0 : prompt.promptTokens + hintOf(prompt)
}

/**
 * The caller's estimate of the answer.
 *
 * @param prompt - as its caller declared it
 * @returns tokens; the longest answer when it gave none
 */
export function hintOf ({ maxOutputTokens, outputHintTokens }: Prompt): number {
  return Math.min(maxOutputTokens, outputHintTokens ?? maxOutputTokens)
}

function toOption (context: RouterContext, belief: ReplicaBelief, tokens: number): MemoryOption {
  const { load } = belief
  if (load === undefined || belief.ledgerDownUntilMs > context.nowMs) {
    return { belief, waitMs: hasBlindRoom(belief, tokens) ? 0 : Infinity, roomTokens: -belief.ownTokens }
  }
  const index = load.roomTokens.findIndex((room) => room - belief.bookedSinceLoad >= tokens)
  const waitMs = index < 0 ? Infinity : ROOM_HORIZONS_MS[index] as number
  return { belief, waitMs, roomTokens: (load.roomTokens[Math.max(0, index)] ?? 0) - belief.bookedSinceLoad }
}

// Without a ledger's word an entry goes by its own bookings alone.
function hasBlindRoom (belief: ReplicaBelief, tokens: number): boolean {
  const capacity = belief.load?.capacityTokens ?? FIRST_CAPACITY_TOKENS
  return belief.ownTokens + tokens <= BLIND_SHARE * capacity
}

/**
 * Chooses the replica that is likely to have room first; of those that have it now, the
 * one with most.
 *
 * @param context - of the event
 * @param request - the request
 * @param beliefs - about the replicas
 * @returns the option; undefined without replicas
 */
export function chooseOption (context: RouterContext, request: RequestState, beliefs: readonly ReplicaBelief[]): MemoryOption | undefined {
  const options = beliefs.map((belief) => toOption(context, belief, expectedTokens(request)))
  const start = Math.floor(draw(context.state) * options.length)
  let best: MemoryOption | undefined
  for (let i = 0; i < options.length; i++) {
    const option = options[(start + i) % options.length] as MemoryOption
    if (best === undefined || isBetter(option, best)) best = option
  }
  return context.state.decisions.replica === 'random' ? options[start] : best
}

function isBetter (one: MemoryOption, other: MemoryOption): boolean {
  if (one.waitMs !== other.waitMs) return one.waitMs < other.waitMs
  return one.roomTokens > other.roomTokens
}
