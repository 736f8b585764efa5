/**
 * Stand-ins for the platform of the review cases: the key-value store, replicas on raw sockets,
 * callers on raw sockets, and starting the project's programs with the commands of the deploy file.
 * Everything listens on loopback addresses and ends with the script.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))

/** Whether the disruption of the case is brought about. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Bounds of the small deployments, as their settings have them. */
const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'contact-ms': 3000,
  'ack-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-s': 8,
  'loss-slack-ms': 200,
  'config-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'max-skew-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'budget-slack': 56,
  'recover-s': 12,
  'transit-ms': 120,
  'again-s': 6.9,
  'require-fence': true,
  'lease-ms': 3000,
  'thaw-ms': 300
}

/** Empties the record of a case and returns a function that adds a line to it. */
export function openRecord (url) {
  const file = fileURLToPath(url)
  writeFileSync(file, '')
  const start = performance.now()
  return (line) => appendFileSync(file, `${((performance.now() - start) / 1000).toFixed(3)} ${line}\n`)
}

/** Returns a loopback address of this run; runs at the same time use other ones. */
export function loopback (last) {
  return `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}.${last}`
}

function listen (server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(`${host}:${server.address().port}`))
  })
}

/** Starts the store. Answers are linearizable and at once, and nothing is lost. */
export async function startStore (host) {
  const items = new Map()
  const leases = new Map()
  const watches = new Set()
  const changes = []
  let revision = 100
  let nextLease = 1
  let isDown = false

  function change (entry) {
    changes.push(entry)
    for (const wake of [...watches]) wake()
  }

  function put (key, value, lease = 0) {
    revision += 1
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    change(item)
  }

  function remove (key) {
    if (!items.delete(key)) return
    revision += 1
    change({ key, revision, deleted: true })
  }

  function endLease (id) {
    clearTimeout(leases.get(id)?.timer)
    leases.delete(id)
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key)
  }

  function renew (id, ttlMs) {
    clearTimeout(leases.get(id)?.timer)
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) })
  }

  const server = createHttpServer((request, response) => {
    if (isDown) return request.socket.resetAndDestroy()
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const [, , call, id] = url.pathname.split('/')
      const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString() || '{}')
      const prefix = url.searchParams.get('path-prefix') ?? ''
      const send = (status, value) => {
        const text = JSON.stringify(value)
        response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
        response.end(text)
      }
      if (call === 'kv-key') {
        const item = items.get(url.searchParams.get('key'))
        return send(item === undefined ? 404 : 200, { ...item, 'store-revision': revision })
      }
      if (call === 'kv-range') {
        const after = url.searchParams.get('after') ?? ''
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => (a.key < b.key ? -1 : 1))
        return send(200, { items: found.slice(0, 500), 'has-more': found.length > 500, 'store-revision': revision })
      }
      if (call === 'kv-watch') {
        const after = Number(url.searchParams.get('after'))
        const events = () => changes.filter((one) => one.revision > after && one.key.startsWith(prefix))
        const finish = () => {
          clearTimeout(timer)
          watches.delete(wake)
          send(200, { events: events(), 'store-revision': revision })
        }
        const wake = () => { if (events().length > 0) finish() }
        const timer = setTimeout(finish, Number(url.searchParams.get('wait-ms')))
        watches.add(wake)
        response.once('close', () => {
          clearTimeout(timer)
          watches.delete(wake)
        })
        return wake()
      }
      if (call === 'kv-txn') {
        const { precondition = [], puts = [], remove: removed = [] } = body
        if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return send(404, {})
        if (precondition.some((row) => (items.get(row.key)?.revision ?? 0) !== row.revision)) return send(412, { items: precondition.flatMap(({ key }) => items.get(key) ?? []) })
        for (const one of puts) put(one.key, one.value, one.lease ?? 0)
        removed.forEach(remove)
        return send(200, { revision })
      }
      if (call === 'kv-lease') {
        const lease = nextLease++
        renew(lease, body['ttl-ms'])
        return send(200, { lease, 'ttl-ms': body['ttl-ms'] })
      }
      if (call === 'kv-keep') {
        const known = leases.get(Number(id))
        if (known !== undefined) renew(Number(id), known.ttlMs)
        return send(known === undefined ? 404 : 200, { 'ttl-ms': known?.ttlMs })
      }
      if (call === 'kv-lease-end') {
        endLease(Number(id))
        return send(200, {})
      }
      send(404, {})
    })
  })
  const address = await listen(server, host)
  return {
    address,
    write: (key, value) => put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    read: (key) => items.has(key) ? Buffer.from(items.get(key).value, 'base64').toString() : undefined,
    remove,
    /** Takes the store down or brings it back; while it is down, nothing is written and channels are reset. */
    setDown: (value) => {
      isDown = value
      if (isDown) server.closeAllConnections()
    },
    isDown: () => isDown,
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Config of a small deployment: three kinds of streams on one route name each, and two kinds of plain calls. */
export function smallConfig (version = 7) {
  const stream = { host: 'case.example', kind: 'streaming', 'timeout-ms': 14000, 'target-latency-ms': 900, 'target-gap-ms': 300, priority: 1, sticky: true, service: 'redaction' }
  const plain = { host: 'case.example', 'timeout-ms': 1500, 'target-latency-ms': 386, priority: 2, service: 'visionneuse' }
  return {
    version,
    routes: [
      { ...stream, name: 'lot-summary', 'path-prefix': '/lot/', 'max-attempts': 1, resumable: false },
      { ...stream, name: 'servitude-read', 'path-prefix': '/servitude/', 'max-attempts': 2, resumable: true },
      { ...plain, name: 'tile-fetch', 'path-prefix': '/tile/', kind: 'non_idempotent', 'max-attempts': 1 },
      { ...plain, name: 'parcel-lookup', 'path-prefix': '/parcel/', kind: 'idempotent', 'max-attempts': 2 }
    ],
    services: [
      { name: 'redaction', 'health-path': '/health', 'max-connections': 370, protocol: 'h1', tls: false, engine: { slots: 64, 'kv-tokens': 34221, 'kv-token-bytes': 35136, 'link-mbps': 1100000, moves: true, backups: true, stride: 13, most: 12, 'handle-ttl-s': 0.5, 'switch-s': 6, 'pin-ms': 4000, 'hold-ms': 2000, models: [{ name: 'm' }] } },
      { name: 'visionneuse', 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false }
    ],
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 }
  }
}

