/**
 * Stand-in for a plain service that counts how often each call ran, so that tests
 * can detect lost and repeated runs.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { startServer } from './BendfallFakesServer.js'
import type { Exchange, JsonReply, ListenOptions, StandIn } from './BendfallFakesServer.js'

/** Settings of the stand-in. */
export interface ServiceOptions extends ListenOptions {
  /** Delay between the run of a call and its response. */
  readonly latencyMs?: number
}

/** Numbers of runs; a call counts as run once its request was read completely. */
export interface ServiceRuns {
  readonly total: number
  /** Runs by value of the `Idempotency-Key` header. */
  readonly byKey: Readonly<Record<string, number>>
  /** Runs by `METHOD /path`. */
  readonly byPath: Readonly<Record<string, number>>
}

/** The running stand-in. */
export interface ServiceStandIn extends StandIn {
  /** Returns the numbers of runs, as `GET /control/runs` does. */
  readonly runs: () => ServiceRuns
}

/**
 * Starts the stand-in.
 *
 * @param options - latency and where to listen
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function createServiceStandIn (options: ServiceOptions = {}): Promise<ServiceStandIn> {
  const latencyMs = options.latencyMs ?? 0
  const byKey = new Map<string, number>()
  const byPath = new Map<string, number>()
  let total = 0

  const runs = (): ServiceRuns => ({ total, byKey: Object.fromEntries(byKey), byPath: Object.fromEntries(byPath) })

  async function run (exchange: Exchange): Promise<JsonReply> {
    const key = String(exchange.headers['idempotency-key'] ?? '')
    total += 1
    if (key !== '') increment(byKey, key)
    const pathRuns = increment(byPath, `${exchange.method} ${exchange.path}`)
    if (latencyMs > 0) await sleep(latencyMs, undefined, { ref: false })
    return { body: { method: exchange.method, path: exchange.path, key, run: total, pathRun: pathRuns, received: exchange.body.toString('utf8') } }
  }

  const standIn = await startServer(options, {
    routes: { 'GET /control/runs': () => ({ body: runs() }) },
    fallback: run
  })
  return { ...standIn, runs }
}

function increment (counts: Map<string, number>, name: string): number {
  const count = (counts.get(name) ?? 0) + 1
  counts.set(name, count)
  return count
}
