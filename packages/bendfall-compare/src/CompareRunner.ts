/**
 * Plays cells on the users' bench, a few at a time.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Cell, Outcome } from './CompareCell.js'

/** How cells are played. */
export interface RunnerOptions {
  /** Path of the bench's program. */
  readonly bench: string
  /** Paths of site files, by name. */
  readonly sites: ReadonlyMap<string, string>
  /** Folders of checkouts, by variant. */
  readonly folders: ReadonlyMap<string, string>
  /** Cells played at once. */
  readonly jobs: number
  /** Whether processor time is charged; pairs differ less without it. */
  readonly chargesProcessor: boolean
  /** Reason for the bench's journal. */
  readonly why: string
}

/** What the bench reports of a day, as far as it is used here. */
interface DayReport {
  readonly G: number
  readonly served: number
  readonly breaks?: Readonly<Record<string, unknown>>
}

/**
 * Plays cells.
 *
 * @param cells - in the order in which they are begun
 * @param options - bench, sites and builds
 * @param onOutcome - told of each outcome
 * @param onFailure - told of each cell that gave none
 */
export async function playCells (cells: readonly Cell[], options: RunnerOptions, onOutcome: (outcome: Outcome) => Promise<void>, onFailure: (cell: Cell, detail: string) => void): Promise<void> {
  const left = [...cells]
  const work = async (): Promise<void> => {
    for (let cell = left.shift(); cell !== undefined; cell = left.shift()) {
      try {
        await onOutcome(await playCell(cell, options))
      } catch (error) {
        onFailure(cell, error instanceof Error ? error.message : String(error))
      }
    }
  }
  await Promise.all(Array.from({ length: options.jobs }, work))
}

async function playCell (cell: Cell, options: RunnerOptions): Promise<Outcome> {
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
  const seed = cell.seed === undefined ? [] : ['--seed', String(cell.seed)]
  const processor = options.chargesProcessor ? [] : ['--no-cpu']
  const args = ['run', site, cell.day, ...seed, ...processor, '--why', `${options.why} (${cell.variant})`, '--report', reportPath]
  return new Promise((resolve, reject) => {
    const child = spawn(options.bench, args, { cwd: options.folders.get(cell.variant), stdio: ['ignore', 'ignore', 'pipe'] })
    let errors = ''
    child.stderr.on('data', (chunk: Buffer) => { errors += chunk.toString() })
    child.on('error', reject)
    child.on('close', (code) => {
      // A day with a broken rule ends with a code of its own and still has its report.
      if (code === 0 || code === 1) resolve()
      else reject(new Error(`the bench ended with ${code ?? 'a signal'}: ${errors.trim().slice(-200)}`))
    })
  })
}
