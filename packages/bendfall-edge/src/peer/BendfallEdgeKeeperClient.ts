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
const CALL_TIMEOUT_MS = 80

/** While a keeper is slow it is not asked, for so long. */
const BACKOFF_MS = 250

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
  readonly learn: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => boolean
  /** @returns the keeper's answer; undefined when there is none in time, or no other entry to ask */
  readonly ask: <T>(makeCall: KeeperCall<T>, options?: KeeperAskOptions) => Promise<T | undefined>
  /** Tells the keeper what needs no answer. */
  readonly tell: (makeCall: KeeperCall<unknown>) => void
  readonly close: () => void
}

interface KnownLeader {
  readonly endpoint: KeeperPlace
  readonly session: AnsweringSessionManager
  backoffUntilMs: number
}

/**
 * Makes the way to a keeper that is not known yet.
 *
 * @param options - key and this entry
 * @returns the way
 */
export function createKeeperClient ({ clock, key, logger, own }: KeeperClientOptions): KeeperClient {
  let leader: KnownLeader | undefined

  function setLeader (endpoint: KeeperPlace | undefined): boolean {
    if (leader?.endpoint.address === endpoint?.address && leader?.endpoint.instanceId === endpoint?.instanceId) return false
    leader?.session.abort()
    leader = endpoint === undefined ? undefined : { endpoint, session: createPeerSession(endpoint.address), backoffUntilMs: -Infinity }
    logger.info('keeper', { key, keeper: endpoint?.instanceId })
    return true
  }

  function learn (entries: readonly KeyValueEntry[], removedKeys: readonly string[]): boolean {
    const entry = entries.find((one) => one.key === key)
    if (entry === undefined) return removedKeys.includes(key) && setLeader(undefined)
    const endpoint = decodeKeeper(entry.value, key)
    if (endpoint.isErr()) logger.warn('keeper_unreadable', { key, revision: entry.revision, detail: endpoint.error })
    return setLeader(endpoint.unwrapOr(undefined))
  }

  async function ask <T> (makeCall: KeeperCall<T>, { ignoresPause = false, longestMs = CALL_TIMEOUT_MS }: KeeperAskOptions = {}): Promise<T | undefined> {
    const target = leader
    if (target === undefined || target.endpoint.instanceId === own.instanceId) return undefined
    if (target.backoffUntilMs > clock.nowMs() && !ignoresPause) return undefined
    const cancelBackoff = clock.callAt(clock.nowMs() + CALL_TIMEOUT_MS, () => startBackoff(target))
    try {
      return await withTimeout(makeCall(target.session, { timeoutMs: longestMs }), longestMs)
    } catch (error) {
      logger.warn('keeper_unreachable', { key, keeper: target.endpoint.instanceId, error })
      startBackoff(target)
      return undefined
    } finally {
      cancelBackoff()
    }
  }

  function startBackoff (target: KnownLeader): void {
    target.backoffUntilMs = clock.nowMs() + BACKOFF_MS
  }

  function tell (makeCall: KeeperCall<unknown>): void {
    if (leader === undefined) return
    const { endpoint, session } = leader
    makeCall(session, { timeoutMs: CALL_TIMEOUT_MS }).catch((error: unknown) => {
      logger.debug('keeper_not_told', { key, keeper: endpoint.instanceId, error })
    })
  }

  return { place: () => leader?.endpoint, learn, ask, tell, close: () => leader?.session.abort() }
}
