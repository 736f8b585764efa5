/**
 * Stand-in of the platform's key-value store: items, ranges, watches, conditional writes and leases.
 */
import { createServer } from 'node:http'

const MAX_PAGE_ITEMS = 500

/**
 * Starts the store on a free port.
 *
 * @param {string} host - loopback address to listen on
 * @returns the store once it listens
 */
export function startStore (host) {
  const items = new Map()
  const leases = new Map()
  const watches = new Set()
  const changes = []
  let revision = 1
  let nextLease = 1

  function recordChange (change) {
    changes.push(change)
    for (const wake of [...watches]) wake()
  }

  function putItem (key, value, lease) {
    revision += 1
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    recordChange(item)
  }

  function removeItem (key) {
    if (!items.delete(key)) return
    revision += 1
    recordChange({ key, revision, deleted: true })
  }

  function endLease (id) {
    clearTimeout(leases.get(id)?.timer)
    leases.delete(id)
    for (const { key, lease } of [...items.values()]) if (lease === id) removeItem(key)
  }

  function startLease (id, ttlMs) {
    clearTimeout(leases.get(id)?.timer)
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) })
  }

  function readItem (query, response) {
    const item = items.get(query.get('key'))
    send(response, item === undefined ? 404 : 200, { ...item, 'store-revision': revision })
  }

  function readRange (query, response) {
    const prefix = query.get('path-prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((one, other) => (one.key < other.key ? -1 : 1))
    send(response, 200, { items: found.slice(0, MAX_PAGE_ITEMS), 'has-more': found.length > MAX_PAGE_ITEMS, 'store-revision': revision })
  }

  function watch (query, response) {
    const prefix = query.get('path-prefix') ?? ''
    const after = Number(query.get('after'))
    const eventsSince = () => changes.filter((change) => change.revision > after && change.key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      watches.delete(wake)
      send(response, 200, { events: eventsSince(), 'store-revision': revision })
    }
    const wake = () => { if (eventsSince().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait-ms')))
    watches.add(wake)
    response.once('close', () => {
      clearTimeout(timer)
      watches.delete(wake)
    })
    wake()
  }

  function commit ({ precondition = [], puts = [], remove = [] }, response) {
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return send(response, 404, {})
    const isMet = precondition.every((row) => (items.get(row.key)?.revision ?? 0) === row.revision)
    if (!isMet) return send(response, 412, { items: precondition.flatMap(({ key }) => items.get(key) ?? []) })
    for (const { key, lease = 0, value } of puts) putItem(key, value, lease)
    remove.forEach(removeItem)
    send(response, 200, { revision })
  }

  const handlers = {
    'GET kv-key': ({ query, response }) => readItem(query, response),
    'GET kv-range': ({ query, response }) => readRange(query, response),
    'GET kv-watch': ({ query, response }) => watch(query, response),
    'POST kv-txn': ({ body, response }) => commit(body, response),
    'POST kv-lease': ({ body, response }) => {
      const id = nextLease++
      startLease(id, body['ttl-ms'])
      send(response, 200, { lease: id, 'ttl-ms': body['ttl-ms'] })
    },
    'POST kv-keep': ({ id, response }) => {
      const known = leases.get(id)
      if (known === undefined) return send(response, 404, {})
      startLease(id, known.ttlMs)
      send(response, 200, { 'ttl-ms': known.ttlMs })
    },
    'DELETE kv-lease-end': ({ id, response }) => {
      endLease(id)
      send(response, 200, {})
    }
  }

  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const [, , call = '', id = ''] = url.pathname.split('/')
      const handle = handlers[`${request.method} ${call}`]
      if (handle === undefined) return send(response, 404, {})
      handle({ query: url.searchParams, body: JSON.parse(Buffer.concat(chunks).toString() || '{}'), id: Number(id), response })
    })
  })

  return new Promise((resolve) => {
    server.listen(0, host, () => resolve({
      address: `${host}:${server.address().port}`,
      /** Writes a document as the operator or a replica does. */
      put: (key, document) => putItem(key, Buffer.from(JSON.stringify(document)).toString('base64'), 0),
      remove: removeItem,
      close: () => {
        for (const { timer } of leases.values()) clearTimeout(timer)
        server.close()
        server.closeAllConnections()
      }
    }))
  })
}

function send (response, status, body) {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length })
  response.end(bytes)
}
