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

/** Memory of the machines there. */
const ENTRY_MEMORY_MB = 200
const SIDECAR_MEMORY_MB = 282

function readCommand (role) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** Starts a process of a role, with its output and its end. */
function startRole (role, file) {
  const [program, ...args] = readCommand(role)
  const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, BENDFALL_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  const running = { child, output: [], ended: undefined }
  child.stdout.on('data', (bytes) => running.output.push(bytes))
  child.stderr.on('data', (bytes) => running.output.push(bytes))
  running.exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      running.ended = signal ?? code
      resolve()
    })
  })
  return running
}

async function kill (running) {
  if (running.ended === undefined) running.child.kill('SIGKILL')
  await running.exited
}

/**
 * Starts an entry and waits until it is ready.
 *
 * @param options
 * @param {string} options.folder - temporary folder for the settings file
 * @param {string} options.name - name of the machine
 * @param {string} options.ip - loopback address of the machine
 * @param {number} [options.peerPort] - first of its internal ports, the same on all machines; default: a free one
 * @param {string} options.storeAddress - address of the store
 * @returns the entry
 */
export async function startEntry ({ folder, ip, name, peerPort, storeAddress }) {
  const callersPort = await freePort(ip)
  const readyPort = await freePort(ip)
  const firstPort = peerPort ?? await freePort(ip)
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify({
    instanceId: name,
    availabilityZone: 'split-hall-a',
    ip,
    callersListen: `${ip}:${callersPort}`,
    readyListen: `${ip}:${readyPort}`,
    peerPorts: [firstPort, firstPort + 15],
    keyValueAddress: storeAddress,
    memoryMb: ENTRY_MEMORY_MB,
    ...SMALL_DEPLOYMENT
  }))
  let running = startRole('entry', file)
  const probe = () => probeReady(ip, readyPort)

  async function waitUntilReady () {
    for (let i = 0; i < READY_POLLS && running.ended === undefined; i++) {
      if (await probe() === 200) return
      await sleep(POLL_MS)
    }
    await kill(running)
    throw new Error(`${name} did not become ready:\n${Buffer.concat(running.output).toString().slice(-2_000)}`)
  }

  await waitUntilReady()
  return {
    name,
    ip,
    callersPort,
    probe,
    /** How the process ended; undefined while it runs. */
    ended: () => running.ended,
    /** What the process has logged. */
    log: () => Buffer.concat(running.output).toString(),
    kill: () => kill(running),
    /** Stops the process with SIGTERM and starts it again, as planned work does. */
    restart: async () => {
      running.child.kill('SIGTERM')
      await running.exited
      running = startRole('entry', file)
      await waitUntilReady()
    }
  }
}

/**
 * Starts the sidecar of a model replica.
 *
 * @param options
 * @param {string} options.folder - temporary folder for the settings file
 * @param {string} options.name - name of the machine
 * @param {string} options.ip - loopback address of the machine, which the replica shares
 * @param {number} options.peerPort - first of its internal ports, the same on all machines
 * @param {string} options.replicaAddress - address of the replica
 * @param {string} options.storeAddress - address of the store
 * @returns the sidecar
 */
export function startSidecar ({ folder, ip, name, peerPort, replicaAddress, storeAddress }) {
  const file = join(folder, `${name}.json`)
  writeFileSync(file, JSON.stringify({ instanceId: name, availabilityZone: 'split-hall-a', ip, replicaAddress, peerPorts: [peerPort, peerPort + 15], keyValueAddress: storeAddress, memoryMb: SIDECAR_MEMORY_MB, ...SMALL_DEPLOYMENT }))
  const running = startRole('sidecar', file)
  return { name, kill: () => kill(running) }
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
