// Serves a few requests with both roles of the bundle, against stand-ins of the platform on loopback addresses,
// so that their code caches include the functions that the first requests after a start need.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'

const FLEET = './packages/bendfall-fakes/src/fleet'
const STAND_INS = `
  export { createFleetConfig } from '${FLEET}/BendfallFakesFleetConfig.ts'
  export { startFleetReplica } from '${FLEET}/BendfallFakesFleetReplica.ts'
  export { startFleetStore } from '${FLEET}/BendfallFakesFleetStore.ts'`

const HOST = 'warm.example'
const CALLERS_PORT = 17_381
const READY_PORT = 17_382
const PEER_PORTS = [17_380, 17_389]

/** Requests of each kind that are served: the first opens connections, the next ones use open connections. */
const SERVED_OF_EACH_KIND = 3

/** Longest time for all requests. What is not compiled until then is missing in the caches. */
const MAX_REQUESTS_MS = 5_000

/** Pause after a refused request; entries refuse prompts until the first reports of the ledgers. */
const RETRY_MS = 50

const PROMPT = { 'x-token-counts': '300,200', 'x-deadline-ms': '2000', 'x-length-hint': '20' }
const REQUESTS = [
  { method: 'GET', path: '/rate/1', headers: { 'x-deadline-ms': '1000' } },
  { method: 'POST', path: '/booking/1', headers: { 'x-deadline-ms': '1000' }, body: 'booking' },
  { method: 'POST', path: '/summary/1', headers: PROMPT, body: 'document' },
  { method: 'POST', path: '/brief/1', headers: PROMPT, body: 'document' }
]

/** Sends a request; returns whether it was served. */
function send (ip, { body, headers, method, path }, requestId, signal) {
  return new Promise((resolve) => {
    const request = httpRequest({ host: ip, port: CALLERS_PORT, agent: false, method, path, signal, headers: { host: HOST, 'x-request-id': requestId, ...headers } }, (response) => {
      response.once('error', () => resolve(false)).once('close', () => resolve(response.complete && response.statusCode === 200)).resume()
    })
    request.once('error', () => resolve(false)).end(body)
  })
}

/** Sends requests of all kinds, one at a time; returns the paths of those that were not served. */
async function sendRequests (ip) {
  const signal = AbortSignal.timeout(MAX_REQUESTS_MS)
  const unserved = []
  let sent = 0
  for (const request of REQUESTS) {
    let served = 0
    while (served < SERVED_OF_EACH_KIND && !signal.aborted) {
      sent++
      if (await send(ip, request, `warm-${sent}`, signal)) served++
      else await sleep(RETRY_MS)
    }
    if (served === 0) unserved.push(request.path)
  }
  return unserved
}

async function startStandIns (root, outDir, ips) {
  const outfile = join(outDir, 'buildStandIns.mjs')
  await build({ absWorkingDir: root, stdin: { contents: STAND_INS, resolveDir: root }, outfile, bundle: true, platform: 'node', target: 'node20', format: 'esm', logLevel: 'warning' })
  const { createFleetConfig, startFleetReplica, startFleetStore } = await import(pathToFileURL(outfile))
  rmSync(outfile)
  const store = await startFleetStore(ips.store)
  const replicas = {
    'i-decode': await startFleetReplica({ host: ips.models, replicaId: 'i-decode', stage: 'decode' }),
    'i-prefill': await startFleetReplica({ host: ips.models, replicaId: 'i-prefill', stage: 'prefill' }),
    'i-plain': await startFleetReplica({ host: ips.store, replicaId: 'i-plain' })
  }
  for (const [id, replica] of Object.entries(replicas)) {
    store.put(`servers/${id}`, { service: replica.stage() === undefined ? 'app' : 'llm', address: replica.address, zone: 'build', version: 'v1', slots: 6, state: 'ready', 'cold-remaining-ms': 0, stage: replica.stage(), seq: 1 })
  }
  store.put('op/config', createFleetConfig({ host: HOST, timeoutMs: 2_000, handleTtlS: 1, maxBodyBytes: 100_000 }))
  return {
    keyValueAddress: store.address,
    replicaAddress: replicas['i-decode'].address,
    close: () => Promise.all([store, ...Object.values(replicas)].map((one) => one.close()))
  }
}

/** Starts a role in the build step that writes its cache; it ends when the channel to it is closed. */
async function startRole ({ args, root, settings, settingsPath }) {
  writeFileSync(settingsPath, JSON.stringify(settings))
  const child = spawn(process.execPath, args, { cwd: root, env: { ...process.env, BENDFALL_BOOT: settingsPath }, stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const ended = once(child, 'exit')
  await Promise.race([once(child, 'message'), ended])
  return {
    end: async () => {
      if (child.connected) child.disconnect()
      const [status] = await ended
      rmSync(settingsPath)
      return status === 0
    }
  }
}

/**
 * Runs both roles until they have served.
 *
 * @param root - folder of the repository
 * @param outDir - existing folder for temporary files
 * @param argsOf - arguments of Node.js for each role
 * @returns what is missing in the caches, as text
 */
export async function runWarmUp (root, outDir, argsOf) {
  const network = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}`
  const ips = { entry: `${network}.1`, models: `${network}.2`, store: `${network}.3` }
  const { close, keyValueAddress, replicaAddress } = await startStandIns(root, outDir, ips)
  const common = { availabilityZone: 'build', peerPorts: PEER_PORTS, keyValueAddress, replicaAddress, poolsFile: 'deploy/pools.json', stopGraceS: 1 }
  const settings = {
    sidecar: { ...common, instanceId: 'build-sidecar', ip: ips.models },
    entry: { ...common, instanceId: 'build-entry', ip: ips.entry, callersListen: `${ips.entry}:${CALLERS_PORT}`, readyListen: `${ips.entry}:${READY_PORT}` }
  }
  const roles = await Promise.all(Object.entries(argsOf).map(async ([role, args]) => {
    return [role, await startRole({ args, root, settings: settings[role], settingsPath: join(outDir, `buildSettings.${role}.json`) })]
  }))
  const unserved = await sendRequests(ips.entry)
  const ended = await Promise.all(roles.map(async ([role, { end }]) => await end() ? [] : [`the ${role} did not start`]))
  await close()
  return [...ended.flat(), ...unserved.map((path) => `no request to ${path} was served`)]
}
