/**
 * Serves PeerService: what every process answers, whatever its role. The
 * answers themselves come from the features that own the data.
 *
 * @module
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { ConnectRouter } from '@connectrpc/connect'
import type { FetchConfigRequest, FetchConfigResponse, StatusResponse, TimelineEventSchema } from 'bendfall-protocol'
import { PeerService } from 'bendfall-protocol'
import type { SenderClock } from './BendfallNodeSender.js'

type Unsent<T> = Partial<Omit<T, '$typeName' | '$unknown' | 'sender'>>

/** Where the answers come from. */
export interface PeerHandlers {
  /**
   * @param request - what the asker has
   * @param left - aborted when the asker no longer waits
   */
  readonly fetchConfig: (request: FetchConfigRequest, left: AbortSignal) => Unsent<FetchConfigResponse> | Promise<Unsent<FetchConfigResponse>>
  readonly status: () => Unsent<StatusResponse>
  /** @param subject - request or intent; empty for all */
  readonly timeline: (subject: string) => ReadonlyArray<MessageInitShape<typeof TimelineEventSchema>>
  /** Starts a graceful shutdown. */
  readonly drain: () => void
}

/**
 * Serves PeerService on a router.
 *
 * @param router - router of the process's peer server
 * @param sender - stamps and observes messages
 * @param handlers - where the answers come from
 */
export function registerPeerServer (router: ConnectRouter, sender: SenderClock, handlers: PeerHandlers): void {
  router.service(PeerService, {
    fetchConfig: async (request, { signal }) => {
      sender.observe(request.sender)
      const answer = await handlers.fetchConfig(request, signal)
      return { ...answer, sender: sender.stamp() }
    },
    status: (request) => {
      sender.observe(request.sender)
      return { ...handlers.status(), sender: sender.stamp() }
    },
    timeline: (request) => {
      sender.observe(request.sender)
      return { events: [...handlers.timeline(request.subject)], sender: sender.stamp() }
    },
    drain: (request) => {
      sender.observe(request.sender)
      handlers.drain()
      return { sender: sender.stamp() }
    }
  })
}
