/**
 * Reports the connections of entries and their heartbeats as events.
 *
 * @module
 */
import type { ServerHttp2Session } from 'node:http2'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { Teardown } from '../runtime/BendfallNodeTeardown.js'
import { decodeHeartbeat } from './BendfallNodeHeartbeat.js'
import type { StreamRoutes } from './BendfallNodePeerListener.js'

/**
 * Reports connections from their first heartbeat to their end. Connections
 * without heartbeats are those of other peers.
 *
 * @param streams - connections of the process's peer server
 * @param runtime - update path; gets the events
 * @returns teardown
 */
export function registerEntrySessions (streams: StreamRoutes, runtime: Runtime): Teardown {
  let connections = 0
  return streams.onSession((session) => {
    connections += 1
    reportSession(session, String(connections), runtime)
  })
}

function reportSession (session: ServerHttp2Session, connectionId: string, runtime: Runtime): void {
  let entryIncarnation: string | undefined
  session.on('ping', (payload: Buffer) => {
    const digest = decodeHeartbeat(payload)
    if (digest === undefined) return
    const type = entryIncarnation === undefined ? 'entry_connected' : 'entry_heartbeat'
    entryIncarnation ??= digest
    runtime.dispatch({ type, connectionId, entryIncarnation })
  })
  session.once('close', () => {
    if (entryIncarnation !== undefined) runtime.dispatch({ type: 'entry_lost', connectionId, entryIncarnation })
  })
}
