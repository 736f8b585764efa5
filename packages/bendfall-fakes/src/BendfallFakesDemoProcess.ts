/**
 * Child processes of the demo, the benches, the process tests and the soak.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const PARENT_WATCH_MODULE = import.meta.resolve('./BendfallFakesParentWatch.js')
const STALL_WATCH_MODULE = import.meta.resolve('./BendfallFakesStallWatch.js')
/** Until a process listens; a dozen start at once, also on a busy machine. */
const START_TIMEOUT_MS = 40_000
const STOP_TIMEOUT_MS = 10_000

/** Signals that tests and soak send. */
export type ProcessSignal = 'SIGCONT' | 'SIGKILL' | 'SIGSTOP' | 'SIGTERM'

/** How a process is started. */
export interface ProcessOptions {
  readonly env?: Readonly<Record<string, string>>
  readonly readyEvent?: string
}

/** A process that listens. */
export interface ListeningProcess {
  readonly name: string
  readonly pid: number
  /** Pairs of its line `event=listening`. */
  readonly listening: Readonly<Record<string, string>>
  /** Lines it wrote so far. */
  readonly lines: readonly string[]
  /** Resolves when the process ended: to its exit code, null after a signal. */
  readonly exited: Promise<number | null>
  readonly isRunning: () => boolean
  /** Sends a signal to this one process. */
  readonly signal: (signal: ProcessSignal) => void
  /**
   * Asks for a graceful shutdown and waits for it.
   *
   * @throws Error unless the process ends with exit code 0 in time
   */
  readonly stop: () => Promise<void>
}

/**
 * Starts a compiled module as a process.
 *
 * @param name - name of the process, for messages
 * @param modulePath - path of the compiled module
 * @param args - arguments of the module
 * @param options - variables beside those of this process, and the event that tells that it listens
 * @returns the process once it wrote that line
 * @throws Error when it ends or stays silent instead
 */
export async function startProcess (name: string, modulePath: string, args: readonly string[], options: ProcessOptions = {}): Promise<ListeningProcess> {
  const { env = {}, readyEvent = 'listening' } = options
  const child = spawn(process.execPath, ['--enable-source-maps', '--import', PARENT_WATCH_MODULE, '--import', STALL_WATCH_MODULE, modulePath, ...args], { stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, ...env } })
  const lines: string[] = []
  const exited = once(child, 'close').then(([code]) => code as number | null)
  createInterface({ input: child.stderr }).on('line', (line) => lines.push(line))
  const listening = new Promise<Record<string, string>>((resolve) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line)
      const pairs = readPairs(line)
      if (pairs.event === readyEvent) resolve(pairs)
    })
  })
  try {
    const pairs = await Promise.race([listening, exited.then(() => undefined), after(START_TIMEOUT_MS)])
    if (pairs === undefined) throw new Error(`${name} did not start:\n${lines.join('\n')}`)
    return {
      name,
      pid: child.pid as number,
      listening: pairs,
      lines,
      exited,
      isRunning: () => child.exitCode === null && child.signalCode === null,
      signal: (signal) => { child.kill(signal) },
      stop: () => stopProcess(name, child, exited, lines)
    }
  } catch (error) {
    child.kill('SIGKILL')
    throw error
  }
}

async function stopProcess (name: string, child: ChildProcess, exited: Promise<unknown>, lines: readonly string[]): Promise<void> {
  child.kill('SIGTERM')
  const inTime = await Promise.race([exited.then(() => true), after(STOP_TIMEOUT_MS)])
  if (inTime !== true) {
    child.kill('SIGKILL')
    throw new Error(`${name} did not stop in ${STOP_TIMEOUT_MS} ms:\n${lines.join('\n')}`)
  }
  if (child.exitCode !== 0) throw new Error(`${name} ended with ${child.exitCode ?? child.signalCode}:\n${lines.join('\n')}`)
}

function after (waitMs: number): Promise<undefined> {
  return new Promise((resolve) => { setTimeout(() => resolve(undefined), waitMs).unref() })
}

/**
 * Reads a line of key=value pairs.
 *
 * @param line - the line; values may be quoted
 * @returns the pairs
 */
export function readPairs (line: string): Record<string, string> {
  const pairs = line.matchAll(/([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g)
  return Object.fromEntries([...pairs].map(([, key, value]) => [key, value.startsWith('"') ? JSON.parse(value) : value]))
}
