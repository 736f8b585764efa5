/**
 * Compares the decode replicas whose memory a request may book, by the load that their ledgers
 * reported and by what this process has booked since.
 *
 * @module
 */
import type { Prompt } from '../BendfallRouterTypes.js'
import { ROOM_HORIZONS_MS } from '../BendfallRouterTypes.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import type { RequestState } from './BendfallRouterRequest.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Share of a replica's memory that one entry uses when no ledger answers, since other entries use it too. */
const FALLBACK_MEMORY_SHARE = 0.5

/** Assumed memory of a replica whose ledger never answered: less than any engine of the users has. */
const DEFAULT_CAPACITY_TOKENS = 30_000

/**
 * Exponent of a replica's relative output rate in the choice. With four of twelve replicas three times as slow,
 * at 0.7 of the capacity and 60 tokens in the first event, 0.82 of the streams were on time without the rate,
 * 0.941 with exponent 2, 0.944 with 3, 0.953 with 4, 0.956 with 6. The higher it is, the more the fastest
 * replicas are filled before any other is used.
 */
const RATE_EXPONENT = 4

/** A decode replica whose memory may be booked. */
export interface MemoryOption {
  readonly view: ReplicaView
  /** Time until the memory is likely to be free; infinite beyond the last horizon. */
  readonly waitMs: number
  readonly roomTokens: number
  /** Free memory, weighed by the replica's output rate relative to the other options. */
  readonly weighedTokens: number
}

/**
 * Returns the memory that a request is expected to occupy when it ends.
 *
 * @param request - request with or without a prompt
 * @returns tokens of its prompt and of the output as estimated by the caller
 */
export function expectedTokens ({ prompt }: RequestState): number {
  return prompt === undefined ? 0 : prompt.promptTokens + estimateOutputTokens(prompt)
}

/**
 * Returns the caller's estimate of the output length.
 *
 * @param prompt - prompt as declared by the caller
 * @returns tokens; the maximum output when the caller gave no estimate
 */
export function estimateOutputTokens ({ maxOutputTokens, outputHintTokens }: Prompt): number {
  return Math.min(maxOutputTokens, outputHintTokens ?? maxOutputTokens)
}

function toOption (context: RouterContext, view: ReplicaView, tokens: number): MemoryOption {
  const { load } = view
  if (load === undefined || view.ledgerDownUntilMs > context.nowMs) {
    return { view, waitMs: hasRoomWithoutLedger(view, tokens) ? 0 : Infinity, roomTokens: -view.ownTokens, weighedTokens: -view.ownTokens }
  }
  const index = load.roomTokens.findIndex((room) => room - view.bookedTokensSinceLoad >= tokens)
  const waitMs = index < 0 ? Infinity : ROOM_HORIZONS_MS[index] as number
  const roomTokens = (load.roomTokens[Math.max(0, index)] ?? 0) - view.bookedTokensSinceLoad
  return { view, waitMs, roomTokens, weighedTokens: roomTokens }
}

// Without a report of the ledger, an entry relies on its own bookings alone.
function hasRoomWithoutLedger (view: ReplicaView, tokens: number): boolean {
  const capacity = view.load?.capacityTokens ?? DEFAULT_CAPACITY_TOKENS
  return view.ownTokens + tokens <= FALLBACK_MEMORY_SHARE * capacity
}

/**
 * Chooses the replica that is likely to have free memory first; of those that have it at the same time,
 * the one with most, where memory of a replica with a high output rate counts for more.
 *
 * @param context - context of the current event
 * @param request - request that needs the memory
 * @param views - views of the replicas to choose from
 * @returns the best option; undefined if there are no replicas
 */
export function chooseMemoryOption (context: RouterContext, request: RequestState, views: readonly ReplicaView[]): MemoryOption | undefined {
  const options = weighSpeeds(context, views.map((view) => toOption(context, view, expectedTokens(request))))
  const start = Math.floor(draw(context.state) * options.length)
  let best: MemoryOption | undefined
  for (let i = 0; i < options.length; i++) {
    const option = options[(start + i) % options.length] as MemoryOption
    if (best === undefined || isBetter(option, best)) best = option
  }
  return context.state.decisions.replica === 'random' ? options[start] : best
}

// A replica without a known rate counts as a mean one, so that it is tried again.
function weighSpeeds ({ state }: RouterContext, options: readonly MemoryOption[]): readonly MemoryOption[] {
  const rates = options.flatMap(({ view }) => view.load?.tokensPerMs ?? [])
  if (state.decisions.speeds === 'ignored' || rates.length === 0) return options
  const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
  return options.map((option) => option.roomTokens <= 0 ? option : ({ ...option, weighedTokens: option.roomTokens * ((option.view.load?.tokensPerMs ?? meanRate) / meanRate) ** RATE_EXPONENT }))
}

function isBetter (one: MemoryOption, other: MemoryOption): boolean {
  if (one.waitMs !== other.waitMs) return one.waitMs < other.waitMs
  return one.weighedTokens > other.weighedTokens
}
