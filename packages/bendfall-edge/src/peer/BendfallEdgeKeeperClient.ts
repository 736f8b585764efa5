/**
 * Asks the entry that keeps something for all of them, wherever it is.
 *
 * @module
 */
import type { AnsweringSessionManager, Clock, Logger } from 'bendfall-node'
import type { KeyValueEntry } from 'bendfall-platform'
import { withTimeout } from '../ledger/BendfallEdgeLedgerMessages.js'
import { decodeKeeper } from './BendfallEdgeKeeperPlace.js'
import type { KeeperPlace } from './BendfallEdgeKeeperPlace.js'
import { createPeerSession } from './BendfallEdgePeerSession.js'

/** A keeper that takes longer counts as slow, and an ask is given up then unless it says otherwise. */
const ASK_TIMEOUT_MS = 80

/** While a keeper is slow it is not asked, for so long. */
const PAUSE_MS = 250

/** What a client needs. */
export interface KeeperClientOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** This entry, which needs no call to itself. */
  readonly own: KeeperPlace
  /** Key at which the keeper stands. */
  readonly key: string
}

/** Makes one call over a connection to the keeper, given up after a time. */
export type KeeperCall<T> = (session: AnsweringSessionManager, options: { readonly timeoutMs: number }) => Promise<T>

/** How long an ask may take. */
export interface KeeperAskOptions {
  /** The answer is waited for so long. */
  readonly longestMs?: number
  /** Whether a slow keeper is asked all the same. */
  readonly ignoresPause?: boolean
}

/** Way to a keeper. */
export interface KeeperClient {
  /** @returns the keeper by the last word of the key-value service */
  readonly place: () => KeeperPlace | undefined
  /**
   * Takes what the key-value service tells.
   *
   * @returns whether another entry is the keeper now, or none
   */
  readonly learn: (present: readonly KeyValueEntry[], goneKeys: readonly string[]) => boolean
  /** @returns the keeper's answer; undefined when there is none in time, or no other entry to ask */
  readonly ask: <T>(call: KeeperCall<T>, options?: KeeperAskOptions) => Promise<T | undefined>
  /** Tells the keeper what needs no answer. */
  readonly tell: (call: KeeperCall<unknown>) => void
  readonly close: () => void
}

interface Keeper {
  readonly place: KeeperPlace
  readonly session: AnsweringSessionManager
  pausedUntilMs: number
}

/**
 * Makes the way to a keeper that is not known yet.
 *
 * @param options - key and this entry
 * @returns the way
 */
export function createKeeperClient ({ clock, key, logger, own }: KeeperClientOptions): KeeperClient {
  let keeper: Keeper | undefined

  function set (place: KeeperPlace | undefined): boolean {
    if (keeper?.place.address === place?.address && keeper?.place.instanceId === place?.instanceId) return false
    keeper?.session.abort()
    keeper = place === undefined ? undefined : { place, session: createPeerSession(place.address), pausedUntilMs: -Infinity }
    logger.info('keeper', { key, keeper: place?.instanceId })
    return true
  }

  function learn (present: readonly KeyValueEntry[], goneKeys: readonly string[]): boolean {
    const entry = present.find((one) => one.key === key)
    if (entry === undefined) return goneKeys.includes(key) && set(undefined)
    const place = decodeKeeper(entry.value, key)
    if (place.isErr()) logger.warn('keeper_unreadable', { key, revision: entry.revision, detail: place.error })
    return set(place.unwrapOr(undefined))
  }

  async function ask <T> (call: KeeperCall<T>, { ignoresPause = false, longestMs = ASK_TIMEOUT_MS }: KeeperAskOptions = {}): Promise<T | undefined> {
    const asked = keeper
    if (asked === undefined || asked.place.instanceId === own.instanceId) return undefined
    if (asked.pausedUntilMs > clock.nowMs() && !ignoresPause) return undefined
    const cancelPause = clock.callAt(clock.nowMs() + ASK_TIMEOUT_MS, () => pause(asked))
    try {
      return await withTimeout(call(asked.session, { timeoutMs: longestMs }), longestMs)
    } catch (error) {
      logger.warn('keeper_unreachable', { key, keeper: asked.place.instanceId, error })
      pause(asked)
      return undefined
    } finally {
      cancelPause()
    }
  }

  function pause (asked: Keeper): void {
    asked.pausedUntilMs = clock.nowMs() + PAUSE_MS
  }

  function tell (call: KeeperCall<unknown>): void {
    if (keeper === undefined) return
    const { place, session } = keeper
    call(session, { timeoutMs: ASK_TIMEOUT_MS }).catch((error: unknown) => {
      logger.debug('keeper_not_told', { key, keeper: place.instanceId, error })
    })
  }

  return { place: () => keeper?.place, learn, ask, tell, close: () => keeper?.session.abort() }
}
