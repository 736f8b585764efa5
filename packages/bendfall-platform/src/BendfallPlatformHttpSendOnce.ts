/**
 * undici interceptor that records when a request is assigned to a connection, and prevents
 * undici from sending it again on a second one.
 *
 * @module
 */
import type { Dispatcher } from 'undici'

/** Whether bytes of one request may have left the process. */
export interface SendState {
  started: boolean
}

/**
 * Creates the interceptor for one request.
 *
 * @param state - `started` is set before the first byte may be written
 * @returns an interceptor for `Dispatcher.compose`
 */
export function createSendOnce (state: SendState): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => dispatch(options, watchStart(handler, state))
}

function watchStart (handler: Dispatcher.DispatchHandler, state: SendState): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      const sentBefore = state.started
      handler.onRequestStart?.(controller, context)
      if (controller.aborted) return
      state.started = true
      // undici resends a request on a new connection if the old one closed in a way that it
      // considers harmless. That is not acceptable for calls that must not be repeated.
      if (sentBefore) controller.abort(new Error('request would be sent twice'))
    },
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args)
  }
}
