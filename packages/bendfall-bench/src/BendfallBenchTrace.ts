/**
 * What happened to requests that were not served within their targets.
 *
 * @module
 */
import { DEPLOYMENTS } from './BendfallBenchDeployment.js'
import { missOf } from './BendfallBenchSummary.js'
import type { CellResult } from './BendfallBenchRun.js'
import type { RequestRecord } from './BendfallBenchTally.js'

/**
 * Prints traces of missed requests, a few of each cause.
 *
 * @param result - result of a run with traces
 * @param limit - number of traces of each cause
 * @returns the traces
 */
export function formatTraces (result: CellResult, limit: number): string {
  const deployment = DEPLOYMENTS[result.cell.deployment]
  const byCause = new Map<string, RequestRecord[]>()
  for (const record of result.tally?.records.values() ?? []) {
    const cause = missOf(record, deployment)
    if (cause === undefined || record.trace.length === 0) continue
    byCause.set(cause, [...byCause.get(cause) ?? [], record])
  }
  return [...byCause].map(([cause, records]) => formatCause(cause, records, limit)).join('\n')
}

function formatCause (cause: string, records: readonly RequestRecord[], limit: number): string {
  // From the middle of the run: the pools are full by then.
  const start = Math.max(0, (records.length - limit) >> 1)
  const shown = records.slice(start, start + limit).map(formatRecord)
  return [`== ${cause}: ${records.length}`, ...shown].join('\n')
}

function formatRecord ({ arrival, trace }: RequestRecord): string {
  const { requestId, clientId, trafficClass } = arrival.request
  const size = arrival.kind === 'language' ? `${arrival.request.promptTokens}+${arrival.request.maxOutputTokens} tokens` : 'call'
  return [`-- ${requestId} ${clientId} ${trafficClass} ${size} at ${arrival.atMs.toFixed(1)}`, ...trace].join('\n')
}
