/**
 * Stand-in for the key-value store of the users' platform, with revisions, paged ranges, watches,
 * conditional writes, leases and restores from a backup.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetServer } from './BendfallFakesFleetServer.js'
import { answerJson, startFleetServer } from './BendfallFakesFleetServer.js'

const PAGE_ITEMS = 50

interface Item {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
  readonly lease: number
}

type Change = Item | { readonly key: string, readonly revision: number, readonly deleted: true }

interface Txn {
  readonly precondition?: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly puts?: ReadonlyArray<{ readonly key: string, readonly value: string, readonly lease?: number }>
  readonly remove?: readonly string[]
}

/** The stand-in. */
export interface FleetStore extends FleetServer {
  /** Writes a document without a lease, as an operator or a replica does. */
  readonly put: (key: string, value: unknown) => void
  readonly remove: (key: string) => void
  /** Responds to all calls with this status until called with undefined. */
  readonly fail: (status: number | undefined) => void
  /** Discards the change history, so that watches from an older revision get 410. */
  readonly compact: () => void
  /**
   * Simulates an outage followed by a restore from a backup, which begins the next era: writes and leases
   * made after the backup are lost, and their revisions and lease numbers are reused.
   */
  readonly restore: (drill: { readonly copyAgeMs: number, readonly awayMs: number }) => Promise<void>
  /** @returns the era that responses carry */
  readonly era: () => number
  /** @returns the number of calls received so far */
  readonly calls: () => number
  /** @returns all stored keys with their decoded values */
  readonly documents: () => ReadonlyArray<{ readonly key: string, readonly value: string }>
}

/** Retention time of backups. */
const COPIES_MS = 10_000

/** Snapshot of the store. */
interface Copy {
  readonly atMs: number
  readonly items: ReadonlyMap<string, Item>
  readonly leases: ReadonlyMap<number, number>
  readonly revision: number
  readonly nextLease: number
}

/**
 * Starts the store on a free port.
 *
 * @param host - loopback address to listen on
 * @returns the store once it listens
 */
