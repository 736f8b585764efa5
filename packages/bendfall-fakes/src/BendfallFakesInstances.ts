/**
 * Stand-in for the platform's instance list, which shows changes after a lag.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import type { InstanceRecord } from 'bendfall-core'
import { startServer } from './BendfallFakesServer.js'
import type { JsonReply, ListenOptions, StandIn } from './BendfallFakesServer.js'

/** Settings of the stand-in. */
export interface InstanceListOptions extends ListenOptions {
  /** Initial instances. */
  readonly instances?: readonly InstanceRecord[]
  /** Delay until a change becomes visible. */
  readonly lagMs?: number
  /** Supports conditional requests (`If-None-Match`) and compression. Default true. */
  readonly isConditional?: boolean
}

/** The running stand-in. */
export interface InstanceListStandIn extends StandIn {
  /** Replaces the list after a lag, as `POST /control/instances` does. */
  readonly setInstances: (instances: readonly InstanceRecord[], lagMs?: number) => void
}

interface ListVersion {
  readonly etag: string
  readonly visibleAtMs: number
  readonly instances: readonly InstanceRecord[]
}

/**
 * Starts the stand-in.
 *
 * @param options - initial instances, lag and where to listen
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function createInstanceListStandIn (options: InstanceListOptions = {}): Promise<InstanceListStandIn> {
  let versions: ListVersion[] = [{ etag: createEtag(), visibleAtMs: 0, instances: options.instances ?? [] }]

  function setInstances (instances: readonly InstanceRecord[], lagMs = options.lagMs ?? 0): void {
    versions.push({ etag: createEtag(), visibleAtMs: performance.now() + lagMs, instances })
  }

  function currentVersion (): ListVersion {
    const nowMs = performance.now()
    const latest = versions.findLastIndex((version) => version.visibleAtMs <= nowMs)
    versions = versions.slice(latest)
    return versions[0]
  }

  function reply (knownEtag: string | undefined): JsonReply {
    const { etag, instances } = currentVersion()
    const body = { type: 'listed', instances }
    if (options.isConditional === false) return { body }
    if (knownEtag === etag) return { status: 304, headers: { etag }, body: undefined }
    return { headers: { etag }, isCompressible: true, body }
  }

  const standIn = await startServer(options, {
    routes: {
      'GET /instances': ({ headers }) => reply(headers['if-none-match']),
      'POST /control/instances': (exchange) => {
        const { instances, lagMs } = exchange.json<{ instances: InstanceRecord[], lagMs?: number }>()
        setInstances(instances, lagMs)
        return { body: {} }
      }
    }
  })
  return { ...standIn, setInstances }
}

function createEtag (): string {
  return `"${randomUUID()}"`
}
