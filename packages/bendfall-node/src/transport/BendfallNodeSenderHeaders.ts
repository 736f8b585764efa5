/**
 * Carries who sends a message in the HTTP/2 headers of its stream. They stay the same for
 * a whole connection, so header compression (RFC 7541) sends them once and then
 * as a byte each, where the message would repeat some fifty bytes.
 *
 * @module
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http2'
import type { Sender } from 'bendfall-protocol'
import type { SenderInit } from './BendfallNodeSender.js'

const INSTANCE_HEADER = 'bendfall-instance'
const INCARNATION_HEADER = 'bendfall-incarnation'

interface Outgoing {
  readonly sender?: SenderInit
}

interface Incoming {
  sender?: Sender
}

/** Who sends, which holds for a whole connection. */
export type SenderName = Pick<Sender, 'instanceId' | 'incarnation'>

/** A message whose sender is told by headers. */
export interface SplitMessage<T> {
  readonly message: T
  readonly headers: OutgoingHttpHeaders
}

/**
 * Moves who sends a message into headers.
 *
 * @param message - message with its whole sender, or without any
 * @returns the headers, and the message with the rest of its sender
 */
export function splitSender<T extends object> (message: T): SplitMessage<T> {
  const { sender } = message as Outgoing
  if (sender?.instanceId === undefined) return { message, headers: {} }
  const { instanceId, incarnation = '' } = sender
  const headers = { [INSTANCE_HEADER]: encodeURIComponent(instanceId), [INCARNATION_HEADER]: encodeURIComponent(incarnation) }
  return { message: { ...message, sender: { ...sender, instanceId: '', incarnation: '' } }, headers }
}

/**
 * Puts who sent a message back into it.
 *
 * @param message - message that arrived; one that names its sender stays as it is
 * @param headers - headers that arrived with it
 * @returns the message
 * @throws URIError when a header is malformed
 */
export function joinSender<T extends object> (message: T, headers: IncomingHttpHeaders): T {
  const instanceId = headers[INSTANCE_HEADER]
  if (typeof instanceId !== 'string') return message
  const incarnation = String(headers[INCARNATION_HEADER] ?? '')
  return nameSender(message, { instanceId: decodeURIComponent(instanceId), incarnation: decodeURIComponent(incarnation) })
}

/**
 * Puts a known sender into a message that arrived from it.
 *
 * @param message - message that arrived; one that names its sender stays as it is
 * @param known - who sent it, as told before
 * @returns the message
 */
export function nameSender<T extends object> (message: T, { instanceId, incarnation }: SenderName): T {
  const { sender } = message as Incoming
  if (sender === undefined || sender.instanceId !== '') return message
  sender.instanceId = instanceId
  sender.incarnation = incarnation
  return message
}
