/**
 * Serves SidecarService: what entries ask becomes events, the effects that
 * answer become responses.
 *
 * @module
 */
import type { CallReply, KeyClaimReply, LoadView, PrefillReply, RequestId, ReserveReply, State } from 'bendfall-core'
import { SidecarService } from 'bendfall-protocol'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import { registerDecodeServer } from './BendfallNodeDecodeServer.js'
import { registerEntrySessions } from './BendfallNodeEntrySessions.js'
import { toLoadView } from './BendfallNodeLoadView.js'
import { fromCallRequest, fromClaimKeyRequest, fromPrefillRequest, fromReserveRequest, toCallResponse, toClaimKeyResponse, toPrefillResponse, toReserveResponse } from './BendfallNodeMessages.js'
import type { StreamRoutes } from './BendfallNodePeerListener.js'
import { createPendingAnswers } from './BendfallNodePendingAnswers.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { serveUnary } from './BendfallNodeUnaryServer.js'

/** What the server reads from the sidecar's slice of the state. */
export interface SidecarSelectors {
  /** Load that rides on the answer to a renewal of no leases. */
  readonly loadView: (state: State, nowMs: number) => LoadView
  /** Whether the sidecar still holds something for a request. */
  readonly holdsRequest: (state: State, requestId: RequestId) => boolean
}

interface AttemptKey {
  readonly requestId: RequestId
  readonly attempt: number
}

interface ServerParts {
  readonly streams: StreamRoutes
  readonly runtime: Runtime
  readonly sender: SenderClock
  readonly selectors: SidecarSelectors
}

function cancel (runtime: Runtime, { requestId, attempt }: AttemptKey): void {
  runtime.dispatch({ type: 'cancel_asked', requestId, attempt })
}

const keyOf = ({ requestId, attempt }: AttemptKey): string => `${requestId}:${attempt}`

/**
 * Serves SidecarService.
 *
 * @param streams - streams of the process's peer server
 * @param runtime - update path of the process
 * @param sender - stamps and observes messages
 * @param selectors - reads the answer to a renewal from the state
 * @returns teardown: ends all streams and takes back the effect handlers
 */
export function registerSidecarServer (streams: StreamRoutes, runtime: Runtime, sender: SenderClock, selectors: SidecarSelectors): Teardown {
  const parts: ServerParts = { streams, runtime, sender, selectors }
  return combineTeardowns([
    registerReserve(parts),
    registerPrefill(parts),
    registerDecodeServer(streams, runtime, sender),
    registerEntrySessions(streams, runtime),
    registerCall(parts),
    registerClaimKey(parts),
    registerPlainAsks(parts)
  ])
}

function registerReserve ({ streams, runtime, sender }: ServerParts): Teardown {
  const answers = createPendingAnswers<ReserveReply>()
  const stopServing = serveUnary(streams, SidecarService.method.reserve, async (request, signal) => {
    sender.observe(request.sender)
    const ask = fromReserveRequest(request)
    const start = (): void => runtime.dispatch({ type: 'reserve_asked', ask })
    const reply = await answers.ask(keyOf(ask), signal, start, () => cancel(runtime, ask))
    return toReserveResponse(reply, sender.stamp())
  })
  return combineTeardowns([stopServing, runtime.registerEffect('reply_reserve', (effect) => answers.answer(keyOf(effect), effect.reply))])
}

function registerPrefill ({ streams, runtime, sender }: ServerParts): Teardown {
  const answers = createPendingAnswers<PrefillReply>()
  const stopServing = serveUnary(streams, SidecarService.method.prefill, async (request, signal) => {
    sender.observe(request.sender)
    const ask = fromPrefillRequest(request)
    const start = (): void => runtime.dispatch({ type: 'prefill_asked', ask })
    const reply = await answers.ask(keyOf(ask), signal, start, () => cancel(runtime, ask))
    return toPrefillResponse(reply, sender.stamp())
  })
  return combineTeardowns([stopServing, runtime.registerEffect('reply_prefill', (effect) => answers.answer(keyOf(effect), effect.reply))])
}

function registerCall ({ streams, runtime, sender }: ServerParts): Teardown {
  const answers = createPendingAnswers<CallReply>()
  const stopServing = serveUnary(streams, SidecarService.method.call, async (request, signal) => {
    sender.observe(request.sender)
    const ask = fromCallRequest(request)
    const reply = await answers.ask(keyOf(ask), signal, () => runtime.dispatch({ type: 'call_asked', ask }))
    return toCallResponse(reply, sender.stamp())
  })
  return combineTeardowns([stopServing, runtime.registerEffect('reply_call', (effect) => answers.answer(keyOf(effect), effect.reply))])
}

function registerClaimKey ({ streams, runtime, sender }: ServerParts): Teardown {
  const answers = createPendingAnswers<KeyClaimReply>()
  const stopServing = serveUnary(streams, SidecarService.method.claimKey, async (request, signal) => {
    sender.observe(request.sender)
    const ask = fromClaimKeyRequest(request)
    const reply = await answers.ask(ask.requestId, signal, () => runtime.dispatch({ type: 'key_claim_asked', ask }))
    return toClaimKeyResponse(reply, sender.stamp())
  })
  return combineTeardowns([stopServing, runtime.registerEffect('reply_key_claim', (effect) => answers.answer(effect.requestId, effect.reply))])
}

function registerPlainAsks ({ streams, runtime, sender, selectors }: ServerParts): Teardown {
  const settleKey = serveUnary(streams, SidecarService.method.settleKey, (request) => {
    sender.observe(request.sender)
    const { requestId, pool, idempotencyKey, answered, body } = request
    const result = answered ? { type: 'answered', body } as const : { type: 'not_run' } as const
    runtime.dispatch({ type: 'key_settled', requestId, pool, idempotencyKey, result })
    return { sender: sender.stamp() }
  })
  const cancelAttempt = serveUnary(streams, SidecarService.method.cancel, (request) => {
    sender.observe(request.sender)
    cancel(runtime, request)
    return { sender: sender.stamp() }
  })
  const renew = serveUnary(streams, SidecarService.method.renew, (request) => {
    sender.observe(request.sender)
    const { requestIds } = request
    runtime.dispatch({ type: 'leases_renewed', entryId: request.sender?.instanceId ?? '', requestIds })
    const state = runtime.getState()
    const unknownRequestIds = requestIds.filter((requestId) => !selectors.holdsRequest(state, requestId))
    const load = requestIds.length === 0 ? toLoadView(selectors.loadView(state, runtime.clock.nowMs())) : undefined
    return { sender: sender.stamp(), load, unknownRequestIds }
  })
  return combineTeardowns([settleKey, cancelAttempt, renew])
}
