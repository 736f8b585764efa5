/**
 * Carries out the effects of a sidecar on its plain service.
 *
 * @module
 */
import type { CallAsk } from 'bendfall-core'
import type { ServicePort } from 'bendfall-upstream'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'

/**
 * Registers the effects of a sidecar on its plain service. A call goes out
 * once, whatever happens.
 *
 * @param runtime - update path of the process
 * @param service - service beside the sidecar
 * @returns teardown that also ends calls that run
 */
export function registerService (runtime: Runtime, service: ServicePort): Teardown {
  const closing = new AbortController()
  return combineTeardowns([
    () => closing.abort(),
    runtime.registerEffect('service_call', (effect) => { runCall(runtime, service, effect.ask, closing.signal) })
  ])
}

async function runCall (runtime: Runtime, service: ServicePort, ask: CallAsk, signal: AbortSignal): Promise<void> {
  const { requestId, attempt, method, path, contentType, body, idempotencyKey, maxWaitMs } = ask
  const outcome = await service.call({ requestId, method, path, contentType, body, idempotencyKey, timeoutMs: maxWaitMs }, signal)
  if (signal.aborted) return
  const result = outcome.type === 'answered' ? outcome : { type: 'failed', reached: outcome.reached } as const
  runtime.dispatch({ type: 'service_replied', requestId, attempt, result })
}
