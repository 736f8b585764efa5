/**
 * Implements the commands `drain` and `timeline`, which call running processes.
 *
 * @module
 */
import { formatTimeline, mergeTimelines } from 'bendfall-node'
import type { InstanceListPort } from 'bendfall-platform'
import type { CommandResult } from './BendfallctlExit.js'
import { callProcesses, listInstances, silentInstances } from './BendfallctlPeers.js'

/**
 * Requests the graceful stop of one process. To keep an instance out of service
 * permanently, list it in the intent's `withdrawn` instead.
 *
 * @param instances - service that provides the address of the instance
 * @param instanceId - id of the instance to stop
 * @returns exit `findings` if the instance is not listed, `outage` if it does not respond
 */
export async function runDrain (instances: InstanceListPort, instanceId: string): Promise<CommandResult> {
  const listed = await listInstances(instances)
  if (listed.isErr()) return listed.error
  const records = listed.value.filter((record) => record.instanceId === instanceId)
  if (records.length === 0) {
    return { exit: 'findings', text: `${instanceId} is not in the instance list`, json: { type: 'unknown_instance', instanceId } }
  }
  const [{ answer }] = await callProcesses(records, ({ peer, sender, options }) => peer.drain({ sender }, options))
  if (answer === undefined) return { exit: 'outage', text: `${instanceId} gave no answer`, json: { type: 'silent', instanceId } }
  return { exit: 'done', text: `${instanceId} drains and stops when its work has ended`, json: { type: 'draining', instanceId } }
}

/**
 * Merges the timelines of all processes in causal order.
 *
 * @param instances - service that provides the addresses of the processes
 * @param subject - request id or `config/VERSION`; empty for all events
 * @returns the events, and the processes that did not respond
 */
export async function runTimeline (instances: InstanceListPort, subject: string): Promise<CommandResult> {
  const listed = await listInstances(instances)
  if (listed.isErr()) return listed.error
  const answers = await callProcesses(listed.value, ({ peer, sender, options }) => peer.timeline({ sender, subject }, options))
  const found = mergeTimelines(answers.flatMap(({ answer }) => answer?.events ?? []))
  const events = found.map(({ $typeName, $unknown, ...event }) => event)
  const silent = silentInstances(answers)
  const missing = silent.length === 0 ? '' : `\nno answer: ${silent.join(' ')}`
  return { exit: 'done', text: `${formatTimeline(events)}${missing}`, json: { events, silent } }
}
