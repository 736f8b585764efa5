/**
 * The command `npm run bench`: prints the table of policies by load by fault,
 * the two situations beside it, and the cost of a decision.
 *
 * @module
 */
import { parseArgs } from 'node:util'
import { COST_REPLICAS, measureCost } from './BendfallBenchCost.js'
import { DEPLOYMENTS } from './BendfallBenchDeployment.js'
import type { DeploymentName } from './BendfallBenchDeployment.js'
import type { FaultName } from './BendfallBenchFaults.js'
import { POLICIES, TABLE_POLICIES } from './BendfallBenchPolicies.js'
import { runCells } from './BendfallBenchPool.js'
import { runCell } from './BendfallBenchRun.js'
import type { Cell } from './BendfallBenchRun.js'
import { createBurstCells, createStormCells, formatBurst, formatStorm } from './BendfallBenchScenarios.js'
import type { ScenarioParts } from './BendfallBenchScenarios.js'
import { formatRows, formatTable } from './BendfallBenchTable.js'
import { formatTraces } from './BendfallBenchTrace.js'

const OPTIONS = {
  quick: { type: 'boolean', default: false },
  deployment: { type: 'string', default: Object.keys(DEPLOYMENTS).join() },
  policy: { type: 'string', default: TABLE_POLICIES.join() },
  load: { type: 'string', default: '0.5,0.8,1.0,1.3,2.0' },
  fault: { type: 'string', default: 'none,decode_dies,transfer_stalls,stale_loads,key_value_outage' },
  seeds: { type: 'string', default: '1,2,3' },
  part: { type: 'string', default: 'table,variants,burst,storm,cost' },
  json: { type: 'boolean', default: false },
  'no-timing': { type: 'boolean', default: false },
  threads: { type: 'string', default: '4' },
  trace: { type: 'string', default: '0' }
} as const

/** The naive twin looks at neither loads nor key homes: its lines would be those without faults. */
const NAIVE = TABLE_POLICIES[0]
const UNSEEN_BY_NAIVE: ReadonlySet<FaultName> = new Set(['stale_loads', 'key_value_outage'])

/** Settings of a command. */
interface Settings extends ScenarioParts {
  readonly loads: readonly number[]
  readonly faults: readonly FaultName[]
  readonly threads: number
  readonly isTimed: boolean
  readonly isJson: boolean
}

const MEASURED_MS = 75_000
/** Time for the pools to be down and to recover. */
const STORM_MEASURED_MS = 120_000
const QUICK = { load: '1.0', fault: 'none,decode_dies', seeds: '1', part: 'table' }
/** Where the other policies are compared: at capacity. */
const VARIANTS = { loads: [1], faults: ['none'] } as const
const QUICK_MEASURED_MS = 30_000

const PARTS: Readonly<Record<string, (settings: Settings) => Promise<unknown>>> = {
  table: async (settings) => {
    const results = await runCells(createTableCells(settings), settings.threads)
    print(settings, 'Policy by load by fault', results, formatTable(results, settings.isTimed))
  },
  variants: async (settings) => {
    const policies = Object.keys(POLICIES).filter((policy) => policy !== NAIVE)
    const results = await runCells(createTableCells({ ...settings, ...VARIANTS, policies }), settings.threads)
    print(settings, 'Earlier and other decisions', results, formatTable(results, settings.isTimed))
  },
  burst: async (settings) => {
    const results = await runCells(createBurstCells(settings), settings.threads)
    print(settings, 'One client bursts', results, formatBurst(results))
  },
  storm: async (settings) => {
    const results = await runCells(createStormCells({ ...settings, measuredMs: STORM_MEASURED_MS }), settings.threads)
    print(settings, 'Retry storm: all decode replicas down for 30 s, every refused caller returns', results, formatStorm(results))
  },
  cost: async (settings) => {
    if (!settings.isTimed) return
    const costs = settings.policies.flatMap((policy) => COST_REPLICAS.map((replicas) => ({ policy, ...measureCost(POLICIES[policy], replicas) })))
    const rows = costs.map(({ policy, replicas, decision }) => [policy, `${replicas}`, decision.p50Us.toFixed(1), decision.p99Us.toFixed(1)])
    print(settings, 'Time for a decision by replicas in state', costs, formatRows(['policy', 'replicas', 'p50 us', 'p99 us'], rows))
  }
}

function print ({ isJson }: Settings, title: string, results: unknown, table: string): void {
  console.log(isJson ? JSON.stringify({ title, results }) : `## ${title}\n\n${table}\n`)
}

function createTableCells ({ deployments, policies, loads, faults, seeds, measuredMs }: Settings): Cell[] {
  return deployments.flatMap((deployment) =>
    policies.flatMap((policy) =>
      faults.flatMap((fault) =>
        loads.flatMap((load) =>
          seeds.map((seed) => ({ deployment, policy, load, fault, seed, measuredMs }))))))
    .filter(({ policy, fault }) => policy !== NAIVE || !UNSEEN_BY_NAIVE.has(fault))
}

async function main (): Promise<void> {
  const { values } = parseArgs({ options: OPTIONS })
  const chosen = values.quick ? { ...values, ...QUICK } : values
  const settings: Settings = {
    deployments: values.deployment.split(',') as DeploymentName[],
    policies: values.policy.split(','),
    loads: chosen.load.split(',').map(Number),
    faults: chosen.fault.split(',') as FaultName[],
    seeds: chosen.seeds.split(',').map(Number),
    measuredMs: values.quick ? QUICK_MEASURED_MS : MEASURED_MS,
    threads: Number(values.threads),
    isTimed: !values['no-timing'],
    isJson: values.json
  }
  const traces = Number(values.trace)
  if (traces > 0) return printTraces(settings, traces)
  for (const part of chosen.part.split(',')) await PARTS[part](settings)
}

function printTraces (settings: Settings, limit: number): void {
  for (const cell of createTableCells(settings)) console.log(formatTraces(runCell(cell, true), limit))
}

await main()
