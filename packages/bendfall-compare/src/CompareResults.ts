/**
 * Results kept as JSON lines, so that a comparison goes on after a stop.
 *
 * @module
 */
import { appendFile, readFile } from 'node:fs/promises'
import { nameOfCell } from './CompareCell.js'
import type { Outcome } from './CompareCell.js'

/** Results of earlier and present runs. */
export interface ResultsFile {
  /** Outcomes by the name of their cell. */
  readonly outcomes: ReadonlyMap<string, Outcome>
  /** Lines that could not be read, by number; the last one is cut where a run was stopped. */
  readonly unreadLines: readonly number[]
  /** Keeps an outcome. */
  readonly add: (outcome: Outcome) => Promise<void>
}

/**
 * Opens a file of results; it need not exist.
 *
 * @param path - of the file
 * @returns the results
 * @throws Error when the file is there and can't be read
 */
export async function openResults (path: string): Promise<ResultsFile> {
  const outcomes = new Map<string, Outcome>()
  const unreadLines: number[] = []
  const lines = (await readText(path)).split('\n')
  for (const [index, line] of lines.entries()) {
    if (line.trim() === '') continue
    const outcome = parseOutcome(line)
    if (outcome === undefined) unreadLines.push(index + 1)
    else outcomes.set(nameOfCell(outcome), outcome)
  }
  return {
    outcomes,
    unreadLines,
    add: async (outcome) => {
      outcomes.set(nameOfCell(outcome), outcome)
      // A line of its own even behind one that was cut.
      await appendFile(path, `\n${JSON.stringify(outcome)}`)
    }
  }
}

async function readText (path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8')
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return ''
    throw error
  }
}

function parseOutcome (line: string): Outcome | undefined {
  try {
    const value = JSON.parse(line) as Partial<Outcome>
    const isWhole = typeof value.variant === 'string' && typeof value.site === 'string' && typeof value.day === 'string' && typeof value.worth === 'number'
    return isWhole ? value as Outcome : undefined
  } catch {
    // Reported with its number by the caller.
    return undefined
  }
}
