/**
 * Draws random scripts. Each seed has a profile that favors some faults, so that one kind of fault doesn't
 * hide the others.
 *
 * @module
 */
import type { Random } from './BendfallFakesAnswersRandom.js'
import type { AnswerScript, RequestPurpose, ScriptCut, ScriptDuplicate } from './BendfallFakesAnswersScript.js'
import { DEFAULT_SCRIPT, isCloseDelimited } from './BendfallFakesAnswersScript.js'

/** Kinds of faults that a seed can favor. */
export const ANSWER_PROFILES = ['resets', 'doubles', 'framing', 'streams', 'slow', 'refusals', 'headers', 'own_calls', 'mixed'] as const

/** One of them. */
export type AnswerProfile = (typeof ANSWER_PROFILES)[number]

interface Weights {
  readonly cut: number
  readonly duplicate: number
  readonly refusal: number
  readonly failure: number
  readonly idleEnd: number
  readonly large: number
  /** Share of the large bodies that exceed kernel socket buffers. */
  readonly huge: number
  readonly note: number
  readonly prelude: number
  readonly early: number
  readonly unusualFormat: number
  /** Transfer codings other than chunked. */
  readonly identityCoding: number
  /** Duplicate responses to and refusals of calls other than runs, i.e. prefills and control calls. */
  readonly nonRunDuplicate: number
  readonly nonRunRefusal: number
}

const BASE_WEIGHTS: Weights = { cut: 0, duplicate: 0, refusal: 0.03, failure: 0.03, idleEnd: 0, large: 0.02, huge: 0, note: 0, prelude: 0, early: 0, unusualFormat: 0, identityCoding: 0, nonRunDuplicate: 0, nonRunRefusal: 0.03 }

const WEIGHTS: Readonly<Record<AnswerProfile, Weights>> = {
  resets: { ...BASE_WEIGHTS, cut: 0.5, idleEnd: 0.3, large: 0.05 },
  doubles: { ...BASE_WEIGHTS, duplicate: 0.4, refusal: 0.1, failure: 0.1, nonRunDuplicate: 0.3 },
  framing: { ...BASE_WEIGHTS, cut: 0.2, prelude: 0.1, early: 0.5, identityCoding: 0.1 },
  streams: { ...BASE_WEIGHTS, cut: 0.2, unusualFormat: 0.7 },
  slow: { ...BASE_WEIGHTS, cut: 0.3, large: 0.4, huge: 0.3 },
  refusals: { ...BASE_WEIGHTS, duplicate: 0.3, refusal: 0.4, failure: 0.15, nonRunDuplicate: 0.3, nonRunRefusal: 0.3 },
  headers: { ...BASE_WEIGHTS, note: 0.3, prelude: 0.1 },
  own_calls: { ...BASE_WEIGHTS, nonRunDuplicate: 0.5, nonRunRefusal: 0.3 },
  mixed: { cut: 0.15, duplicate: 0.15, refusal: 0.1, failure: 0.08, idleEnd: 0.1, large: 0.1, huge: 0.1, note: 0.03, prelude: 0.04, early: 0.15, unusualFormat: 0.15, identityCoding: 0.03, nonRunDuplicate: 0.15, nonRunRefusal: 0.1 }
}

const LARGE_BYTES = [300_000, 1_000_000] as const
const SMALL_BYTES = [0, 1, 40, 700, 9_000, 70_000] as const
const HUGE_BYTES = 8_000_000
const HUGE_EVENT_BYTES = 1_600_000
const LARGE_EVENT_BYTES = 60_000
const SMALL_EVENT_BYTES = [0, 20, 600] as const
const MAX_DUPLICATE_DELAY_MS = 300
const MAX_CUT_DELAY_MS = 8
const MAX_IDLE_MS = 30
const NON_RUN_BODY_BYTES = 0

/** Format of the events of a stream, which is the same in each run of the request. */
export type StreamFormat = Pick<AnswerScript, 'bodyBytes' | 'hasComments' | 'isLastOpen' | 'lineEnd'>

