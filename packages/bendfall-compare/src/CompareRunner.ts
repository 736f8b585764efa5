/**
 * Runs cells on the users' bench as child processes, with limited concurrency.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Cell, Outcome } from './CompareCell.js'

/** Options that all runs share. */
export interface RunnerOptions {
  /** Path of the bench's executable. */
  readonly bench: string
  /** Paths of site files, by name. */
  readonly sites: ReadonlyMap<string, string>
  /** Folders of checkouts, by variant. */
  readonly folders: ReadonlyMap<string, string>
  /** Maximum number of concurrent runs. */
  readonly jobs: number
  /** Whether the bench charges for processor time; without it the differences of pairs vary less. */
  readonly chargesProcessor: boolean
  /** Reason to record in the bench's journal. */
  readonly why: string
}

/** Fields of the bench's report that are used here. */
interface DayReport {
  readonly G: number
  readonly served: number
  readonly breaks?: Readonly<Record<string, unknown>>
}

/**
 * Runs cells.
 *
 * @param cells - cells in the order in which they are started
 * @param options - paths of bench, sites and builds, and the concurrency
 * @param onOutcome - called with the outcome of each successful run
 * @param onFailure - called with the cell of each failed run and the reason
 */
export async function runCells (cells: readonly Cell[], options: RunnerOptions, onOutcome: (outcome: Outcome) => Promise<void>, onFailure: (cell: Cell, detail: string) => void): Promise<void> {
  const queue = [...cells]
  const worker = async (): Promise<void> => {
    for (let cell = queue.shift(); cell !== undefined; cell = queue.shift()) {
      try {
        await onOutcome(await runCell(cell, options))
      } catch (error) {
        onFailure(cell, error instanceof Error ? error.message : String(error))
      }
    }
  }
  await Promise.all(Array.from({ length: options.jobs }, worker))
}

async function runCell (cell: Cell, options: RunnerOptions): Promise<Outcome> {
  const folder = await mkdtemp(join(tmpdir(), 'bendfall-compare-'))
  try {
    const reportPath = join(folder, 'report.json')
    await runBench(cell, reportPath, options)
    const report = JSON.parse(await readFile(reportPath, 'utf8')) as DayReport
    return { ...cell, worth: report.G, servedShare: report.served, brokenRules: Object.keys(report.breaks ?? {}) }
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

function runBench (cell: Cell, reportPath: string, options: RunnerOptions): Promise<void> {
  const site = options.sites.get(cell.site) ?? ''
  const seedArgs = cell.seed === undefined ? [] : ['--seed', String(cell.seed)]
  const processorArgs = options.chargesProcessor ? [] : ['--no-cpu']
  const args = ['run', site, cell.day, ...seedArgs, ...processorArgs, '--why', `${options.why} (${cell.variant})`, '--report', reportPath]
  return new Promise((resolve, reject) => {
    const child = spawn(options.bench, args, { cwd: options.folders.get(cell.variant), stdio: ['ignore', 'ignore', 'pipe'] })
    let errors = ''
    child.stderr.on('data', (chunk: Buffer) => { errors += chunk.toString() })
    child.on('error', reject)
    child.on('close', (code) => {
      // The bench exits with 1 if a rule was violated; the report is still written.
      if (code === 0 || code === 1) resolve()
      else reject(new Error(`the bench exited with ${code ?? 'a signal'}: ${errors.trim().slice(-200)}`))
    })
  })
}
