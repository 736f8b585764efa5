/**
 * Starts the project's own programs with the commands of its deploy file, and ends them.
 */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { freePort } from './addresses.mjs'

/** Root of the repository, in which the programs start. */
export const ROOT = fileURLToPath(new URL('../../', import.meta.url))

const READY_POLLS = 200
const POLL_MS = 50
const PROBE_TIMEOUT_MS = 1_000

/** Bounds of the small deployment `jadranka-quotes`, under the names of the settings template. */
const SMALL_DEPLOYMENT = {
  drainMs: 2_000,
  configApplyMs: 2_000,
  retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 58 },
  processorShare: 0.513,
  processorCores: 1,
  poolsFile: 'deploy/pools.json',
  decisions: {},
  stopGraceS: 8
}

/** Memory of an `edge` machine there. */
export const ENTRY_MEMORY_MB = 200

function readCommand (role) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/**
 * Starts an entry and waits until it is ready.
 *
 * @param options
 * @param {string} options.folder - temporary folder for the settings file
 * @param {string} options.name - name of the machine
 * @param {string} options.ip - loopback address of the machine
 * @param {string} options.storeAddress - address of the store
 * @returns the entry
 */
export async function startEntry ({ folder, ip, name, storeAddress }) {
  const callersPort = await freePort(ip)
  const readyPort = await freePort(ip)
  const peerPort = await freePort(ip)
  const settings = {
    instanceId: name,
    availabilityZone: 'split-hall-a',
    ip,
    callersListen: `${ip}:${callersPort}`,
    readyListen: `${ip}:${readyPort}`,
    peerPorts: [peerPort, peerPort + 15],
    keyValueAddress: storeAddress,
    memoryMb: ENTRY_MEMORY_MB,
    ...SMALL_DEPLOYMENT
  }
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify(settings))
  const [program, ...args] = readCommand('entry')
  const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, BENDFALL_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  const log = []
  let ended
  child.stdout.on('data', (bytes) => log.push(bytes))
  child.stderr.on('data', (bytes) => log.push(bytes))
  const exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      ended = signal ?? code
      resolve(ended)
    })
  })
  const probe = () => probeReady(ip, readyPort)
  const entry = {
    name,
    ip,
    pid: child.pid,
    callersPort,
    probe,
    /** How the process ended; undefined while it runs. */
    ended: () => ended,
    log: () => Buffer.concat(log).toString(),
    signal: (signal) => child.kill(signal),
    kill: async () => {
      if (ended === undefined) child.kill('SIGKILL')
      await exited
    }
  }
  for (let i = 0; i < READY_POLLS && entry.ended() === undefined; i++) {
    if (await probe() === 200) return entry
    await sleep(POLL_MS)
  }
  await entry.kill()
  throw new Error(`${name} did not become ready:\n${entry.log().slice(-2_000)}`)
}

/** Asks for the readiness as the platform does: the status, or undefined without an answer within a second. */
function probeReady (host, port) {
  return new Promise((resolve) => {
    const request = get({ host, port, path: '/api/ready', agent: false, timeout: PROBE_TIMEOUT_MS }, (response) => {
      response.resume()
      resolve(response.statusCode)
    })
    request.once('timeout', () => request.destroy())
    request.once('error', () => resolve(undefined))
    request.once('close', () => resolve(undefined))
  })
}