/**
 * Draws the format of a stream.
 *
 * @param random - random source of the request
 * @param profile - profile of the seed
 * @returns the format
 */
export function drawStreamFormat (random: Random, profile: AnswerProfile): StreamFormat {
  const weights = WEIGHTS[profile]
  const isUnusual = random.chance(weights.unusualFormat)
  return {
    bodyBytes: random.chance(weights.large) ? random.chance(weights.huge) ? HUGE_EVENT_BYTES : LARGE_EVENT_BYTES : random.pick(SMALL_EVENT_BYTES),
    lineEnd: isUnusual ? random.pick(['\n', '\r\n', '\r'] as const) : '\n',
    hasComments: isUnusual && random.chance(0.4),
    isLastOpen: isUnusual && random.chance(0.4)
  }
}

/**
 * Draws the script of a response.
 *
 * @param random - random source of the replica
 * @param profile - profile of the seed
 * @param asked - operation that the request asks for
 * @returns the script
 */
export function drawScript (random: Random, profile: AnswerProfile, asked: RequestPurpose): AnswerScript {
  const weights = WEIGHTS[profile]
  const framing = random.chance(weights.identityCoding) ? 'identity' : random.pick(['length', 'chunked', 'connection'] as const)
  return {
    ...DEFAULT_SCRIPT,
    status: drawStatus(random, weights, asked),
    framing,
    connection: isCloseDelimited(framing) ? random.pick(['close', 'none'] as const) : random.pick(['none', 'none', 'keep-alive', 'close'] as const),
    prelude: random.chance(weights.prelude) ? random.pick(['hints', 'garbage'] as const) : 'none',
    note: random.chance(weights.note) ? random.pick(['ascii', 'latin1', 'utf8'] as const) : 'none',
    isIdLast: random.chance(0.3),
    write: random.pick(['whole', 'whole', 'pieces', 'bytes'] as const),
    pieces: 2 + random.integer(6),
    pieceDelayMs: random.integer(5),
    bodyBytes: drawBodyBytes(random, weights, asked),
    cut: random.chance(weights.cut) ? drawCut(random) : undefined,
    double: random.chance(asked === 'run' ? weights.duplicate : weights.nonRunDuplicate) ? drawDuplicate(random) : undefined,
    isEarly: random.chance(weights.early),
    workMs: random.pick([0, 0, 1, 5, 20, 60] as const),
    idleEnd: random.chance(weights.idleEnd) ? { how: random.pick(['fin', 'reset'] as const), afterMs: random.integer(MAX_IDLE_MS) } : undefined
  }
}

function drawStatus (random: Random, { failure, nonRunRefusal, refusal }: Weights, asked: RequestPurpose): AnswerScript['status'] {
  if (random.chance(asked === 'run' ? refusal : nonRunRefusal)) return random.pick([503, 503, 503, 429, 421] as const)
  return asked === 'run' && random.chance(failure) ? 500 : 200
}

function drawBodyBytes (random: Random, { huge, large }: Weights, asked: RequestPurpose): number {
  if (asked !== 'run') return NON_RUN_BODY_BYTES
  if (!random.chance(large)) return random.pick(SMALL_BYTES)
  return random.chance(huge) ? HUGE_BYTES : random.pick(LARGE_BYTES)
}

function drawCut (random: Random): ScriptCut {
  return {
    how: random.pick(['fin', 'reset', 'reset'] as const),
    at: random.pick(['head', 'body', 'body', 'body', 'last_byte', 'end'] as const),
    share: random.integer(1_000) / 1_000,
    afterMs: random.pick([0, 0, random.integer(MAX_CUT_DELAY_MS + 1)] as const)
  }
}

function drawDuplicate (random: Random): ScriptDuplicate {
  return {
    part: random.pick(['whole', 'whole', 'whole', 'body_cut', 'head_cut', 'head_cut', 'line_cut'] as const),
    when: random.pick(['late', 'late', 'with_next', 'same_segment'] as const),
    afterMs: random.pick([0, 1, random.integer(20), random.integer(MAX_DUPLICATE_DELAY_MS)] as const),
    share: random.integer(1_000) / 1_000
  }
}
