/**
 * Carries out the effects that ask sidecars, and turns their answers and the
 * loss of a connection into events.
 *
 * @module
 */
import type { DecodeAsk, EffectOf, InstanceId, RequestId, ReserveReply } from 'bendfall-core'
import type { LoadView, Sender } from 'bendfall-protocol'
import { SidecarService } from 'bendfall-protocol'
import { backoffMs, pause } from '../runtime/BendfallNodePause.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import type { Connection, Connections } from './BendfallNodeConnections.js'
import { registerLeaseClient } from './BendfallNodeLeaseClient.js'
import { fromLoadView } from './BendfallNodeLoadView.js'
import { fromCallResponse, fromClaimKeyResponse, fromDecodeEnd, fromPrefillResponse, fromReserveResponse, toCallRequest, toClaimKeyRequest, toDecodeRequest, toPrefillRequest, toReserveRequest } from './BendfallNodeMessages.js'
import { createRelayClients } from './BendfallNodeRelayClient.js'
import type { RelayClients } from './BendfallNodeRelayClient.js'
import type { ArrivedItem } from './BendfallNodeRelayCodec.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { callUnary, NotProcessedError } from './BendfallNodeUnaryClient.js'
import type { UnaryOptions } from './BendfallNodeUnaryClient.js'

/** Wait for answers that a sidecar gives from memory. */
const PROMPT_ANSWER_TIMEOUT_MS = 1_000

/** Added to the wait of an ask for the way there and back. */
const NETWORK_ALLOWANCE_MS = 250

/** Tries to tell a sidecar of a cancel or of a settled key. */
const NOTICE_TRIES = 3

/** Pause before the second try of a notice. */
const NOTICE_RETRY_MS = 100

/** Longest pause between two tries of a notice. */
const NOTICE_RETRY_MAX_MS = 400

/** Told why a call had no answer; the reducer hears only that it had none. */
export type FailureListener = (instanceId: InstanceId, error: unknown) => void

interface Attempt {
  readonly instanceId: InstanceId
  readonly requestId: RequestId
  readonly attempt: number
}

/** What answers of a sidecar have in common. */
interface SidecarAnswer {
  readonly sender?: Sender
  readonly load?: LoadView
}

interface ClientParts {
  readonly runtime: Runtime
  readonly sender: SenderClock
  readonly connections: Connections
  readonly relays: RelayClients
  /** Calls and streams that are open, by {@link attemptName}. */
  readonly open: Map<string, AbortController>
  readonly onFailure: FailureListener
}

const attemptName = ({ instanceId, requestId, attempt }: Attempt): string => `${instanceId}/${requestId}:${attempt}`

/**
 * Registers the entry's side of SidecarService.
 *
 * @param runtime - update path of the process
 * @param sender - stamps and observes messages
 * @param connections - connections to the sidecars
 * @param onFailure - told why a call had no answer, for the log
 * @returns teardown that also ends calls and streams that are open
 */
export function registerSidecarClients (runtime: Runtime, sender: SenderClock, connections: Connections, onFailure: FailureListener = () => {}): Teardown {
  const parts: ClientParts = { runtime, sender, connections, relays: createRelayClients(sender), open: new Map(), onFailure }
  return combineTeardowns([
    () => { for (const controller of parts.open.values()) controller.abort() },
    runtime.registerEffect('send_reserve', (effect) => { sendReserve(parts, effect) }),
    runtime.registerEffect('send_prefill', (effect) => { sendPrefill(parts, effect) }),
    runtime.registerEffect('send_decode', (effect) => { sendDecode(parts, effect) }),
    runtime.registerEffect('send_call', (effect) => { sendCall(parts, effect) }),
    runtime.registerEffect('send_key_claim', (effect) => { sendKeyClaim(parts, effect) }),
    runtime.registerEffect('send_key_settled', (effect) => { sendKeySettled(parts, effect) }),
    runtime.registerEffect('send_cancel', (effect) => { sendCancel(parts, effect) }),
    registerLeaseClient({
      ...parts,
      connectionTo: (instanceId) => connectionTo(parts, instanceId),
      observe: (instanceId, answer) => observe(parts, instanceId, answer)
    })
  ])
}

