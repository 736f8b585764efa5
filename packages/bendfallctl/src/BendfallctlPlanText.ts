/**
 * Formats plans for a terminal.
 *
 * @module
 */
import type { IntentFinding, Plan } from 'bendfall-core'
import { isConfirmable } from 'bendfall-core'
import { formatBytes, formatTable } from './BendfallctlTable.js'

/**
 * Formats a plan.
 *
 * @param plan - any plan, including one without changes
 * @returns the non-empty sections, then the command that confirms the plan or why it can't be confirmed
 */
export function formatPlan (plan: Plan): string {
  const sections = [
    formatHeadline(plan),
    section('Findings', formatFindings(plan.findings)),
    section('Moves', formatTable(['instance', 'zone', 'from', 'to'], plan.moves.map((move) => [move.instanceId, move.availabilityZone, move.fromPool, move.toPool]))),
    section('Withdrawn', plan.withdrawn.join('\n')),
    section('Drains before the change', formatTable(['instance', 'reason'], plan.drains.map((drain) => [drain.instanceId, drain.reason]))),
    section('Orders', formatOrders(plan)),
    section('Weight store', formatWeightStore(plan)),
    formatEnd(plan)
  ]
  return sections.filter((text) => text !== '').join('\n\n')
}

/**
 * Formats the findings of a plan.
 *
 * @param findings - findings in the order of the rows
 * @returns a table; empty text without findings
 */
export function formatFindings (findings: readonly IntentFinding[]): string {
  return formatTable(
    ['severity', 'kind', 'place', 'expected', 'found'],
    findings.map((one) => [one.severity, one.kind, one.pointer, one.expected, one.found])
  )
}

function formatHeadline (plan: Plan): string {
  const base = plan.baseVersion === 0 ? 'no configuration yet' : `version ${plan.baseVersion}, revision ${plan.baseRevision}`
  return `Plan from ${base} to version ${plan.next.version}`
}

function formatOrders (plan: Plan): string {
  const rows = plan.orders.map((order) => [
    order.instanceId, order.availabilityZone, order.pool, order.role,
    `${order.model}@${order.modelVersion}`, order.adapters.join(',') || '-', formatBytes(order.loadBytes)
  ])
  return formatTable(['instance', 'zone', 'pool', 'role', 'model', 'adapters', 'to load'], rows)
}

function formatWeightStore (plan: Plan): string {
  const { loadBytes, estimatedSeconds, waves } = plan.weightStore
  if (loadBytes === 0) return ''
  const total = `${formatBytes(loadBytes)} in ${waves.length} waves, ${formatSeconds(estimatedSeconds)}`
  const rows = waves.map((wave, index) => [String(index + 1), formatSeconds(wave.startsInSeconds), formatBytes(wave.loadBytes), wave.instanceIds.join(' ')])
  return `${total}\n${formatTable(['wave', 'starts in', 'bytes', 'instances'], rows)}`
}

function formatSeconds (seconds: number | undefined): string {
  return seconds === undefined ? 'rate not known' : `${Number(seconds.toFixed(1))} s`
}

function formatEnd (plan: Plan): string {
  if (!plan.isChange) return 'The intent is in force: nothing to confirm.'
  if (!isConfirmable(plan)) return 'The plan cannot be confirmed: fix the findings that block it.'
  return `Confirm with: bendfallctl confirm --digest ${plan.digest}`
}

function section (title: string, body: string): string {
  return body === '' ? '' : `${title}\n${body.replaceAll(/^/gm, '  ')}`
}
