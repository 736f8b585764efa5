import { spawn, spawnSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url))
const START_TIMEOUT_MS = 30_000
const POLL_MS = 20

/** Outcome of a request; `silent`: no complete response within the time. */
export type RequestOutcome = number | 'broken' | 'silent'

/** Role of the bundled service. */
export type BundledRole = 'entry' | 'sidecar'

/** The service as the deploy file builds and runs it, in a temporary folder. */
export interface Bundle {
  /** Starts a role with the command of the deploy file, and waits until it has started. */
  readonly start: (role: BundledRole, settings: object) => Promise<BundledProcess>
  readonly remove: () => void
}

/** A process of the bundled service. */
export interface BundledProcess {
  readonly pid: number
  /** @returns what the process has logged */
  readonly log: () => string
  readonly hasEnded: () => boolean
  readonly kill: () => Promise<void>
}

/** Builds the service into a temporary folder. */
export function buildBundle (): Bundle {
  const folder = mkdtempSync(join(tmpdir(), 'bendfall-answers-'))
  const { status, stderr } = spawnSync(process.execPath, [join(ROOT, 'scripts', 'bundle.mjs'), folder], { encoding: 'utf8' })
  if (status !== 0) throw new Error(`the bundle was not built: ${stderr}`)
  const { roles } = parse(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')) as unknown as { readonly roles: Readonly<Record<BundledRole, { readonly run: string }>> }

  async function start (role: BundledRole, settings: object): Promise<BundledProcess> {
    const settingsPath = join(folder, `${role}.json`)
    writeFileSync(settingsPath, JSON.stringify(settings))
    const args = roles[role].run.split(' ').slice(1).map((word) => word.replace('target/', `${folder}/`))
    const child = spawn(process.execPath, args, { cwd: ROOT, env: { ...process.env, BENDFALL_BOOT: settingsPath } })
    const exit = once(child, 'exit')
    let log = ''
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (bytes: Buffer) => { log += bytes.toString() })
    const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null
    const kill = async (): Promise<void> => {
      child.kill('SIGKILL')
      await exit
    }
    const endsAtMs = performance.now() + START_TIMEOUT_MS
    while (!log.includes('event=started')) {
      if (hasEnded() || performance.now() > endsAtMs) {
        await kill()
        throw new Error(`the ${role} did not start: ${log}`)
      }
      await sleep(POLL_MS)
    }
    return { pid: child.pid ?? 0, log: () => log, hasEnded, kill }
  }

  return { start, remove: () => rmSync(folder, { recursive: true }) }
}

/** A request of a test. */
export interface TestRequest {
  readonly host: string
  readonly port: number
  readonly path: string
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly timeoutMs: number
}

/** Sends a request over a new connection. */
export function send ({ body, headers, host, method = 'GET', path, port, timeoutMs }: TestRequest): Promise<RequestOutcome> {
  const signal = AbortSignal.timeout(timeoutMs)
  return new Promise((resolve) => {
    const fail = (): void => resolve(signal.aborted ? 'silent' : 'broken')
    const request = httpRequest({ host, port, path, method, headers, agent: false, signal }, (response) => {
      response.once('error', fail).once('close', () => response.complete ? resolve(response.statusCode ?? 0) : fail()).resume()
    })
    request.once('error', fail).end(body)
  })
}