/** Registration of a replica in the store. */
export function registration (address, { service, stage, state = 'ready', seq = 4 }) {
  return { service, address, zone: 'levis', version: 'v1', slots: stage === undefined ? 6 : 64, state, 'cold-remaining-ms': 0, ...(stage === undefined ? {} : { stage, models: [{ name: 'm', version: 1, adapters: [] }] }), seq }
}

/**
 * Starts a server on raw sockets that reads whole requests with a length.
 *
 * @param host - loopback address
 * @param onRequest - receives the request and the socket, and writes the answer itself
 * @param port - 0 for a free one
 */
export async function startRawServer (host, onRequest, port = 0) {
  const sockets = new Set()
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket)
    let pending = Buffer.alloc(0)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('end', () => socket.end())
    socket.on('data', (chunk) => {
      pending = Buffer.concat([pending, chunk])
      for (let end = pending.indexOf('\r\n\r\n'); end !== -1; end = pending.indexOf('\r\n\r\n')) {
        const [line, ...lines] = pending.subarray(0, end).toString('latin1').split('\r\n')
        const headers = Object.fromEntries(lines.map((one) => [one.slice(0, one.indexOf(':')).toLowerCase(), one.slice(one.indexOf(':') + 1).trim()]))
        const length = Number(headers['content-length'] ?? 0)
        if (pending.length < end + 4 + length) return
        const body = pending.subarray(end + 4, end + 4 + length)
        pending = pending.subarray(end + 4 + length)
        const [method, path] = line.split(' ')
        onRequest({ method, path, headers, body }, socket)
      }
    })
  })
  const address = await listen(server, host, port)
  return {
    address,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

/** Writes an answer with a length. */
export function answer (socket, status, headers, body) {
  const text = { 200: 'OK', 202: 'Accepted', 404: 'Not Found', 421: 'Misdirected Request', 500: 'Internal Server Error', 503: 'Service Unavailable' }[status]
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(([name, value]) => `${name}: ${value}`)
  socket.write(`HTTP/1.1 ${status} ${text}\r\n${lines.join('\r\n')}\r\n\r\n${body}`)
}

/** Answers the report of a replica without load, if the request asks for it. Returns whether it did. */
export function answerReport ({ path }, socket, stage) {
  if (path !== '/api/report') return false
  answer(socket, 200, { 'Content-Type': 'application/json' }, JSON.stringify({ stage, models: [{ name: 'm', version: 1, adapters: [] }], 'in-progress': false, seq: 0, queued: 0, active: 0, 'kv-used': 0, 'kv-total': 34221, 'kv-handles': 0, state: 'ready', runs: [] }))
  return true
}

function lookUp (scopes, name) {
  for (const scope of scopes) {
    const value = name.split('.').reduce((at, part) => at?.[part], scope)
    if (value !== undefined) return value
  }
  return undefined
}

/** Fills in the settings template as the platform does, as far as the project's template needs it. */
function fillTemplate (text, scopes) {
  const filled = text.replace(/\{\{([#^])([\w.-]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_, kind, name, inner) => {
    const value = lookUp(scopes, name)
    const isSet = value !== undefined && value !== false
    return isSet === (kind === '#') ? fillTemplate(inner, scopes) : ''
  })
  return filled.replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = lookUp(scopes, name)
    if (value === undefined) return ''
    return json === undefined ? String(value) : JSON.stringify(value)
  })
}

const children = new Set()

/**
 * Starts one of the project's programs with the command of the deploy file.
 *
 * @param role - `entry` or `sidecar`
 * @param options - its address, the store, and the replica beside a sidecar
 */
export async function startProgram (role, { ip, name, store, app, memoryMb }) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`))
  const [program, ...args] = /^run = "([^"]*)"/m.exec(section)[1].split(' ')
  const template = readFileSync(join(ROOT, /^template = "([^"]*)"/m.exec(section)[1]), 'utf8')
  const fields = {
    node: name,
    zone: 'levis',
    ip,
    bounds: BOUNDS,
    app,
    'internal-ports': [7380, 7395],
    platform: { address: store.address },
    limits: { 'memory-mb': memoryMb ?? (role === 'entry' ? 350 : 282), 'cpu-share': 0.513, cores: 1 },
    listen: role === 'entry' ? { front: `${ip}:8149`, ready: `${ip}:8141` } : {}
  }
  const folder = mkdtempSync(join(tmpdir(), 'bendfall-case-'))
  mkdirSync(folder, { recursive: true })
  const file = join(folder, 'settings.json')
  writeFileSync(file, fillTemplate(template, [fields]))
  const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, BENDFALL_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  children.add(child)
  let log = ''
  child.stdout.on('data', (chunk) => { log += chunk })
  child.stderr.on('data', (chunk) => { log += chunk })
  const exited = new Promise((resolve) => child.once('exit', (code, signal) => {
    children.delete(child)
    rmSync(folder, { recursive: true, force: true })
    resolve({ code, signal })
  }))
  if (role === 'entry') await untilReady(ip, () => log)
  else await sleep(500)
  return { name, pid: child.pid, address: `${ip}:8149`, signal: (signal) => child.kill(signal), exited, log: () => log }
}

async function untilReady (ip, log) {
  for (let tries = 0; tries < 150; tries++) {
    if (await isReady(ip)) return
    await sleep(100)
  }
  throw new Error(`the entry at ${ip} is not ready: ${log().slice(-500)}`)
}

async function isReady (ip) {
  const status = await new Promise((resolve) => {
    const socket = connect(8141, ip, () => socket.write('GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'))
    socket.once('data', (chunk) => resolve(chunk.toString().slice(9, 12)))
    socket.once('error', () => resolve(''))
    socket.once('close', () => resolve(''))
  })
  return status === '200'
}

/** Ends all programs that were started, by their ids. */
export async function endPrograms () {
  const ended = [...children].map((child) => new Promise((resolve) => child.once('exit', resolve)))
  for (const child of children) child.kill('SIGKILL')
  await Promise.all(ended)
}

/**
 * Sends one request on a channel of its own and collects what comes back.
 *
 * @returns the raw bytes so far, and how the channel ended: `open`, `end` (closed in order), or `reset`
 */
export function sendRaw (address, bytes) {
  const [host, port] = address.split(':')
  const state = { text: '', outcome: 'open', firstAtMs: undefined, endedAtMs: undefined }
  const socket = connect(Number(port), host, () => socket.write(bytes))
  state.socket = socket
  state.ended = new Promise((resolve) => {
    const finish = (outcome) => {
      if (state.outcome !== 'open') return
      state.outcome = outcome
      state.endedAtMs = performance.now()
      resolve(outcome)
    }
    socket.on('data', (chunk) => {
      state.firstAtMs ??= performance.now()
      state.text += chunk.toString('latin1')
    })
    socket.on('end', () => finish('end'))
    socket.on('error', () => finish('reset'))
    socket.on('close', () => finish('reset'))
  })
  return state
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param play - returns whether the rule held
 * @param record - writes to the record
 */
export async function runCase (play, record) {
  let status = 2
  const limit = setTimeout(() => {
    record('the case took too long')
    endPrograms().then(() => process.exit(2))
  }, 110_000)
  try {
    const holds = await play()
    status = holds ? 0 : 1
    record(holds ? 'RESULT the rule held' : 'RESULT the rule was broken')
  } catch (error) {
    record(`RESULT the case could not run: ${error.stack}`)
  }
  clearTimeout(limit)
  await endPrograms()
  process.exit(status)
}
