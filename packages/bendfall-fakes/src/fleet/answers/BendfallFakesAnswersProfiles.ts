/**
 * Draws random scripts. Each seed has a profile that favors some faults, so that one kind of fault doesn't
 * hide the others.
 *
 * @module
 */
import type { Random } from './BendfallFakesAnswersRandom.js'
import type { AnswerScript, AskedFor, ScriptCut, ScriptDouble } from './BendfallFakesAnswersScript.js'
import { hasOpenEnd, SOUND_SCRIPT } from './BendfallFakesAnswersScript.js'

/** Kinds of faults that a seed can favor. */
export const ANSWER_PROFILES = ['resets', 'doubles', 'framing', 'streams', 'slow', 'refusals', 'headers', 'own_calls', 'mixed'] as const

/** One of them. */
export type AnswerProfile = (typeof ANSWER_PROFILES)[number]

interface Weights {
  readonly cut: number
  readonly double: number
  readonly refusal: number
  readonly failure: number
  readonly idleEnd: number
  readonly large: number
  /** Share of the large bodies that exceed kernel socket buffers. */
  readonly huge: number
  readonly note: number
  readonly prelude: number
  readonly early: number
  readonly odd: number
  /** Transfer codings other than chunked. */
  readonly coding: number
  /** Duplicate responses to and refusals of calls other than runs, i.e. prefills and control calls. */
  readonly ownDouble: number
  readonly ownRefusal: number
}

const NONE: Weights = { cut: 0, double: 0, refusal: 0.03, failure: 0.03, idleEnd: 0, large: 0.02, huge: 0, note: 0, prelude: 0, early: 0, odd: 0, coding: 0, ownDouble: 0, ownRefusal: 0.03 }

const WEIGHTS: Readonly<Record<AnswerProfile, Weights>> = {
  resets: { ...NONE, cut: 0.5, idleEnd: 0.3, large: 0.05 },
  doubles: { ...NONE, double: 0.4, refusal: 0.1, failure: 0.1, ownDouble: 0.3 },
  framing: { ...NONE, cut: 0.2, prelude: 0.1, early: 0.5, coding: 0.1 },
  streams: { ...NONE, cut: 0.2, odd: 0.7 },
  slow: { ...NONE, cut: 0.3, large: 0.4, huge: 0.3 },
  refusals: { ...NONE, double: 0.3, refusal: 0.4, failure: 0.15, ownDouble: 0.3, ownRefusal: 0.3 },
  headers: { ...NONE, note: 0.3, prelude: 0.1 },
  own_calls: { ...NONE, ownDouble: 0.5, ownRefusal: 0.3 },
  mixed: { cut: 0.15, double: 0.15, refusal: 0.1, failure: 0.08, idleEnd: 0.1, large: 0.1, huge: 0.1, note: 0.03, prelude: 0.04, early: 0.15, odd: 0.15, coding: 0.03, ownDouble: 0.15, ownRefusal: 0.1 }
}

const LARGE_BYTES = [300_000, 1_000_000] as const
const SMALL_BYTES = [0, 1, 40, 700, 9_000, 70_000] as const
const HUGE_BYTES = 8_000_000
const HUGE_EVENT_BYTES = 1_600_000
const LARGE_EVENT_BYTES = 60_000
const SMALL_EVENT_BYTES = [0, 20, 600] as const
const LATEST_DOUBLE_MS = 300
const LATEST_RESET_MS = 8
const LATEST_IDLE_END_MS = 30
const OWN_BYTES = 0

/** Format of the events of a stream, which is the same in each run of the request. */
export type StreamForm = Pick<AnswerScript, 'bodyBytes' | 'hasComments' | 'isLastOpen' | 'lineEnd'>

/**
 * Draws the format of a stream.
 *
 * @param random - random source of the request
 * @param profile - profile of the seed
 * @returns the format
 */
export function drawStreamForm (random: Random, profile: AnswerProfile): StreamForm {
  const weights = WEIGHTS[profile]
  const isOdd = random.chance(weights.odd)
  return {
    bodyBytes: random.chance(weights.large) ? random.chance(weights.huge) ? HUGE_EVENT_BYTES : LARGE_EVENT_BYTES : random.pick(SMALL_EVENT_BYTES),
    lineEnd: isOdd ? random.pick(['\n', '\r\n', '\r'] as const) : '\n',
    hasComments: isOdd && random.chance(0.4),
    isLastOpen: isOdd && random.chance(0.4)
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
export function drawScript (random: Random, profile: AnswerProfile, asked: AskedFor): AnswerScript {
  const weights = WEIGHTS[profile]
  const framing = random.chance(weights.coding) ? 'identity' : random.pick(['length', 'chunked', 'connection'] as const)
  return {
    ...SOUND_SCRIPT,
    status: drawStatus(random, weights, asked),
    framing,
    connection: hasOpenEnd(framing) ? random.pick(['close', 'none'] as const) : random.pick(['none', 'none', 'keep-alive', 'close'] as const),
    prelude: random.chance(weights.prelude) ? random.pick(['hints', 'garbage'] as const) : 'none',
    note: random.chance(weights.note) ? random.pick(['ascii', 'latin1', 'utf8'] as const) : 'none',
    isIdLast: random.chance(0.3),
    write: random.pick(['whole', 'whole', 'pieces', 'bytes'] as const),
    pieces: 2 + random.whole(6),
    pieceDelayMs: random.whole(5),
    bodyBytes: drawBytes(random, weights, asked),
    cut: random.chance(weights.cut) ? drawCut(random) : undefined,
    double: random.chance(asked === 'run' ? weights.double : weights.ownDouble) ? drawDouble(random) : undefined,
    isEarly: random.chance(weights.early),
    workMs: random.pick([0, 0, 1, 5, 20, 60] as const),
    idleEnd: random.chance(weights.idleEnd) ? { how: random.pick(['fin', 'reset'] as const), afterMs: random.whole(LATEST_IDLE_END_MS) } : undefined
  }
}

function drawStatus (random: Random, { failure, ownRefusal, refusal }: Weights, asked: AskedFor): AnswerScript['status'] {
  if (random.chance(asked === 'run' ? refusal : ownRefusal)) return random.pick([503, 503, 503, 429, 421] as const)
  return asked === 'run' && random.chance(failure) ? 500 : 200
}

function drawBytes (random: Random, { huge, large }: Weights, asked: AskedFor): number {
  if (asked !== 'run') return OWN_BYTES
  if (!random.chance(large)) return random.pick(SMALL_BYTES)
  return random.chance(huge) ? HUGE_BYTES : random.pick(LARGE_BYTES)
}

function drawCut (random: Random): ScriptCut {
  return {
    how: random.pick(['fin', 'reset', 'reset'] as const),
    at: random.pick(['head', 'body', 'body', 'body', 'last_byte', 'end'] as const),
    share: random.whole(1_000) / 1_000,
    afterMs: random.pick([0, 0, random.whole(LATEST_RESET_MS + 1)] as const)
  }
}

function drawDouble (random: Random): ScriptDouble {
  return {
    part: random.pick(['whole', 'whole', 'whole', 'body_cut', 'head_cut', 'head_cut', 'line_cut'] as const),
    when: random.pick(['late', 'late', 'with_next', 'same_segment'] as const),
    afterMs: random.pick([0, 1, random.whole(20), random.whole(LATEST_DOUBLE_MS)] as const),
    share: random.whole(1_000) / 1_000
  }
}
