/**
 * Stand-in for the weight store, which limits the rate and the number of
 * concurrent loads.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { startServer } from './BendfallFakesServer.js'
import type { Exchange, JsonReply, ListenOptions, StandIn } from './BendfallFakesServer.js'

const DEFAULT_BYTES_PER_SECOND = 10_000_000_000
const DEFAULT_MAX_LOADS = 4
const DEFAULT_RETRY_AFTER_MS = 200
const MS_PER_SECOND = 1_000

/** Settings of the stand-in. */
export interface WeightStoreOptions extends ListenOptions {
  /** Bandwidth of one load. */
  readonly bytesPerSecond?: number
  /** Maximum number of concurrent loads; further ones are rejected with 429. */
  readonly maxLoads?: number
  readonly retryAfterMs?: number
}

/** The running stand-in. */
export interface WeightStoreStandIn extends StandIn {
  /** Returns the numbers of completed and rejected loads, as `GET /control/loads` does. */
  readonly loads: () => { readonly done: number, readonly refused: number }
}

/**
 * Starts the stand-in. `GET /weights/<model>?bytes=N` responds after the time that
 * the transfer of the weights would take; the bytes themselves are not sent.
 *
 * @param options - bandwidth, limits and where to listen
 * @returns the running stand-in
 * @throws when the port cannot be bound
 */
export async function createWeightStoreStandIn (options: WeightStoreOptions = {}): Promise<WeightStoreStandIn> {
  const bytesPerSecond = options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND
  const retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS
  let active = 0
  let done = 0
  let refused = 0

  async function load (exchange: Exchange): Promise<JsonReply> {
    if (active >= (options.maxLoads ?? DEFAULT_MAX_LOADS)) {
      refused += 1
      return { status: 429, body: { type: 'busy', retryAfterMs } }
    }
    const bytes = Number(exchange.query.get('bytes'))
    active += 1
    await sleep(bytes / bytesPerSecond * MS_PER_SECOND, undefined, { ref: false })
    active -= 1
    done += 1
    return { body: { type: 'loaded', bytes } }
  }

  const standIn = await startServer(options, {
    routes: { 'GET /weights/*': load, 'GET /control/loads': () => ({ body: { done, refused } }) }
  })
  return { ...standIn, loads: () => ({ done, refused }) }
}
