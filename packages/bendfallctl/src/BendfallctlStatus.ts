/**
 * Implements the command `status`, which reports configuration version, state
 * and load of each process.
 *
 * @module
 */
import type { InstanceListPort, KeyValuePort } from 'bendfall-platform'
import type { StatusResponse } from 'bendfall-protocol'
import type { CommandResult } from './BendfallctlExit.js'
import type { PeerAnswer } from './BendfallctlPeers.js'
import { callProcesses, listInstances, silentInstances } from './BendfallctlPeers.js'
import { readStoredConfig } from './BendfallctlPlan.js'
import { formatBytes, formatTable } from './BendfallctlTable.js'

const MS_PER_SECOND = 1_000

/** Status of one process. */
export interface ProcessStatus {
  readonly instanceId: string
  readonly availabilityZone: string
  readonly role: string
  readonly pool: string
  readonly state: string
  readonly configVersion: number
  readonly activeRequests: number
  readonly heldKvBytes: number
  readonly uptimeMs: number
  /** Progress in applying the configuration in force. */
  readonly reconcile: Readonly<Record<string, unknown>>
}

/** Status of all listed processes. */
export interface StatusReport {
  /** Configuration version in the key-value service; absent if it could not be read. */
  readonly storedVersion?: number
  /** Number of processes at each configuration version, highest version first. */
  readonly versions: ReadonlyArray<{ readonly version: number, readonly processes: number }>
  readonly processes: readonly ProcessStatus[]
  /** Ids of listed processes that did not respond. */
  readonly silent: readonly string[]
}

/**
 * Runs the command `status`.
 *
 * @param instances - service that provides the addresses of the processes
 * @param keyValue - service that stores the configuration, if its address is known
 * @returns a {@link StatusReport} as table and JSON
 */
export async function runStatus (instances: InstanceListPort, keyValue: KeyValuePort | undefined): Promise<CommandResult> {
  const listed = await listInstances(instances)
  if (listed.isErr()) return listed.error
  const [answers, storedVersion] = await Promise.all([
    callProcesses(listed.value, ({ peer, sender, options }) => peer.status({ sender }, options)),
    readStoredVersion(keyValue)
  ])
  const processes = answers.flatMap(toProcessStatus)
  const report: StatusReport = { storedVersion, versions: countVersions(processes), processes, silent: silentInstances(answers) }
  return { exit: 'done', text: formatStatus(report), json: report }
}

async function readStoredVersion (keyValue: KeyValuePort | undefined): Promise<number | undefined> {
  const stored = keyValue === undefined ? undefined : await readStoredConfig(keyValue)
  return stored?.isOk() === true ? stored.unwrap().config?.version ?? 0 : undefined
}

function toProcessStatus ({ record, answer }: PeerAnswer<StatusResponse>): readonly ProcessStatus[] {
  if (answer === undefined) return []
  const { role, availabilityZone, pool, state, activeRequests, heldKvBytes, uptimeMs } = answer
  const configVersion = answer.sender?.configVersion ?? 0
  const reconcile = parseReconcile(answer.reconcileJson)
  return [{ instanceId: record.instanceId, availabilityZone, role, pool, state, configVersion, activeRequests, heldKvBytes, uptimeMs, reconcile }]
}

function parseReconcile (json: string): Readonly<Record<string, unknown>> {
  return json === '' ? {} : JSON.parse(json) as Record<string, unknown>
}

function countVersions (processes: readonly ProcessStatus[]): StatusReport['versions'] {
  const counts = new Map<number, number>()
  for (const { configVersion } of processes) counts.set(configVersion, (counts.get(configVersion) ?? 0) + 1)
  return [...counts].map(([version, count]) => ({ version, processes: count })).sort((a, b) => b.version - a.version)
}

function formatStatus (report: StatusReport): string {
  const { processes, silent, storedVersion, versions } = report
  const rows = processes.map((one) => [
    one.instanceId, one.availabilityZone, one.role, one.pool || '-', one.state, String(one.configVersion),
    formatReconcile(one.reconcile), String(one.activeRequests), formatBytes(one.heldKvBytes), `${Math.round(one.uptimeMs / MS_PER_SECOND)} s`
  ])
  const lines = [
    formatTable(['instance', 'zone', 'role', 'pool', 'state', 'version', 'progress', 'active', 'held', 'up'], rows),
    '',
    `stored version: ${storedVersion ?? 'not known'}`,
    ...versions.map(({ version, processes: count }) => `at version ${version}: ${count} of ${processes.length}`),
    ...silent.length === 0 ? [] : [`no answer: ${silent.join(' ')}`]
  ]
  return lines.join('\n').trimStart()
}

function formatReconcile ({ failure, failures, liveUpstreams, phase }: Readonly<Record<string, unknown>>): string {
  if (liveUpstreams !== undefined) return `${liveUpstreams} live upstreams`
  if (phase === undefined) return '-'
  return failure === undefined || failure === '' ? String(phase) : `${phase}, failed ${failures} times: ${failure}`
}
