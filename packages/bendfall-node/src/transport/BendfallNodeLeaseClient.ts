/**
 * Carries out the effects that keep the leases of an entry's requests, and
 * reports closed connections.
 *
 * @module
 */
import type { EffectOf, InstanceId } from 'bendfall-core'
import type { RenewResponse } from 'bendfall-protocol'
import { SidecarService } from 'bendfall-protocol'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { combineTeardowns } from '../runtime/BendfallNodeTeardown.js'
import type { Connection, Connections } from './BendfallNodeConnections.js'
import type { SenderClock } from './BendfallNodeSender.js'
import { callUnary } from './BendfallNodeUnaryClient.js'

/** Wait for the answer to a renewal. */
const RENEWAL_TIMEOUT_MS = 1_000

/** What the leases need of the entry's side of SidecarService. */
export interface LeaseClientParts {
  readonly runtime: Runtime
  readonly sender: SenderClock
  readonly connections: Connections
  /** Finds the connection to an instance; undefined when it is not listed. */
  readonly connectionTo: (instanceId: InstanceId) => Connection | undefined
  /** Takes in sender and load of an answer. */
  readonly observe: (instanceId: InstanceId, answer: RenewResponse) => void
}

/**
 * Registers heartbeats and renewals.
 *
 * @param parts - what they need
 * @returns teardown
 */
export function registerLeaseClient (parts: LeaseClientParts): Teardown {
  const { runtime, connections, connectionTo } = parts
  return combineTeardowns([
    runtime.registerEffect('send_heartbeat', ({ instanceId }) => connectionTo(instanceId)?.heartbeat()),
    runtime.registerEffect('send_renewal', (effect) => { sendRenewal(parts, effect) }),
    connections.onClosed((address) => reportClosed(runtime, address))
  ])
}

async function sendRenewal ({ runtime, sender, connectionTo, observe }: LeaseClientParts, { instanceId, requestIds }: EffectOf<'send_renewal'>): Promise<void> {
  const connection = connectionTo(instanceId)
  if (connection === undefined) return
  const request = { requestIds: [...requestIds], sender: sender.stamp() }
  const response = await callUnary(connection.session, SidecarService.method.renew, request, { timeoutMs: RENEWAL_TIMEOUT_MS }).catch(() => undefined)
  if (response === undefined) return
  observe(instanceId, response)
  if (response.unknownRequestIds.length > 0) runtime.dispatch({ type: 'leases_refused', instanceId, requestIds: response.unknownRequestIds })
}

function reportClosed (runtime: Runtime, address: string): void {
  const instanceId = runtime.getState().members.findKey(({ record }) => record.address === address)
  if (instanceId !== undefined) runtime.dispatch({ type: 'sidecar_disconnected', instanceId })
}
