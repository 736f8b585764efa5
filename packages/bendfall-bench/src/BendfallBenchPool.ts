/**
 * Runs cells on a few worker threads. Results come back in the order of the
 * cells, whichever thread ran them.
 *
 * @module
 */
import { Worker, isMainThread, parentPort } from 'node:worker_threads'
import { runCell } from './BendfallBenchRun.js'
import type { Cell, CellResult } from './BendfallBenchRun.js'

interface Task {
  readonly index: number
  readonly cell: Cell
}

interface Done {
  readonly index: number
  readonly result: CellResult
}

/**
 * Runs cells.
 *
 * @param cells - what to run
 * @param threads - worker threads to use
 * @returns the results, in the order of the cells
 */
export async function runCells (cells: readonly Cell[], threads: number): Promise<CellResult[]> {
  const results: CellResult[] = []
  const tasks = cells.map((cell, index) => ({ index, cell }))
  await Promise.all(Array.from({ length: Math.min(threads, cells.length) }, () => runThread(tasks, results)))
  return results
}

function runThread (tasks: Task[], results: CellResult[]): Promise<void> {
  const worker = new Worker(new URL(import.meta.url))
  return new Promise((resolve, reject) => {
    const next = () => {
      const task = tasks.shift()
      if (task !== undefined) return worker.postMessage(task)
      worker.terminate().then(() => resolve(), reject)
    }
    worker.on('error', reject)
    worker.on('message', ({ index, result }: Done) => {
      results[index] = result
      next()
    })
    next()
  })
}

function serve (): void {
  parentPort?.on('message', ({ index, cell }: Task) => {
    const done: Done = { index, result: runCell(cell) }
    parentPort?.postMessage(done)
  })
}

if (!isMainThread) serve()
