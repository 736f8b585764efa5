/**
 * Acts as the operator of a fleet: plans an intent and confirms the plan with
 * the `bendfallctl` command line.
 *
 * @module
 */
import { execFile } from 'node:child_process'
import type { ChildProcess, ExecFileException } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import type { Intent, Plan } from 'bendfall-core'
import type { Fleet } from './BendfallFakesDemoSetup.js'

const CTL_MODULE = fileURLToPath(new URL('./BendfallctlMain.js', import.meta.resolve('bendfallctl')))
/** Measured from the first step that a command logs, to detect a call that never ends. */
const COMMAND_TIMEOUT_MS = 15_000

/** Time until that step; the same as for the other processes of a cluster. */
const COMMAND_START_TIMEOUT_MS = 40_000

/** Makes commands log the duration of each step. */
const DEBUG_LEVEL = '4'

const run = promisify(execFile)

/** Output of planning and confirming an intent. */
export interface Confirmation {
  /** Output of the `plan` command for humans. */
  readonly planText: string
  /** Output of the `confirm` command. */
  readonly confirmText: string
  /** Configuration version that the plan creates. */
  readonly version: number
}

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number
  readonly output: string
}

/** Runs a command of `bendfallctl` on an intent. */
export type IntentCommand = (command: 'confirm' | 'plan', ...options: readonly string[]) => Promise<CommandResult>

/**
 * Plans an intent and confirms the plan.
 *
 * @param fleet - the running fleet
 * @param intent - the intent to bring into force
 * @returns the output of both commands and the new version
 * @throws Error when a command exits with a code other than 0
 */
export async function confirmIntent (fleet: Fleet, intent: Intent): Promise<Confirmation> {
  return await withIntentFile(fleet, intent, async (command) => {
    const [planText, planJson] = await Promise.all([command('plan'), command('plan', '--json')])
    const plan = JSON.parse(outputOf(planJson)) as Plan
    const confirmText = outputOf(await command('confirm', '--digest', plan.digest))
    return { planText: outputOf(planText), confirmText, version: plan.next.version }
  })
}

/**
 * Runs a function with access to the commands of `bendfallctl` for one intent.
 *
 * @param fleet - the running fleet
 * @param intent - the intent, written to a temporary file for the commands
 * @param work - runs commands; the file is deleted when its promise settles
 * @returns the result of `work`
 */
export async function withIntentFile<T> (fleet: Fleet, intent: Intent, work: (command: IntentCommand) => Promise<T>): Promise<T> {
  const directory = await mkdtemp(join(tmpdir(), 'bendfall-intent-'))
  try {
    const file = join(directory, 'intent.json')
    await writeFile(file, JSON.stringify(intent))
    const target = ['--intent', file, '--key-value', fleet.keyValueUrl, '--instances', fleet.instanceListUrl]
    return await work((command, ...options) => runCtl([command, ...options, ...target]))
  } finally {
    await rm(directory, { recursive: true })
  }
}

async function runCtl (args: readonly string[]): Promise<CommandResult> {
  const env = { ...process.env, CONSOLA_LEVEL: DEBUG_LEVEL }
  const running = run(process.execPath, [CTL_MODULE, ...args], { env })
  const watchdog = killWhenLate(running.child)
  const result = await running.catch((error: unknown) => error as ExecFileException)
  watchdog.cancel()
  // Without this check, a killed command would look like one that failed on its own.
  if (watchdog.cause() !== undefined) throw new Error(`command ${args[0]} was killed: ${watchdog.cause()}\n${result.stderr}`)
  const exitCode = 'code' in result ? Number(result.code ?? NaN) : 0
  return { exitCode, output: `${result.stdout ?? ''}`.trimEnd() }
}

/**
 * Kills a command that logs no step within a time limit, or does not exit within
 * another limit after its first step. The limits are separate because a starting
 * process may get no CPU time on a busy machine.
 */
function killWhenLate (child: ChildProcess): { readonly cause: () => string | undefined, readonly cancel: () => void } {
  let cause: string | undefined
  const killAfter = (limitMs: number, missing: string): NodeJS.Timeout => setTimeout(() => {
    cause = `${missing} within ${limitMs} ms`
    child.kill()
  }, limitMs)
  let timer = killAfter(COMMAND_START_TIMEOUT_MS, 'no step logged')
  child.stderr?.once('data', () => {
    clearTimeout(timer)
    timer = killAfter(COMMAND_TIMEOUT_MS, 'no exit')
  })
  return { cause: () => cause, cancel: () => clearTimeout(timer) }
}

function outputOf ({ exitCode, output }: CommandResult): string {
  if (exitCode !== 0) throw new Error(`command exited with code ${exitCode}: ${output}`)
  return output
}
