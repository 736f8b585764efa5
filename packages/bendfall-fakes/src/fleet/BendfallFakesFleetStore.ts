/**
 * Stand-in for the key-value store of the users' platform, with revisions, paged ranges, watches,
 * conditional writes, leases and restores from a backup.
 *
 * @module
 */
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FleetServer } from './BendfallFakesFleetServer.js'
import { sendJson, startFleetServer } from './BendfallFakesFleetServer.js'

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
  readonly restore: (drill: { readonly backupAgeMs: number, readonly outageMs: number }) => Promise<void>
  /** @returns the era that responses carry */
  readonly era: () => number
  /** @returns the number of calls received so far */
  readonly calls: () => number
  /** @returns the same by method and subject, such as `kv-watch servers/` */
  readonly callCounts: () => ReadonlyMap<string, number>
  /** @returns all stored keys with their decoded values */
  readonly documents: () => ReadonlyArray<{ readonly key: string, readonly value: string }>
}

/** Retention time of backups. */
const BACKUP_RETENTION_MS = 10_000

/** Snapshot of the store. */
interface Backup {
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
  const pendingWatches = new Set<() => void>()
  let changes: Change[] = []
  let revision = 1
  let compactedRevision = 0
  let nextLease = 1
  let failure: number | undefined
  let era = 1
  let isUnavailable = false
  let calls = 0
  const callCounts = new Map<string, number>()
  let backups: Backup[] = []

  function recordBackup (): void {
    const atMs = performance.now()
    backups = [...backups.filter((backup) => atMs - backup.atMs < BACKUP_RETENTION_MS), { atMs, items: new Map(items), leases: new Map([...leases].map(([id, { ttlMs }]) => [id, ttlMs])), revision, nextLease }]
  }

  function findBackupBefore (atMs: number): Backup {
    const older = backups.filter((backup) => backup.atMs <= atMs)
    return older.at(-1) ?? backups[0] ?? { atMs, items: new Map(), leases: new Map(), revision: 1, nextLease: 1 }
  }

  async function restore ({ outageMs, backupAgeMs }: { readonly outageMs: number, readonly backupAgeMs: number }): Promise<void> {
    const backup = findBackupBefore(performance.now() - backupAgeMs)
    isUnavailable = true
    server.resetAll()
    await sleep(outageMs)
    for (const { timer } of leases.values()) clearTimeout(timer)
    leases.clear()
    items.clear()
    for (const [key, item] of backup.items) items.set(key, item)
    changes = changes.filter((change) => change.revision <= backup.revision)
    backups = backups.filter(({ atMs }) => atMs <= backup.atMs)
    revision = backup.revision
    nextLease = backup.nextLease
    for (const [lease, ttlMs] of backup.leases) startLeaseTimer(lease, ttlMs)
    era += 1
    isUnavailable = false
  }

  function recordChange (change: Change): void {
    changes.push(change)
    recordBackup()
    for (const wake of [...pendingWatches]) wake()
  }

  function putItem (key: string, value: string, lease: number): void {
    revision += 1
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    recordChange(item)
  }

  function removeItem (key: string): void {
    if (!items.delete(key)) return
    revision += 1
    recordChange({ key, revision, deleted: true })
  }

  function endLease (lease: number): void {
    clearTimeout(leases.get(lease)?.timer)
    leases.delete(lease)
    for (const item of [...items.values()]) if (item.lease === lease) removeItem(item.key)
  }

  function startLeaseTimer (lease: number, ttlMs: number): void {
    clearTimeout(leases.get(lease)?.timer)
    leases.set(lease, { ttlMs, timer: setTimeout(() => endLease(lease), ttlMs) })
  }

  function range (query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path-prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => (a.key < b.key ? -1 : 1))
    sendJson(response, 200, { items: found.slice(0, PAGE_ITEMS), 'has-more': found.length > PAGE_ITEMS, 'store-revision': revision })
  }

  function watch (query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path-prefix') ?? ''
    const after = Number(query.get('after'))
    const events = (): Change[] => changes.filter((change) => change.revision > after && change.key.startsWith(prefix))
    if (after < compactedRevision || after > revision) return sendJson(response, 410, {})
    const finish = (): void => {
      clearTimeout(timer)
      pendingWatches.delete(wake)
      sendJson(response, 200, { events: events(), 'store-revision': revision })
    }
    const wake = (): void => { if (events().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait-ms')))
    pendingWatches.add(wake)
    response.once('close', () => {
      clearTimeout(timer)
      pendingWatches.delete(wake)
    })
    wake()
  }

  function write (txn: Txn, response: ServerResponse): void {
    const { precondition = [], puts = [], remove = [] } = txn
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return sendJson(response, 404, {})
    if (precondition.some((row) => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
      return sendJson(response, 412, { items: precondition.flatMap(({ key }) => items.get(key) ?? []) })
    }
    for (const { key, lease = 0, value } of puts) putItem(key, value, lease)
    remove.forEach(removeItem)
    sendJson(response, 200, { revision })
  }

  const server = await startFleetServer(host, (request, body, response) => {
    calls += 1
    if (isUnavailable) {
      request.socket.resetAndDestroy()
      return
    }
    response.setHeader('store-era', era)
    if (failure !== undefined) return sendJson(response, failure, {})
    const url = new URL(request.url ?? '/', 'http://store')
    const [, , call = '', id = ''] = url.pathname.split('/')
    const subject = `${call} ${url.searchParams.get('path-prefix') ?? url.searchParams.get('key') ?? id}`
    callCounts.set(subject, (callCounts.get(subject) ?? 0) + 1)
    const json = (): never => JSON.parse(body.toString() || '{}') as never
    const lease = Number(id)
    const handlers: Readonly<Record<string, () => void>> = {
      'kv-key': () => {
        const item = items.get(url.searchParams.get('key') ?? '')
        sendJson(response, item === undefined ? 404 : 200, { ...item, 'store-revision': revision })
      },
      'kv-range': () => range(url.searchParams, response),
      'kv-watch': () => watch(url.searchParams, response),
      'kv-txn': () => write(json(), response),
      'kv-lease': () => {
        const ttlMs = json()['ttl-ms'] as number
        startLeaseTimer(nextLease, ttlMs)
        sendJson(response, 200, { lease: nextLease++, 'ttl-ms': ttlMs })
      },
      'kv-keep': () => {
        const known = leases.get(lease)
        if (known !== undefined) startLeaseTimer(lease, known.ttlMs)
        sendJson(response, known === undefined ? 404 : 200, { 'ttl-ms': known?.ttlMs })
      },
      'kv-lease-end': () => {
        endLease(lease)
        sendJson(response, 200, {})
      }
    }
    const handle = handlers[call]
    if (handle === undefined) sendJson(response, 404, {})
    else handle()
  })

  return {
    ...server,
    put: (key, value) => putItem(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0),
    remove: removeItem,
    restore,
    era: () => era,
    calls: () => calls,
    callCounts: () => callCounts,
    documents: () => [...items.values()].map(({ key, value }) => ({ key, value: Buffer.from(value, 'base64').toString() })),
    fail: (status) => { failure = status },
    compact: () => {
      compactedRevision = revision
      changes = []
    },
    close: async () => {
      for (const { timer } of leases.values()) clearTimeout(timer)
      await server.close()
    }
  }
}