export async function startFleetStore (host: string): Promise<FleetStore> {
  const items = new Map<string, Item>()
  const leases = new Map<number, { readonly ttlMs: number, timer: NodeJS.Timeout }>()
  const waiting = new Set<() => void>()
  let changes: Change[] = []
  let revision = 1
  let oldest = 0
  let nextLease = 1
  let failure: number | undefined
  let era = 1
  let isAway = false
  let calls = 0
  let copies: Copy[] = []

  function keepCopy (): void {
    const atMs = performance.now()
    copies = [...copies.filter((copy) => atMs - copy.atMs < COPIES_MS), { atMs, items: new Map(items), leases: new Map([...leases].map(([id, { ttlMs }]) => [id, ttlMs])), revision, nextLease }]
  }

  function copyBefore (atMs: number): Copy {
    const older = copies.filter((copy) => copy.atMs <= atMs)
    return older.at(-1) ?? copies[0] ?? { atMs, items: new Map(), leases: new Map(), revision: 1, nextLease: 1 }
  }

  async function restore ({ awayMs, copyAgeMs }: { readonly awayMs: number, readonly copyAgeMs: number }): Promise<void> {
    const copy = copyBefore(performance.now() - copyAgeMs)
    isAway = true
    server.resetAll()
    await sleep(awayMs)
    for (const { timer } of leases.values()) clearTimeout(timer)
    leases.clear()
    items.clear()
    for (const [key, item] of copy.items) items.set(key, item)
    changes = changes.filter((change) => change.revision <= copy.revision)
    copies = copies.filter(({ atMs }) => atMs <= copy.atMs)
    revision = copy.revision
    nextLease = copy.nextLease
    for (const [lease, ttlMs] of copy.leases) keepLease(lease, ttlMs)
    era += 1
    isAway = false
  }

  function record (change: Change): void {
    changes.push(change)
    keepCopy()
    for (const wake of [...waiting]) wake()
  }

  function putItem (key: string, value: string, lease: number): void {
    revision += 1
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    record(item)
  }

  function removeItem (key: string): void {
    if (!items.delete(key)) return
    revision += 1
    record({ key, revision, deleted: true })
  }

  function endLease (lease: number): void {
    clearTimeout(leases.get(lease)?.timer)
    leases.delete(lease)
    for (const item of [...items.values()]) if (item.lease === lease) removeItem(item.key)
  }

  function keepLease (lease: number, ttlMs: number): void {
    clearTimeout(leases.get(lease)?.timer)
    leases.set(lease, { ttlMs, timer: setTimeout(() => endLease(lease), ttlMs) })
  }

  function range (query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path-prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => (a.key < b.key ? -1 : 1))
    answerJson(response, 200, { items: found.slice(0, PAGE_ITEMS), 'has-more': found.length > PAGE_ITEMS, 'store-revision': revision })
  }

  function watch (query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path-prefix') ?? ''
    const after = Number(query.get('after'))
    const events = (): Change[] => changes.filter((change) => change.revision > after && change.key.startsWith(prefix))
    if (after < oldest || after > revision) return answerJson(response, 410, {})
    const finish = (): void => {
      clearTimeout(timer)
      waiting.delete(wake)
      answerJson(response, 200, { events: events(), 'store-revision': revision })
    }
    const wake = (): void => { if (events().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait-ms')))
    waiting.add(wake)
    response.once('close', () => {
      clearTimeout(timer)
      waiting.delete(wake)
    })
    wake()
  }

  function write (txn: Txn, response: ServerResponse): void {
    const { precondition = [], puts = [], remove = [] } = txn
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return answerJson(response, 404, {})
    if (precondition.some((row) => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
      return answerJson(response, 412, { items: precondition.flatMap(({ key }) => items.get(key) ?? []) })
    }
    for (const { key, lease = 0, value } of puts) putItem(key, value, lease)
    remove.forEach(removeItem)
    answerJson(response, 200, { revision })
  }

  const server = await startFleetServer(host, (request, body, response) => {
    calls += 1
    if (isAway) {
      request.socket.resetAndDestroy()
      return
    }
    response.setHeader('store-era', era)
    if (failure !== undefined) return answerJson(response, failure, {})
    const url = new URL(request.url ?? '/', 'http://store')
    const [, , call = '', id = ''] = url.pathname.split('/')
    const json = (): never => JSON.parse(body.toString() || '{}') as never
    const lease = Number(id)
    const handlers: Readonly<Record<string, () => void>> = {
      'kv-key': () => {
        const item = items.get(url.searchParams.get('key') ?? '')
        answerJson(response, item === undefined ? 404 : 200, { ...item, 'store-revision': revision })
      },
      'kv-range': () => range(url.searchParams, response),
      'kv-watch': () => watch(url.searchParams, response),
      'kv-txn': () => write(json(), response),
      'kv-lease': () => {
        const ttlMs = json()['ttl-ms'] as number
        keepLease(nextLease, ttlMs)
        answerJson(response, 200, { lease: nextLease++, 'ttl-ms': ttlMs })
      },
      'kv-keep': () => {
        const known = leases.get(lease)
        if (known !== undefined) keepLease(lease, known.ttlMs)
        answerJson(response, known === undefined ? 404 : 200, { 'ttl-ms': known?.ttlMs })
      },
      'kv-lease-end': () => {
        endLease(lease)
        answerJson(response, 200, {})
      }
    }
    const handle = handlers[call]
    if (handle === undefined) answerJson(response, 404, {})
    else handle()
  })

  return {
    ...server,
    put: (key, value) => putItem(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0),
    remove: removeItem,
    restore,
    era: () => era,
    calls: () => calls,
    documents: () => [...items.values()].map(({ key, value }) => ({ key, value: Buffer.from(value, 'base64').toString() })),
    fail: (status) => { failure = status },
    compact: () => {
      oldest = revision
      changes = []
    },
    close: async () => {
      for (const { timer } of leases.values()) clearTimeout(timer)
      await server.close()
    }
  }
}
