#!/usr/bin/env node
/**
 * Command line of the comparison: runs all cells without a stored result and prints
 * the table of paired differences.
 *
 * @module
 */
import { mkdir } from 'node:fs/promises'
import { basename, dirname, resolve } from 'node:path'
import { defineCommand, runMain } from 'citty'
import { cellKey } from './CompareCell.js'
import type { Cell } from './CompareCell.js'
import { openResults } from './CompareResults.js'
import { runCells } from './CompareRunner.js'
import { compareWithBase, toMarkdown } from './CompareTable.js'
import { createVariant, parseSwitches } from './CompareVariant.js'
import type { Switch, Variant } from './CompareVariant.js'

/** Default number of concurrent runs: half of eight processors. */
const DEFAULT_JOBS = '4'

const MS_PER_MINUTE = 60_000

/** Exit code if the input is invalid; the reason has been printed. */
const EXIT_INVALID_INPUT = 2

/** Exit code if some runs failed. */
const EXIT_PARTIAL = 1

const BASE = 'base'

const compareCommand = defineCommand({
  meta: { name: 'compare', description: 'Runs builds or switched mechanisms in pairs and prints what the base gains' },
  args: {
    bench: { type: 'string', required: true, description: "Path of the bench's executable" },
    base: { type: 'string', required: true, description: 'Folder of the checkout that the others are compared with' },
    others: { type: 'string', default: '', description: 'Folders of other checkouts, separated by commas' },
    switches: { type: 'string', default: '', description: 'Mechanisms to switch in the base, NAME=CHOICE separated by commas, or all' },
    sites: { type: 'string', required: true, description: 'Paths of site files, separated by commas' },
    days: { type: 'string', required: true, description: 'Names of days, separated by commas' },
    seeds: { type: 'string', default: 'own', description: 'Seeds separated by commas; own: the default seed of the day' },
    jobs: { type: 'string', default: DEFAULT_JOBS, description: 'Number of concurrent runs' },
    results: { type: 'string', required: true, description: 'File to store results in; a later call resumes from it' },
    why: { type: 'string', default: 'paired comparison', description: "Reason to record in the bench's journal" },
    processor: { type: 'boolean', default: false, description: 'Charge processor time' }
  },
  run: async ({ args }) => {
    const switches = parseSwitches(args.switches)
    const seeds = parseSeeds(args.seeds)
    const jobs = Number(args.jobs)
    const finding = switches.isErr() ? switches.error : seeds === undefined ? `--seeds ${args.seeds}: expected whole numbers or own` : !(jobs >= 1) ? `--jobs ${args.jobs}: expected a number of at least 1` : undefined
    if (finding !== undefined || switches.isErr() || seeds === undefined) {
      console.error(`compare: ${finding ?? ''}`)
      process.exitCode = EXIT_INVALID_INPUT
      return
    }
    const variants = await createVariants(resolve(args.base), splitList(args.others), switches.value)
    const sites = new Map(splitList(args.sites).map((path) => [basename(path, '.toml'), resolve(path)]))
    await mkdir(dirname(resolve(args.results)), { recursive: true })
    const results = await openResults(args.results)
    for (const line of results.unreadLines) console.error(`${args.results}:${line}: not a valid result, ignored`)
    const cells = planCells(variants, [...sites.keys()], splitList(args.days), seeds)
    const pendingCells = cells.filter((cell) => !results.outcomes.has(cellKey(cell)))
    const failures = await runWithProgress(pendingCells, { bench: resolve(args.bench), sites, folders: new Map(variants.map(({ folder, name }) => [name, folder])), jobs, chargesProcessor: args.processor, why: args.why }, results.add)
    console.log(toMarkdown(compareWithBase(cells.flatMap((cell) => results.outcomes.get(cellKey(cell)) ?? []), BASE)))
    if (failures > 0) process.exitCode = EXIT_PARTIAL
  }
})

async function runWithProgress (cells: readonly Cell[], options: Parameters<typeof runCells>[1], add: (outcome: Parameters<Parameters<typeof runCells>[2]>[0]) => Promise<void>): Promise<number> {
  const startedAtMs = Date.now()
  let completed = 0
  let failures = 0
  await runCells(cells, options, async (outcome) => {
    await add(outcome)
    completed += 1
    const leftMinutes = (Date.now() - startedAtMs) / completed * (cells.length - completed) / MS_PER_MINUTE
    console.error(`${completed} of ${cells.length}, about ${leftMinutes.toFixed(1)} min left: ${cellKey(outcome)} ${outcome.worth.toFixed(3)} ${outcome.brokenRules.join(' ')}`)
  }, (cell, detail) => {
    failures += 1
    console.error(`no outcome: ${cellKey(cell)}: ${detail}`)
  })
  return failures
}

async function createVariants (baseFolder: string, others: readonly string[], switches: readonly Switch[]): Promise<Variant[]> {
  const base = { name: BASE, folder: baseFolder }
  const variants: Variant[] = [base, ...others.map((folder) => ({ name: basename(folder), folder: resolve(folder) }))]
  for (const change of switches) variants.push(await createVariant(base, change))
  return variants
}

// The seed varies slowest, so that an interrupted comparison has complete rounds of all variants.
function planCells (variants: readonly Variant[], sites: readonly string[], days: readonly string[], seeds: ReadonlyArray<number | undefined>): Cell[] {
  return seeds.flatMap((seed) => sites.flatMap((site) => days.flatMap((day) => variants.map(({ name }) => ({ variant: name, site, day, seed })))))
}

function splitList (list: string): string[] {
  return list.split(',').filter((part) => part !== '')
}

function parseSeeds (text: string): Array<number | undefined> | undefined {
  const seeds = splitList(text).map((part) => part === 'own' ? undefined : Number(part))
  return seeds.every((seed) => seed === undefined || Number.isInteger(seed)) ? seeds : undefined
}

await runMain(compareCommand)
