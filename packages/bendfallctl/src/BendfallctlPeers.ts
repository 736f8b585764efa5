/**
 * Sends requests to the running processes of the instance list.
 *
 * @module
 */
import type { InstanceRecord } from 'bendfall-core'
import type { Connection, SenderInit } from 'bendfall-node'
import { createConnections } from 'bendfall-node'
import type { InstanceListPort } from 'bendfall-platform'
import type { Result } from 'ts-results-es'
import { Err, Ok } from 'ts-results-es'
import type { CommandResult } from './BendfallctlExit.js'

const CONNECT_TIMEOUT_MS = 1_000
const RESPONSE_TIMEOUT_MS = 2_000

/** Sender of requests of the command line. It is not a bendfall process, so it has no configuration version. */
const SENDER: SenderInit = { instanceId: 'bendfallctl' }

/** Parameters for a request to one process. */
export interface PeerCall {
  readonly peer: Connection['peer']
  readonly sender: SenderInit
  readonly options: { readonly timeoutMs: number }
}

/** Response of one process. */
export interface PeerAnswer<T> {
  readonly record: InstanceRecord
  /** Absent if the process did not respond. */
  readonly answer?: T
}

/**
 * Reads the instance list.
 *
 * @param instances - service that provides the list
 * @returns all records, or the result with which the command has to end
 */
export async function listInstances (instances: InstanceListPort): Promise<Result<readonly InstanceRecord[], CommandResult>> {
  const outcome = await instances.list()
  if (outcome.type === 'listed') return Ok(outcome.instances)
  const { detail } = outcome
  return Err({ exit: 'outage', text: `instance list: ${detail}`, json: { type: 'unavailable', detail } })
}

/**
 * Sends a request to several processes concurrently.
 *
 * @param records - processes to call
 * @param callPeer - sends the request to one process
 * @returns the responses, in the order of the records; a process that fails or times out has none
 */
export async function callProcesses<T> (records: readonly InstanceRecord[], callPeer: (call: PeerCall) => Promise<T>): Promise<ReadonlyArray<PeerAnswer<T>>> {
  const connections = createConnections(CONNECT_TIMEOUT_MS)
  const answers = await Promise.all(records.map(async (record): Promise<PeerAnswer<T>> => {
    const { peer } = connections.to(record.address)
    const answer = await callPeer({ peer, sender: SENDER, options: { timeoutMs: RESPONSE_TIMEOUT_MS } }).catch(() => undefined)
    return { record, answer }
  }))
  connections.close()
  return answers
}

/**
 * Lists the processes that did not respond.
 *
 * @param answers - responses from {@link callProcesses}
 * @returns ids of the instances without a response
 */
export function silentInstances (answers: ReadonlyArray<PeerAnswer<unknown>>): readonly string[] {
  return answers.filter((one) => one.answer === undefined).map((one) => one.record.instanceId)
}
