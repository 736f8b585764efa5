/**
 * Stand-in of a model replica: processes prompts or streams answers, by its stage. Parts of prompts can be named that end
 * the process once it begins to write an answer on them; it is back after some seconds under its id.
 */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const MEMORY_TOKENS = 37_745
const PREFILL_TOKENS_PER_MS = 33
const EVENTS = 12
const EVENT_MS = 40
const CRASH_AFTER_MS = 30
const SWITCH_MS = 6_000

/**
 * Starts a replica.
 *
 * @param options
 * @param {string} options.host - loopback address to listen on
 * @param {string} options.id - id under which it is registered
 * @param {'prefill' | 'decode'} options.stage - stage of each new process
 * @param {number} options.downMs - time from a crash until it is back
 * @param {(parts: string[]) => boolean} options.crashesOn - whether an answer on a prompt ends the process
 * @param {(event: string, requestId: string) => void} options.onEvent - called for runs and crashes
 * @param {(replica: object) => void} options.onStart - called for each process that starts
 * @param {() => void} options.onCrash - called when one has crashed
 * @returns the replica once it listens
 */
export async function startModelReplica ({ crashesOn, downMs, host, id, onCrash, onEvent, onStart, stage: firstStage }) {
  let port = 0
  let server
  let process
  let isClosed = false
  const sockets = new Set()

  async function start () {
    process = { born: Date.now(), stage: firstStage, orders: 0, isSwitching: false, handles: new Set(), runs: new Map(), fence: 0 }
    server = createServer(handle)
    server.on('connection', (socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => sockets.delete(socket))
    })
    await new Promise((resolve) => server.listen(port, host, resolve))
    port = server.address().port
    onStart(replica)
  }

  function stop () {
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }

  async function crash () {
    stop()
    onCrash()
    await sleep(downMs)
    if (!isClosed) await start()
  }

  function handle (request, response) {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('end', () => answer(request, response, Buffer.concat(chunks).toString()))
  }

  function answer (request, response, body) {
    const [path] = request.url.split('?')
    if (path === '/api/report') return send(request, response, 200, report())
    if (path === '/api/hold-take') return send(request, response, 200, { hold: `h${Math.random().toString(16).slice(2)}` })
    if (path.startsWith('/api/kv-handle/')) process.handles.delete(path.split('/').at(-1))
    if (path.startsWith('/api/kv-handle/') || path.startsWith('/api/hold-drop/')) return send(request, response, 200, {})
    if ((request.headers['x-expect-instance'] ?? id) !== id) return send(request, response, 421, {})
    if (path === '/api/order') return send(request, response, order(JSON.parse(body)), {})
    const wantsPrefill = request.headers['x-serving-stage'] === 'prefill'
    if (process.isSwitching) return send(request, response, 503, {}, { 'x-not-executed': '1' })
    if (wantsPrefill !== (process.stage === 'prefill')) return send(request, response, 421, {})
    if (wantsPrefill) prefill(request, response)
    else run(request, response)
  }

  function report () {
    const tokens = [...process.runs.values()].reduce((sum, one) => sum + one.tokens, 0)
    return {
      born: process.born,
      stage: process.stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      'in-progress': process.isSwitching,
      seq: process.orders,
      queued: 0,
      active: process.runs.size,
      'kv-used': tokens,
      'kv-total': MEMORY_TOKENS,
      'kv-handles': process.handles.size,
      runs: [...process.runs].map(([requestId, one]) => [requestId, one.tokens, one.events, 5])
    }
  }

  function order ({ fence, stage }) {
    if (fence < process.fence) return 412
    process.fence = fence
    if (process.isSwitching) return 409
    if (process.stage === stage) return 200
    process.orders += 1
    process.isSwitching = true
    const ordered = process
    setTimeout(() => {
      ordered.stage = stage
      ordered.isSwitching = false
      if (ordered === process) onStart(replica)
    }, SWITCH_MS).unref()
    return 202
  }

  function prefill (request, response) {
    const tokens = tokensOf(request)
    const owner = process
    setTimeout(() => {
      const handle = Math.random().toString(16).slice(2, 14)
      owner.handles.add(handle)
      send(request, response, 200, { 'cache-handle': handle, tokens, version: 1 })
    }, tokens / PREFILL_TOKENS_PER_MS)
  }

  function run (request, response) {
    const requestId = request.headers['x-request-id']
    const state = { tokens: tokensOf(request), events: 0 }
    const owner = process
    owner.runs.set(requestId, state)
    onEvent('run', requestId)
    response.writeHead(200, { 'x-request-id': requestId, 'x-response-stamp': `${id}.${owner.born}`, 'content-type': 'text/event-stream' })
    response.flushHeaders()
    if (crashesOn(partsOf(request))) {
      setTimeout(() => {
        if (owner !== process) return
        onEvent('crashed', requestId)
        crash().catch(() => {})
      }, CRASH_AFTER_MS)
      return
    }
    const timer = setInterval(() => {
      state.events += 1
      state.tokens += 6
      response.write(`id: ${state.events}\ndata: piece ${state.events} of ${requestId}\n\n`)
      if (state.events === EVENTS) response.end()
    }, EVENT_MS)
    response.once('close', () => {
      clearInterval(timer)
      owner.runs.delete(requestId)
    })
  }

  const replica = {
    id,
    address: () => `${host}:${port}`,
    born: () => process.born,
    stage: () => process.stage,
    close: () => {
      isClosed = true
      stop()
    }
  }
  await start()
  return replica
}

function send (request, response, status, body, headers = {}) {
  const bytes = Buffer.from(JSON.stringify(body))
  const requestId = request.headers['x-request-id']
  response.writeHead(status, { ...(requestId === undefined ? {} : { 'x-request-id': requestId }), 'content-type': 'application/json', 'content-length': bytes.length, ...headers })
  response.end(bytes)
}

function tokensOf (request) {
  return Number(String(request.headers['x-token-counts'] ?? '0').split(',')[0])
}

// The last part belongs to the request itself.
function partsOf (request) {
  return String(request.headers['x-prompt-prefix'] ?? '').split(',').map((part) => part.trim().split(':')[0]).slice(0, -1)
}
