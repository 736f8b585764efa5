/**
 * Logs what the reducer decided: the end of each request, and in detail each
 * event of the time line.
 *
 * @module
 */
import type { Effect, EffectOf, EffectType } from 'bendfall-core'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Logger } from './BendfallNodeLogger.js'

type EffectLoggers = { readonly [T in EffectType]?: (logger: Logger, effect: EffectOf<T>) => void }

const EFFECT_LOGGERS: EffectLoggers = {
  end_request: (logger, { end, trafficClass }) => {
    const { detail, outcome, reason, requestId, retryAfterMs } = end
    logger.info('request_ended', { requestId, trafficClass, outcome, reason, retryAfterMs, detail })
  },
  record: (logger, { event, fields, subject }) => {
    logger.debug(event, { subject, ...fields })
  }
}

/**
 * Logs the effects of each step before they are carried out.
 *
 * @param runtime - update path of the process
 * @param logger - log of the process
 * @returns teardown
 */
export function registerEventLog (runtime: Runtime, logger: Logger): () => void {
  return runtime.registerListener((_, step) => {
    for (const effect of step.effects) logEffect(logger, effect)
  })
}

function logEffect (logger: Logger, effect: Effect): void {
  const log = EFFECT_LOGGERS[effect.type] as ((logger: Logger, effect: Effect) => void) | undefined
  log?.(logger, effect)
}
