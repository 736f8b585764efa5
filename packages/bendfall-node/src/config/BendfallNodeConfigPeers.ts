/**
 * Asks other processes for their configuration and instance list over connect.
 *
 * @module
 */
import type { FetchConfigRequest, FetchConfigResponse } from 'bendfall-protocol'
import type { InstanceAnswer } from '../instances/index.js'
import type { Connections } from '../transport/BendfallNodeConnections.js'
import type { SenderClock } from '../transport/BendfallNodeSender.js'
import type { ConfigAsk, ConfigPeers, PeerAnswer } from './BendfallNodeConfigContext.js'

/** Longest time for an answer beyond its wait for news, the connection included. */
const ANSWER_TIMEOUT_MS = 1_000

/**
 * Makes the asking side of FetchConfig.
 *
 * @param connections - connections to the processes
 * @param sender - stamps and observes messages
 * @returns the port of the learner
 */
export function createConfigPeers (connections: Connections, sender: SenderClock): ConfigPeers {
  return {
    fetchConfig: async (address, ask) => {
      try {
        const request = { ...writeAsk(ask), sender: sender.stamp() }
        const answer = await connections.to(address).peer.fetchConfig(request, { timeoutMs: Math.ceil(ask.waitMs) + ANSWER_TIMEOUT_MS })
        return { ...readPeerAnswer(answer), ...ask.list && { list: readList(answer) } }
      } catch {
        return undefined
      }
    }
  }
}

/**
 * Reads the question of another process.
 *
 * @param request - the message
 * @returns what the asker has
 */
export function readAsk ({ haveVersion, haveListRevision, haveListAgeMs, takesPatch, waitMs }: FetchConfigRequest): ConfigAsk {
  if (haveListRevision === undefined) return { haveVersion, waitMs, takesPatch }
  return { haveVersion, waitMs, takesPatch, list: { haveRevision: haveListRevision, haveAgeMs: haveListAgeMs } }
}

/** Fields of an answer, but for its sender. */
export type AnswerFields = Partial<Omit<FetchConfigResponse, '$typeName' | '$unknown' | 'sender'>>

/**
 * Writes the answer to another process.
 *
 * @param answer - the answer
 * @returns fields of the message
 */
export function writeAnswer ({ list, ...answer }: PeerAnswer): AnswerFields {
  if (list === undefined) return answer
  return { ...answer, listRevision: list.revision, listAgeMs: list.ageMs, listJson: list.listJson, listChangeJson: list.changeJson }
}

function writeAsk ({ haveVersion, list, takesPatch, waitMs }: ConfigAsk) {
  return { haveVersion, waitMs, takesPatch, ...list && { haveListRevision: list.haveRevision, haveListAgeMs: list.haveAgeMs } }
}

function readPeerAnswer ({ configJson, deltaJson, patchJson, verifiedAgeMs, version }: FetchConfigResponse): PeerAnswer {
  return { configJson, deltaJson, patchJson, verifiedAgeMs, version }
}

function readList ({ listAgeMs, listChangeJson, listJson, listRevision }: FetchConfigResponse): InstanceAnswer {
  return { revision: listRevision, ageMs: listAgeMs, listJson, changeJson: listChangeJson }
}
