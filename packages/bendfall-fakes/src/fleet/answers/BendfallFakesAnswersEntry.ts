/**
 * Starts an entry, with a store and registrations of scripted replicas, within this process.
 *
 * @module
 */
import { get } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { startEntry } from 'bendfall-edge'
import { createLogger } from 'bendfall-node'
import { createPlatformKeyValue, PLATFORM_DIALECT } from 'bendfall-platform-adapter'
import { createFleetConfig } from '../BendfallFakesFleetConfig.js'
import { startFleetStore } from '../BendfallFakesFleetStore.js'
import type { AnswersFleet, ReplicaPlace } from './BendfallFakesAnswersFleet.js'

/** Host of the routes. */
export const ANSWERS_HOST = 'answers.example'

/** Kinds of calls; each is also the prefix of its path. */
export type AnswersKind = 'booking' | 'brief' | 'rate' | 'summary'

/** Id, address and pool of a replica; plain replicas have no stage. */
export interface StagedReplicaPlace extends ReplicaPlace {
  readonly stage?: 'decode' | 'prefill'
}

/** A running entry. */
export interface AnswersEntry {
  /** Address for callers. */
  readonly callers: { readonly host: string, readonly port: number }
  /** Log lines of the entry. */
  readonly lines: readonly string[]
  readonly close: () => Promise<void>
}

const SUBNETS = 250
const LEDGER_PORT = 17_380
const CALLERS_PORT = 17_381
const READY_PORT = 17_382
const READY_POLLS = 150
const POLL_MS = 20

const CONFIG = createFleetConfig({ host: ANSWERS_HOST, timeoutMs: 4_000, handleTtlS: 2, maxBodyBytes: 2_000_000 })

/**
 * Derives loopback addresses from the process id, so that concurrent runs don't collide.
 *
 * @param last - last octet of the address
 * @returns an IPv4 address
 */
export function answersIp (last: number): string {
  const subnet = process.pid
  return `127.${1 + subnet % SUBNETS}.${1 + Math.floor(subnet / SUBNETS) % SUBNETS}.${last}`
}

/** Replicas: plain ones, and both pools of a model. */
export const REPLICA_PLACES: readonly StagedReplicaPlace[] = [
  { replicaId: 'i-x', host: answersIp(21) },
  { replicaId: 'i-y', host: answersIp(22) },
  { replicaId: 'i-z', host: answersIp(23) },
  { replicaId: 'i-p', host: answersIp(31), stage: 'prefill' },
  { replicaId: 'i-q', host: answersIp(32), stage: 'prefill' },
  { replicaId: 'i-a', host: answersIp(41), stage: 'decode' },
  { replicaId: 'i-b', host: answersIp(42), stage: 'decode' },
  { replicaId: 'i-c', host: answersIp(43), stage: 'decode' }
]

/**
 * Starts an entry. No process listens on the addresses of the ledgers, so that memory is
 * held at the replicas themselves.
 *
 * @param places - replicas to register
 * @param fleet - addresses of the same replicas, in the same order
 * @returns the entry once it reports ready or the polls for that are used up
 */
export async function startAnswersEntry (places: readonly StagedReplicaPlace[], fleet: Pick<AnswersFleet, 'addresses'>): Promise<AnswersEntry> {
  const lines: string[] = []
  const store = await startFleetStore(answersIp(1))
  places.forEach(({ replicaId, stage }, index) => store.put(`servers/${replicaId}`, {
    service: stage === undefined ? 'app' : 'llm', address: fleet.addresses[index], zone: 'a', version: 'v1', slots: 20, state: 'ready', 'cold-remaining-ms': 0, stage, seq: 1
  }))
  store.put('op/config', CONFIG)
  const keyValue = createPlatformKeyValue(store.address)
  const callers = { host: answersIp(2), port: CALLERS_PORT }
  const entry = await startEntry({
    settings: {
      instanceId: 'entry-1',
      availabilityZone: 'a',
      ip: callers.host,
      callersListen: `${callers.host}:${callers.port}`,
      readyListen: `${callers.host}:${READY_PORT}`,
      peerPorts: [LEDGER_PORT, LEDGER_PORT + 9],
      keyValueAddress: store.address,
      stopGraceS: 1
    },
    dialect: PLATFORM_DIALECT,
    keyValue,
    logger: createLogger({ level: 'info', write: (line) => { lines.push(line) } })
  })
  for (let i = 0; i < READY_POLLS && !await isReady(callers.host); i++) await sleep(POLL_MS)
  return {
    callers,
    lines,
    close: async () => {
      await entry.stop()
      await keyValue.close()
      await store.close()
    }
  }
}

function isReady (host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const request = get({ host, port: READY_PORT, path: '/api/ready', agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.once('error', () => resolve(false))
  })
}
