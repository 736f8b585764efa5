/**
 * Predicts output lengths from the callers' estimates, which are right at the median but often far
 * off. Fits a line through the logarithms of both, so that an extreme estimate counts for about half
 * of its value.
 *
 * @module
 */

/** Accumulated sums of the regression, in which older observations weigh less. */
export interface OutputModel {
  readonly weight: number
  readonly meanHint: number
  readonly meanOutput: number
  readonly hintSquares: number
  readonly crossProducts: number
}

/** Number of observations that the initial line weighs as much as. */
const INITIAL_WEIGHT = 12

/** Tokens at which estimate and output agree initially, before any output was observed. */
const INITIAL_TOKENS = 700

/** Initial slope, for logarithms of estimates with an error of spread 0.5 and of outputs with spread 0.7. */
const INITIAL_SLOPE = 0.65

/** Initial spread of the logarithm of the estimates. */
const INITIAL_SPREAD = 0.7

/** Factor by which each observation reduces the weight of the earlier ones: about the last hundred count. */
const DECAY_FACTOR = 0.99

/** Ratio of mean to median of the residuals of the line, for a spread of 0.45 in the logarithm. */
const MEAN_OVER_MEDIAN = 1.1

/** An output that exceeds its prediction is expected to end at this multiple of its current length. */
const OVERRUN_FACTOR = 1.2

/**
 * Creates the initial model, before any output was observed.
 *
 * @returns the model
 */
export function createOutputModel (): OutputModel {
  const mean = Math.log(INITIAL_TOKENS)
  const hintSquares = INITIAL_WEIGHT * INITIAL_SPREAD
  return { weight: INITIAL_WEIGHT, meanHint: mean, meanOutput: mean, hintSquares, crossProducts: INITIAL_SLOPE * hintSquares }
}

/**
 * Updates the model with a completed output.
 *
 * @param model - model before the observation
 * @param hintTokens - the caller's estimate
 * @param outputTokens - actual length of the output
 * @returns the updated model
 */
export function learnOutput (model: OutputModel, hintTokens: number, outputTokens: number): OutputModel {
  const hint = Math.log(Math.max(1, hintTokens))
  const output = Math.log(Math.max(1, outputTokens))
  const weight = model.weight * DECAY_FACTOR + 1
  const hintDeviation = hint - model.meanHint
  const meanHint = model.meanHint + hintDeviation / weight
  const meanOutput = model.meanOutput + (output - model.meanOutput) / weight
  return {
    weight,
    meanHint,
    meanOutput,
    hintSquares: model.hintSquares * DECAY_FACTOR + hintDeviation * (hint - meanHint),
    crossProducts: model.crossProducts * DECAY_FACTOR + hintDeviation * (output - meanOutput)
  }
}

/**
 * Predicts the length of an output.
 *
 * @param model - the learned model
 * @param hintTokens - the caller's estimate
 * @param maxTokens - maximum output allowed
 * @param generatedTokens - output generated so far
 * @returns total output in tokens
 */
export function predictOutput (model: OutputModel, hintTokens: number, maxTokens: number, generatedTokens: number): number {
  const slope = model.crossProducts / model.hintSquares
  const median = Math.exp(model.meanOutput + slope * (Math.log(Math.max(1, hintTokens)) - model.meanHint))
  const expected = Math.max(median * MEAN_OVER_MEDIAN, generatedTokens * OVERRUN_FACTOR)
  return Math.max(generatedTokens, Math.min(maxTokens, expected))
}
