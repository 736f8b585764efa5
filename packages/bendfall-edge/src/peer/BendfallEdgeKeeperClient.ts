/**
 * Calls the entry that is the elected leader for a key. The leader is discovered by a watch on
 * the key-value service, and the client backs off while the leader responds slowly.
 *
 * @module
 */
import type { AnsweringSessionManager, Clock, Logger } from 'bendfall-node'
import type { KeyValueEntry } from 'bendfall-platform'
import { withTimeout } from '../ledger/BendfallEdgeLedgerMessages.js'
import { decodeKeeper } from './BendfallEdgeKeeperPlace.js'
import type { KeeperPlace } from './BendfallEdgeKeeperPlace.js'
import { createPeerSession } from './BendfallEdgePeerSession.js'

/** Default timeout of a call, and the time after which the leader counts as slow. */
const CALL_TIMEOUT_MS = 80

/** Time for which a slow leader receives no calls, except those that ignore the backoff. */
const BACKOFF_MS = 250

/** Options of a client. */
export interface KeeperClientOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which makes no calls to itself. */
  readonly own: KeeperPlace
  /** Key that holds the leader's endpoint. */
  readonly key: string
}

/** Makes one call over a connection to the leader, with a timeout. */
export type KeeperCall<T> = (session: AnsweringSessionManager, options: { readonly timeoutMs: number }) => Promise<T>

/** Timeout and backoff of a single request. */
export interface KeeperAskOptions {
  /** Maximum wait for the response; absent: {@link CALL_TIMEOUT_MS}. */
  readonly longestMs?: number
  /** Whether the call is made even while the client backs off from a slow leader. */
  readonly ignoresPause?: boolean
}

/** Client of an elected leader. */
export interface KeeperClient {
  /** @returns endpoint of the leader by the last update from the key-value service */
  readonly place: () => KeeperPlace | undefined
  /**
   * Applies an update from the watch on the key-value service.
   *
   * @returns whether the leader changed, to another entry or to none
   */
  readonly learn: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => boolean
  /** @returns the leader's response; undefined when it timed out or failed, or when no other entry is the leader */
  readonly ask: <T>(makeCall: KeeperCall<T>, options?: KeeperAskOptions) => Promise<T | undefined>
  /** Sends a message to the leader without waiting for the response. */
  readonly tell: (makeCall: KeeperCall<unknown>) => void
  readonly close: () => void
}

interface KnownLeader {
  readonly endpoint: KeeperPlace
  readonly session: AnsweringSessionManager
  backoffUntilMs: number
}

/**
 * Creates a client whose leader is unknown until the first update.
 *
 * @param options - key of the leader and endpoint of this entry
 * @returns the client
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
