/**
 * Serves calls that record the origin of a stream or ask for it.
 *
 * @module
 */
import { serveUnary } from 'bendfall-node'
import type { Clock, StreamRoutes } from 'bendfall-node'
import { OriginService } from 'bendfall-protocol'
import { findOrigin, recordOrigin } from 'bendfall-router'
import type { StreamOrigins } from 'bendfall-router'

/**
 * Registers the handlers on a connection.
 *
 * @param streams - routes of the connection
 * @param origins - origins that this process remembers
 * @param clock - clock of the process
 */
export function serveOrigins (streams: StreamRoutes, origins: StreamOrigins, clock: Clock): void {
  serveUnary(streams, OriginService.method.record, ({ requestId, software }) => {
    recordOrigin(origins, requestId, software, clock.nowMs())
    return {}
  })
  serveUnary(streams, OriginService.method.find, ({ requestId }) => ({ software: findOrigin(origins, requestId) }))
}
