/**
 * Handles the effects that write the origin of a stream to other processes and ask them for it, and
 * serves such calls. Each origin is kept by one sidecar and one entry besides the one that relays the
 * stream, so that it survives either kind of process. What survives the loss of both is a record of the software that may
 * have begun any stream.
 *
 * @module
 */
import { callUnary, combineTeardowns } from 'bendfall-node'
import type { AnsweringSessionManager, Logger, StreamRoutes, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { OriginService } from 'bendfall-protocol'
import { createOriginHolders, holdersToAsk, holdersToTell, updateOriginHolders } from 'bendfall-router'
import type { OriginHolders, OriginOutcome, Replica, RouterEffect, RouterEffectOf, RouterEvent, StreamOrigins } from 'bendfall-router'
import { withTimeout } from '../ledger/BendfallEdgeLedgerMessages.js'
import type { LeaderEndpoint } from '../peer/BendfallEdgeLeaderEndpoint.js'
import { createPeerSession } from '../peer/BendfallEdgePeerSession.js'
import { registerEntry } from './BendfallEdgeEntryRegistration.js'
import { createEntryList } from './BendfallEdgeEntryList.js'
import { serveOrigins } from './BendfallEdgeOriginServer.js'
import { registerResumableRecord } from './BendfallEdgeResumableRecord.js'

/** Options of the origins. */
export interface OriginOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
  /** Endpoint of this entry, at which it serves the others. */
  readonly own: LeaderEndpoint
  /** Port on which sidecars listen, the same on all instances. */
  readonly sidecarPort: number
  /** Origins that this entry remembers. */
  readonly origins: StreamOrigins
}

/** Origins of a running entry. */
export interface Origins {
  /** Registers the handlers of calls by other entries. */
  readonly serve: (streams: StreamRoutes) => void
  /** Applies an update from the watch on the key-value service. */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  /** Sets the model replicas beside which sidecars run. */
  readonly setReplicas: (replicas: readonly Replica[]) => void
  /** Takes this entry off the list of entries before the process stops. */
  readonly resign: Teardown
  readonly close: Teardown
}

/** Timeout of a write: the caller may resume the stream soon. */
const RECORD_TIMEOUT_MS = 250

/** Timeout of a question; a sidecar limited to its CPU share takes up to 100 ms, a lost packet 200 ms. */
const FIND_TIMEOUT_MS = 400

/** Time for which nothing is written to a process that did not answer. */
const HOLDER_BACKOFF_MS = 1_000

/**
 * Registers the effects `record_origin` and `find_origin`, and this entry in the list of entries.
 *
 * @param options - update loop, key-value service and endpoint of this entry
 * @returns the origins
 */
export function registerOrigins (options: OriginOptions): Origins {
  const { logger, loop, origins, own, sidecarPort } = options
  const { clock } = loop
  const sidecars = createOriginHolders()
  const entries = createOriginHolders()
  const sessions = new Map<string, AnsweringSessionManager>()
  const silentAtMs = new Map<string, number>()
  const entryList = createEntryList(logger)
  const registration = registerEntry({ ...options, clock })
  const resumable = registerResumableRecord(options)

  function sessionOf (address: string): AnsweringSessionManager {
    const session = sessions.get(address) ?? createPeerSession(address)
    sessions.set(address, session)
    return session
  }

  function setHolders (holders: OriginHolders, listed: ReadonlyMap<string, boolean>): void {
    updateOriginHolders(holders, listed, clock.nowMs())
    for (const [address, session] of sessions) {
      if (sidecars.members.has(address) || entries.members.has(address)) continue
      sessions.delete(address)
      silentAtMs.delete(address)
      session.abort()
    }
  }

  // Returns the first process that now remembers the origin; undefined if none could be reached.
  async function tell (addresses: readonly string[], { requestId, software }: RouterEffectOf<'record_origin'>): Promise<string | undefined> {
    for (const address of addresses) {
      if (clock.nowMs() - (silentAtMs.get(address) ?? -Infinity) < HOLDER_BACKOFF_MS) continue
      const session = sessionOf(address)
      try {
        await withTimeout(callUnary(session, OriginService.method.record, { requestId, software }, { timeoutMs: RECORD_TIMEOUT_MS }), RECORD_TIMEOUT_MS)
        return address
      } catch (error) {
        logger.debug('origin_not_recorded', { request: requestId, holder: address, error })
        silentAtMs.set(address, clock.nowMs())
        session.abort()
      }
    }
    return undefined
  }

  // Where one kind of process can't be reached, two of the other kind remember the origin.
  async function record (effect: RouterEffectOf<'record_origin'>): Promise<void> {
    const choices = [sidecars, entries].map((holders) => holdersToTell(holders, effect.requestId, own.address))
    const told = await Promise.all(choices.map((addresses) => tell(addresses, effect)))
    if (told.includes(undefined)) await tell(choices.flat().filter((address) => !told.includes(address)), effect)
  }

  async function ask (address: string, requestId: string): Promise<OriginOutcome> {
    const session = sessionOf(address)
    try {
      const { software } = await withTimeout(callUnary(session, OriginService.method.find, { requestId }, { timeoutMs: FIND_TIMEOUT_MS }), FIND_TIMEOUT_MS)
      return software === undefined ? { type: 'unknown', silentHolders: 0 } : { type: 'found', software }
    } catch (error) {
      logger.info('origin_holder_silent', { request: requestId, holder: address, error })
      session.abort()
      return { type: 'unknown', silentHolders: 1 }
    }
  }

  // The first holder that knows the origin decides.
  function find (requestId: string): Promise<OriginOutcome> {
    const addresses = [sidecars, entries].flatMap((holders) => holdersToAsk(holders, requestId, own.address))
    return new Promise((resolve) => {
      let silentHolders = 0
      const answers = addresses.map(async (address) => {
        const answer = await ask(address, requestId)
        if (answer.type === 'found') resolve(answer)
        else silentHolders += answer.silentHolders
      })
      Promise.all(answers).then(() => resolve({ type: 'unknown', silentHolders }), (error: unknown) => {
        logger.error('origin_question_failed', { request: requestId, error })
        resolve({ type: 'unknown', silentHolders: addresses.length })
      })
    })
  }

  const unregister = combineTeardowns([
    loop.registerEffect('record_origin', (effect) => {
      record(effect).catch((error: unknown) => logger.error('origin_record_failed', { request: effect.requestId, error }))
    }),
    loop.registerEffect('find_origin', ({ attempt, key, requestId }) => {
      find(requestId).then((outcome) => loop.dispatch({ type: 'origin_answered', key, attempt, outcome }), (error: unknown) => logger.error('origin_question_failed', { request: requestId, error }))
    })
  ])

  return {
    serve: (streams) => serveOrigins(streams, origins, clock),
    applyUpdate: (documents, removedKeys) => {
      if (entryList.applyUpdate(documents, removedKeys)) setHolders(entries, new Map(entryList.addresses().map((address) => [address, true])))
      if (removedKeys.includes(registration.key)) registration.renew()
      resumable.applyUpdate(documents, removedKeys)
    },
    setReplicas: (replicas) => {
      setHolders(sidecars, new Map(replicas.map(({ address, isDraining }) => [`${address.slice(0, address.lastIndexOf(':'))}:${sidecarPort}`, !isDraining])))
    },
    resign: registration.close,
    close: combineTeardowns([unregister, registration.close, resumable.close, () => { for (const session of sessions.values()) session.abort() }])
  }
}
