/**
 * Calls the entry that is the elected leader for a key. The leader is discovered by a watch on
 * the key-value service, and the client backs off while the leader responds slowly.
 *
 * @module
 */
import { scheduleTimeout } from 'bendfall-node'
import type { AnsweringSessionManager, Clock, Logger } from 'bendfall-node'
import type { KeyValueEntry } from 'bendfall-platform'
import { withTimeout } from '../ledger/BendfallEdgeLedgerMessages.js'
import { decodeLeaderEndpoint } from './BendfallEdgeLeaderEndpoint.js'
import type { LeaderEndpoint } from './BendfallEdgeLeaderEndpoint.js'
import { createPeerSession } from './BendfallEdgePeerSession.js'

/** Default timeout of a call, and the time after which the leader counts as slow. */
const CALL_TIMEOUT_MS = 80

/** Time for which a slow leader receives no calls, except those that ignore the backoff. */
const BACKOFF_MS = 250

/** Time for which updates older than a direct read are ignored; the watch reports a change within 500 ms. */
const READ_PRECEDENCE_MS = 2_000

/** Options of a client. */
export interface LeaderClientOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Endpoint of this entry, which makes no calls to itself. */
  readonly own: LeaderEndpoint
  /** Key that holds the leader's endpoint. */
  readonly key: string
  /** Called after a call to the leader failed or timed out. */
  readonly onUnreachable?: () => void
}

/** Makes one call over a connection to the leader, with a timeout. */
export type LeaderCall<T> = (session: AnsweringSessionManager, options: { readonly timeoutMs: number }) => Promise<T>

/** Timeout and backoff of a single request. */
export interface LeaderRequestOptions {
  /** Maximum wait for the response; absent: {@link CALL_TIMEOUT_MS}. */
  readonly timeoutMs?: number
  /** Whether the call is made even while the client backs off from a slow leader. */
  readonly ignoresBackoff?: boolean
}

/** Client of an elected leader. */
export interface LeaderClient {
  /** @returns endpoint of the leader by the last update from the key-value service */
  readonly endpoint: () => LeaderEndpoint | undefined
  /**
   * Applies an update from the watch on the key-value service.
   *
   * @returns whether the leader changed, to another entry or to none
   */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => boolean
  /**
   * Applies a direct read of the key, which may be ahead of the watch.
   *
   * @returns whether the leader changed
   */
  readonly applyRead: (entry: KeyValueEntry) => boolean
  /** @returns the leader's response; undefined when it timed out or failed, or when no other entry is the leader */
  readonly request: <T>(makeCall: LeaderCall<T>, options?: LeaderRequestOptions) => Promise<T | undefined>
  /** Sends a message to the leader without waiting for the response. */
  readonly notify: (makeCall: LeaderCall<unknown>) => void
  readonly close: () => void
}

interface KnownLeader {
  readonly endpoint: LeaderEndpoint
  readonly session: AnsweringSessionManager
  backoffUntilMs: number
}

/**
 * Creates a client whose leader is unknown until the first update.
 *
 * @param options - key of the leader and endpoint of this entry
 * @returns the client
 */
export function createLeaderClient ({ clock, key, logger, onUnreachable, own }: LeaderClientOptions): LeaderClient {
  let leader: KnownLeader | undefined
  let directRead: { readonly revision: number, readonly atMs: number } | undefined

  function setLeader (endpoint: LeaderEndpoint | undefined): boolean {
    if (leader?.endpoint.address === endpoint?.address && leader?.endpoint.instanceId === endpoint?.instanceId) return false
    leader?.session.abort()
    leader = endpoint === undefined ? undefined : { endpoint, session: createPeerSession(endpoint.address), backoffUntilMs: -Infinity }
    logger.info('keeper', { key, keeper: endpoint?.instanceId })
    return true
  }

  function applyUpdate (entries: readonly KeyValueEntry[], removedKeys: readonly string[]): boolean {
    const entry = entries.find((one) => one.key === key)
    if (entry === undefined) return removedKeys.includes(key) && setLeader(undefined)
    if (directRead !== undefined && entry.revision < directRead.revision && clock.nowMs() - directRead.atMs < READ_PRECEDENCE_MS) return false
    return applyEntry(entry)
  }

  function applyRead (entry: KeyValueEntry): boolean {
    directRead = { revision: entry.revision, atMs: clock.nowMs() }
    return applyEntry(entry)
  }

  function applyEntry (entry: KeyValueEntry): boolean {
    const endpoint = decodeLeaderEndpoint(entry.value, key)
    if (endpoint.isErr()) logger.warn('keeper_unreadable', { key, revision: entry.revision, detail: endpoint.error })
    return setLeader(endpoint.unwrapOr(undefined))
  }

  async function request <T> (makeCall: LeaderCall<T>, { ignoresBackoff = false, timeoutMs = CALL_TIMEOUT_MS }: LeaderRequestOptions = {}): Promise<T | undefined> {
    const target = leader
    if (target === undefined || target.endpoint.instanceId === own.instanceId) return undefined
    if (target.backoffUntilMs > clock.nowMs() && !ignoresBackoff) return undefined
    const cancelBackoff = scheduleTimeout(clock, CALL_TIMEOUT_MS, () => startBackoff(target))
    try {
      return await withTimeout(makeCall(target.session, { timeoutMs }), timeoutMs)
    } catch (error) {
      logger.warn('keeper_unreachable', { key, keeper: target.endpoint.instanceId, error })
      startBackoff(target)
      onUnreachable?.()
      return undefined
    } finally {
      cancelBackoff()
    }
  }

  function startBackoff (target: KnownLeader): void {
    target.backoffUntilMs = clock.nowMs() + BACKOFF_MS
  }

  function notify (makeCall: LeaderCall<unknown>): void {
    if (leader === undefined) return
    const { endpoint, session } = leader
    makeCall(session, { timeoutMs: CALL_TIMEOUT_MS }).catch((error: unknown) => {
      logger.debug('keeper_not_told', { key, keeper: endpoint.instanceId, error })
    })
  }

  return { endpoint: () => leader?.endpoint, applyUpdate, applyRead, request, notify, close: () => leader?.session.abort() }
}