function connectionTo ({ runtime, connections }: ClientParts, instanceId: InstanceId): Connection | undefined {
  const member = runtime.getState().members.get(instanceId)
  return member === undefined ? undefined : connections.to(member.record.address)
}

/** Every answer tells of its sender, above all that it drains. */
function observe ({ runtime, sender }: ClientParts, instanceId: InstanceId, answer: SidecarAnswer): void {
  sender.observe(answer.sender)
  if (answer.load === undefined) return
  runtime.dispatch({ type: 'load_seen', instanceId, load: fromLoadView(answer.load), incarnation: answer.sender?.incarnation })
}

async function sendReserve (parts: ClientParts, { instanceId, ask }: EffectOf<'send_reserve'>): Promise<void> {
  const { requestId, attempt } = ask
  const reply = await askReserve(parts, instanceId, ask)
  parts.runtime.dispatch({ type: 'reserve_replied', instanceId, requestId, attempt, reply })
}

async function askReserve (parts: ClientParts, instanceId: InstanceId, ask: EffectOf<'send_reserve'>['ask']): Promise<ReserveReply> {
  const connection = connectionTo(parts, instanceId)
  if (connection === undefined) return { type: 'unreachable' }
  try {
    const response = await callUnary(connection.session, SidecarService.method.reserve, toReserveRequest(ask, parts.sender.stamp()), { timeoutMs: Math.ceil(ask.maxReadyInMs + PROMPT_ANSWER_TIMEOUT_MS) })
    observe(parts, instanceId, response)
    return fromReserveResponse(response)
  } catch (error) {
    parts.onFailure(instanceId, error)
    return { type: 'unreachable' }
  }
}

async function sendPrefill (parts: ClientParts, { instanceId, ask }: EffectOf<'send_prefill'>): Promise<void> {
  const { requestId, attempt } = ask
  const name = { instanceId, requestId, attempt }
  await withAbort(parts, name, ask.maxWaitMs, async (options) => {
    const connection = connectionTo(parts, instanceId)
    if (connection === undefined) throw new Error('not listed')
    const response = await callUnary(connection.session, SidecarService.method.prefill, toPrefillRequest(ask, parts.sender.stamp()), options)
    observe(parts, instanceId, response)
    const reply = fromPrefillResponse(response)
    return () => parts.runtime.dispatch({ type: 'prefill_replied', ...name, reply })
  }, () => parts.runtime.dispatch({ type: 'prefill_replied', ...name, reply: { type: 'failed', reason: 'upstream_unreachable' } }))
}

async function sendCall (parts: ClientParts, { instanceId, ask }: EffectOf<'send_call'>): Promise<void> {
  const { requestId, attempt } = ask
  const name = { instanceId, requestId, attempt }
  await withAbort(parts, name, ask.maxWaitMs, async (options) => {
    const connection = connectionTo(parts, instanceId)
    if (connection === undefined || !await connection.open()) throw new NotProcessedError('not reachable')
    const response = await callUnary(connection.session, SidecarService.method.call, toCallRequest(ask, parts.sender.stamp()), options)
    observe(parts, instanceId, response)
    const reply = fromCallResponse(response)
    return () => parts.runtime.dispatch({ type: 'call_replied', ...name, reply })
  }, (error) => parts.runtime.dispatch({ type: 'call_replied', ...name, reply: { type: 'unreachable', reached: !(error instanceof NotProcessedError) } }))
}

async function sendKeyClaim (parts: ClientParts, { instanceId, ask }: EffectOf<'send_key_claim'>): Promise<void> {
  const name = { instanceId, requestId: ask.requestId, attempt: 0 }
  await withAbort(parts, name, ask.maxWaitMs, async (options) => {
    const connection = connectionTo(parts, instanceId)
    if (connection === undefined) throw new Error('not listed')
    const response = await callUnary(connection.session, SidecarService.method.claimKey, toClaimKeyRequest(ask, parts.sender.stamp()), options)
    observe(parts, instanceId, response)
    const reply = fromClaimKeyResponse(response)
    return () => parts.runtime.dispatch({ type: 'key_claim_replied', ...name, reply })
  }, () => parts.runtime.dispatch({ type: 'key_claim_replied', ...name, reply: { type: 'unreachable' } }))
}

/**
 * Runs a call that a cancel may end. A call that was cancelled leads to no
 * event: the reducer gave it up itself.
 */
