/**
 * Learns how long answers are from the callers' estimates, which are right at
 * the median but often far off: a line through the logarithms of both, so that
 * an extreme estimate is taken for half of what it says.
 *
 * @module
 */

/** Sums of the line, older observations weighing less. */
export interface OutputModel {
  readonly weight: number
  readonly meanHint: number
  readonly meanOutput: number
  readonly hintSpread: number
  readonly commonSpread: number
}

/** Observations that the first guess weighs as much as. */
const FIRST_WEIGHT = 12

/** Tokens at which estimate and answer agree at first; the mean of the users' answers is 880. */
const FIRST_TOKENS = 700

/** First slope: estimates off by a factor of e in a half of spread against 0.7 of the answers. */
const FIRST_SLOPE = 0.65

/** Spread of the logarithm of estimates at first. */
const FIRST_SPREAD = 0.7

/** What an observation keeps of its weight with each later one: the last hundred count. */
const KEPT = 0.99

/** Mean over median of what the line leaves unexplained: a spread of 0.45 in the logarithm. */
const MEAN_OVER_MEDIAN = 1.1

/** An answer that has passed its estimate is expected to grow by this much of itself. */
const OVERDUE_FACTOR = 1.2

/**
 * Makes the model before any answer was seen.
 *
 * @returns the model
 */
export function createOutputModel (): OutputModel {
  const mean = Math.log(FIRST_TOKENS)
  const hintSpread = FIRST_WEIGHT * FIRST_SPREAD
  return { weight: FIRST_WEIGHT, meanHint: mean, meanOutput: mean, hintSpread, commonSpread: FIRST_SLOPE * hintSpread }
}

/**
 * Learns from an answer.
 *
 * @param model - before the answer
 * @param hintTokens - the caller's estimate
 * @param outputTokens - length of the answer
 * @returns the model after it
 */
export function learnOutput (model: OutputModel, hintTokens: number, outputTokens: number): OutputModel {
  const hint = Math.log(Math.max(1, hintTokens))
  const output = Math.log(Math.max(1, outputTokens))
  const weight = model.weight * KEPT + 1
  const hintOff = hint - model.meanHint
  const meanHint = model.meanHint + hintOff / weight
  const meanOutput = model.meanOutput + (output - model.meanOutput) / weight
  return {
    weight,
    meanHint,
    meanOutput,
    hintSpread: model.hintSpread * KEPT + hintOff * (hint - meanHint),
    commonSpread: model.commonSpread * KEPT + hintOff * (output - meanOutput)
  }
}

/**
 * Expects the length of an answer.
 *
 * @param model - what was learned
 * @param hintTokens - the caller's estimate
 * @param maxTokens - longest answer allowed
 * @param madeTokens - made so far
 * @returns tokens in the end
 */
export function expectOutput (model: OutputModel, hintTokens: number, maxTokens: number, madeTokens: number): number {
  const slope = model.commonSpread / model.hintSpread
  const median = Math.exp(model.meanOutput + slope * (Math.log(Math.max(1, hintTokens)) - model.meanHint))
  const expected = Math.max(median * MEAN_OVER_MEDIAN, madeTokens * OVERDUE_FACTOR)
  return Math.max(madeTokens, Math.min(maxTokens, expected))
}
