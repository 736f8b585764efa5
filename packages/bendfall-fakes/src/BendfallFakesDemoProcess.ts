/**
 * Starts, signals and stops the child processes of the demo, the benches, the
 * process tests and the soak.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const PARENT_WATCH_MODULE = import.meta.resolve('./BendfallFakesParentWatch.js')
const STALL_WATCH_MODULE = import.meta.resolve('./BendfallFakesStallWatch.js')
/** Time until a process listens. It is long because a dozen processes start at once, possibly on a busy machine. */
const START_TIMEOUT_MS = 40_000
const STOP_TIMEOUT_MS = 10_000

/** Signals that the tests and the soak send. */
export type ProcessSignal = 'SIGCONT' | 'SIGKILL' | 'SIGSTOP' | 'SIGTERM'

/** Options of a child process. */
export interface ProcessOptions {
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>
  /** Value of `event` in the line that reports that the process listens. Default `listening`. */
  readonly readyEvent?: string
}

/** A child process that has reported that it listens. */
export interface ListeningProcess {
  readonly name: string
  readonly pid: number
  /** Key-value pairs of the line that reported that it listens. */
  readonly listening: Readonly<Record<string, string>>
  /** Lines written so far to standard output and standard error. */
  readonly lines: readonly string[]
  /** Resolves on exit: to the exit code, or to null when a signal ended the process. */
  readonly exited: Promise<number | null>
  readonly isRunning: () => boolean
  /** Sends a signal to this process only. */
  readonly signal: (signal: ProcessSignal) => void
  /**
   * Requests a graceful shutdown and waits for it.
   *
   * @throws Error unless the process exits with code 0 in time
   */
  readonly stop: () => Promise<void>
}

/**
 * Starts a compiled module as a child process.
 *
 * @param name - name of the process in error messages
 * @param modulePath - path of the compiled module
 * @param args - command line arguments of the module
 * @param options - environment, and the event that reports that the process listens
 * @returns the process, once it has reported that it listens
 * @throws Error when it exits first or does not report in time
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
      const pairs = parseKeyValuePairs(line)
      if (pairs.event === readyEvent) resolve(pairs)
    })
  })
  try {
    const pairs = await Promise.race([listening, exited.then(() => undefined), resolveAfter(START_TIMEOUT_MS)])
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
  const hasExited = await Promise.race([exited.then(() => true), resolveAfter(STOP_TIMEOUT_MS)])
  if (hasExited !== true) {
    child.kill('SIGKILL')
    throw new Error(`${name} did not stop within ${STOP_TIMEOUT_MS} ms:\n${lines.join('\n')}`)
  }
  if (child.exitCode !== 0) throw new Error(`${name} exited with ${child.exitCode ?? child.signalCode}:\n${lines.join('\n')}`)
}

function resolveAfter (waitMs: number): Promise<undefined> {
  return new Promise((resolve) => { setTimeout(() => resolve(undefined), waitMs).unref() })
}

/**
 * Parses a log line of `key=value` pairs.
 *
 * @param line - the line; values may be quoted as JSON strings
 * @returns the values by key
 */
export function parseKeyValuePairs (line: string): Record<string, string> {
  const pairs = line.matchAll(/([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g)
  return Object.fromEntries([...pairs].map(([, key, value]) => [key, value.startsWith('"') ? JSON.parse(value) : value]))
}
