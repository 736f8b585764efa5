/**
 * Stores results as JSON lines, so that an interrupted comparison can be resumed.
 *
 * @module
 */
import { appendFile, readFile } from 'node:fs/promises'
import { cellKey } from './CompareCell.js'
import type { Outcome } from './CompareCell.js'

/** Results of previous calls and of the current one. */
export interface ResultsFile {
  /** Outcomes by the key of their cell. */
  readonly outcomes: ReadonlyMap<string, Outcome>
  /** Numbers of the lines that could not be parsed; an interrupted write leaves a truncated last line. */
  readonly unreadLines: readonly number[]
  /** Adds an outcome and appends it to the file. */
  readonly add: (outcome: Outcome) => Promise<void>
}

/**
 * Opens a file of results.
 *
 * @param path - path of the file, which need not exist
 * @returns the results in the file, and the means to add others
 * @throws Error if the file exists and can't be read
 */
export async function openResults (path: string): Promise<ResultsFile> {
  const outcomes = new Map<string, Outcome>()
  const unreadLines: number[] = []
  const lines = (await readText(path)).split('\n')
  for (const [index, line] of lines.entries()) {
    if (line.trim() === '') continue
    const outcome = parseOutcome(line)
    if (outcome === undefined) unreadLines.push(index + 1)
    else outcomes.set(cellKey(outcome), outcome)
  }
  return {
    outcomes,
    unreadLines,
    add: async (outcome) => {
      outcomes.set(cellKey(outcome), outcome)
      // The leading line feed starts a new line even if the last one is truncated.
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
    const isComplete = typeof value.variant === 'string' && typeof value.site === 'string' && typeof value.day === 'string' && typeof value.worth === 'number'
    return isComplete ? value as Outcome : undefined
  } catch {
    // The caller reports the line by its number.
    return undefined
  }
}