async function withAbort (parts: ClientParts, name: Attempt, maxWaitMs: number, call: (options: UnaryOptions) => Promise<() => void>, onLost: (error: unknown) => void): Promise<void> {
  const controller = openAttempt(parts, name)
  const timeoutMs = maxWaitMs + NETWORK_ALLOWANCE_MS
  const report = await call({ signal: controller.signal, timeoutMs }).catch((error) => {
    parts.onFailure(name.instanceId, error)
    return () => onLost(error)
  })
  closeAttempt(parts, name, controller)
  if (!controller.signal.aborted) report()
}

function openAttempt (parts: ClientParts, name: Attempt): AbortController {
  const controller = new AbortController()
  parts.open.get(attemptName(name))?.abort()
  parts.open.set(attemptName(name), controller)
  return controller
}

function closeAttempt (parts: ClientParts, name: Attempt, controller: AbortController): void {
  if (parts.open.get(attemptName(name)) === controller) parts.open.delete(attemptName(name))
}

async function sendDecode (parts: ClientParts, { instanceId, ask }: EffectOf<'send_decode'>): Promise<void> {
  const name = { instanceId, requestId: ask.requestId, attempt: ask.attempt }
  const controller = openAttempt(parts, name)
  const ended = await readDecode(parts, name, ask, controller.signal).catch((error) => {
    parts.onFailure(instanceId, error)
    return false
  })
  closeAttempt(parts, name, controller)
  if (ended || controller.signal.aborted) return
  parts.runtime.dispatch({ type: 'decode_ended', ...name, end: { type: 'failed', reason: 'upstream_unreachable', kvLost: false } })
}

async function readDecode (parts: ClientParts, name: Attempt, ask: DecodeAsk, signal: AbortSignal): Promise<boolean> {
  const connection = connectionTo(parts, name.instanceId)
  if (connection === undefined) return false
  let ended = false
  await parts.relays.decode(connection.session, toDecodeRequest(ask, parts.sender.stamp()), signal, (item) => {
    // An end that can't be read throws: the decode has not ended then.
    dispatchItem(parts, name, item)
    ended = item.end !== undefined
  })
  return ended
}

function dispatchItem (parts: ClientParts, name: Attempt, { index, tokens, transferredBytes, end }: ArrivedItem): void {
  const { runtime } = parts
  if (tokens.length > 0) runtime.dispatch({ type: 'tokens_arrived', ...name, index, tokens })
  if (transferredBytes !== undefined) runtime.dispatch({ type: 'transfer_progressed', ...name, transferredBytes })
  if (end === undefined) return
  observe(parts, name.instanceId, end)
  runtime.dispatch({ type: 'decode_ended', ...name, end: fromDecodeEnd(end) })
}

async function sendCancel (parts: ClientParts, { instanceId, requestId, attempt }: EffectOf<'send_cancel'>): Promise<void> {
  parts.open.get(attemptName({ instanceId, requestId, attempt }))?.abort()
  await sendNotice(parts, instanceId, (connection, options) => callUnary(connection.session, SidecarService.method.cancel, { requestId, attempt, sender: parts.sender.stamp() }, options))
}

async function sendKeySettled (parts: ClientParts, { instanceId, requestId, pool, idempotencyKey, answered, body }: EffectOf<'send_key_settled'>): Promise<void> {
  await sendNotice(parts, instanceId, (connection, options) => callUnary(connection.session, SidecarService.method.settleKey, { requestId, pool, idempotencyKey, answered, body: body as Uint8Array<ArrayBuffer>, sender: parts.sender.stamp() }, options))
}

/** Notices are idempotent; a lease at the sidecar bounds what a lost one costs. */
async function sendNotice (parts: ClientParts, instanceId: InstanceId, send: (connection: Connection, options: UnaryOptions) => Promise<unknown>): Promise<void> {
  for (let tried = 0; tried < NOTICE_TRIES; tried += 1) {
    const connection = connectionTo(parts, instanceId)
    if (connection === undefined) return
    const sent = await send(connection, { timeoutMs: PROMPT_ANSWER_TIMEOUT_MS }).then(() => true, () => false)
    if (sent) return
    await pause(parts.runtime.clock, backoffMs(NOTICE_RETRY_MS, NOTICE_RETRY_MAX_MS, tried))
  }
}
