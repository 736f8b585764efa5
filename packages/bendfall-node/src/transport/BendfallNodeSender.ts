/**
 * The one place that stamps outgoing messages and observes incoming ones:
 * Lamport clock, configuration version and identity of the sender.
 *
 * @module
 */
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { InstanceId } from 'bendfall-core'
import type { Sender, SenderSchema } from 'bendfall-protocol'
import type { LamportClock } from '../observe/index.js'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'

/** Sender as it goes into a message. */
export type SenderInit = MessageInitShape<typeof SenderSchema>

/** Told of every configuration version that a peer is known to have. */
export type PeerVersionListener = (instanceId: InstanceId, configVersion: number) => void

/** Stamps and observes the senders of messages. */
export interface SenderClock {
  /** Makes the sender of an outgoing message; advances the Lamport clock. */
  readonly stamp: () => SenderInit
  /** Takes in the sender of a message that arrived. */
  readonly observe: (sender: Sender | undefined) => void
}

/**
 * Makes the sender clock of a process.
 *
 * @param runtime - source of identity and configuration version
 * @param lamport - Lamport clock of the process
 * @param onPeerVersion - called with the version of each message that arrives
 * @returns the sender clock
 */
export function createSenderClock (runtime: Runtime, lamport: LamportClock, onPeerVersion: PeerVersionListener): SenderClock {
  return {
    stamp: () => {
      const { self, config } = runtime.getState()
      return {
        instanceId: self.instanceId,
        incarnation: self.incarnation,
        configVersion: config?.version ?? 0,
        lamport: lamport.tick()
      }
    },
    observe: (sender) => {
      if (sender === undefined) return
      lamport.observe(sender.lamport)
      onPeerVersion(sender.instanceId, sender.configVersion)
    }
  }
}
