/**
 * Estimates what a sidecar and a home holder spend at the target size.
 *
 * @module
 */
import { RENEWALS_PER_SECOND, cores, heartbeatsPerSecond, renewalBytes, treeCpu, treeTraffic } from './BendfallFakesCapacityEntryRows.js'
import type { Facts } from './BendfallFakesCapacityFacts.js'
import { exactly, plus, times } from './BendfallFakesCapacityFit.js'
import type { Estimate } from './BendfallFakesCapacityFit.js'
import { createRowFactory } from './BendfallFakesCapacityRow.js'
import type { Row } from './BendfallFakesCapacityRow.js'
import { ASSUMED, DERIVED, OPEN_PER_DECODE, SIZE } from './BendfallFakesCapacitySize.js'

/** Reserve and decode at a decode sidecar, each with a request and a response. */
const STEPS_AT_DECODE = 2
/** Retention of a key plus twice the maximum skew between two clocks. */
const KEY_RETENTION_SECONDS = 604
const MAX_CONFIGS = 8

const control = createRowFactory('sidecar', 'control')
const data = createRowFactory('sidecar', 'data')
const homeControl = createRowFactory('home holder', 'control')
const homeData = createRowFactory('home holder', 'data')

/**
 * Estimates all costs of a decode sidecar.
 *
 * @param facts - measured slopes and constants
 * @returns one row for each mechanism and resource
 */
export function sidecarRows (facts: Facts): readonly Row[] {
  return [...trafficRows(facts), ...cpuRows(facts), ...memoryRows(facts), ...dataRows(facts)]
}

/** Number of entries per decode replica. */
const ENTRIES_PER_SIDECAR = SIZE.nodes / DERIVED.decodeReplicas

function trafficRows (facts: Facts): readonly Row[] {
  const { wireBytes, loopback } = facts
  const requests = SIZE.requestsPerSecond / DERIVED.decodeReplicas
  return [
    control('traffic', 'lease heartbeats, one PING per entry', times(loopback.heartbeatBytes.slope, heartbeatsPerSecond(facts) * ENTRIES_PER_SIDECAR)),
    control('traffic', 'lease renewals by request id', times(renewalBytes(facts), RENEWALS_PER_SECOND * ENTRIES_PER_SIDECAR)),
    control('traffic', 'sender and load on the messages of a request', requests * STEPS_AT_DECODE * (2 * wireBytes.sender + wireBytes.load)),
    ...treeTraffic(facts, control)
  ]
}

function cpuRows (facts: Facts): readonly Row[] {
  const { sidecar, members, loopback } = facts
  return [
    control('cpu', 'lease heartbeats, transport', cores(loopback.heartbeatPeerUs.slope, heartbeatsPerSecond(facts) * ENTRIES_PER_SIDECAR)),
    control('cpu', 'lease renewals by request id, transport', cores(loopback.renewalPeerUs.slope, RENEWALS_PER_SECOND * ENTRIES_PER_SIDECAR)),
    control('cpu', 'lease heartbeats, reducer', cores(sidecar.heartbeatUs.slope, heartbeatsPerSecond(facts) * ENTRIES_PER_SIDECAR)),
    control('cpu', 'lease renewals by request id, reducer', cores(sidecar.renewUs.slope, RENEWALS_PER_SECOND * ENTRIES_PER_SIDECAR)),
    ...treeCpu(facts, control, members.learnSidecarUs.at(DERIVED.instances), members.changeSidecarUs.at(DERIVED.instances))
  ]
}

function memoryRows ({ members, config, configBytes, constants, loopback, baseBytes }: Facts): readonly Row[] {
  const entries = SIZE.nodes * constants.subsetSize / DERIVED.replicasPerPool
  return [
    control('memory', 'process with its packages, resident', baseBytes),
    control('memory', 'members', members.memberBytes.at(DERIVED.instances)),
    control('memory', 'instance list during its first parsing', members.listBytes.at(DERIVED.instances)),
    control('memory', 'connections from entries', times(loopback.connectionPeerBytes.slope, entries)),
    control('memory', 'the last eight configurations', times(plus(config.keptBytes.at(SIZE.replicas * ASSUMED.assignedShare), exactly(configBytes.whole)), MAX_CONFIGS))
  ]
}

function dataRows ({ sidecar, loopback }: Facts): readonly Row[] {
  const chars = DERIVED.promptTokens * ASSUMED.charsPerToken
  const held = plus(sidecar.heldBytes.slope, exactly(chars))
  return [
    data('cpu', 'decodes, reducer', cores(sidecar.requestUs.slope, SIZE.requestsPerSecond / DERIVED.decodeReplicas)),
    data('cpu', 'decodes, transport of reserve, prefill and decode', cores(loopback.requestPeerUs.slope, SIZE.requestsPerSecond / DERIVED.decodeReplicas)),
    data('cpu', 'token batches, transport, one token per batch', cores(loopback.tokenPeerUs.slope, SIZE.tokensPerSecond / DERIVED.decodeReplicas)),
    data('cpu', 'token batches, reducer, one token per batch', cores(sidecar.tokenUs.slope, SIZE.tokensPerSecond / DERIVED.decodeReplicas)),
    data('memory', 'reservations with prompt', times(held, OPEN_PER_DECODE))
  ]
}

/** Idempotency keys at one holder. */
export interface HeldKeys {
  /** New keys per second. */
  readonly perSecond: number
  /** Number of stored keys. */
  readonly kept: number
}

/**
 * Derives the number of idempotency keys at one holder.
 *
 * @param holders - number of holders of all pools
 * @returns rate of new keys and number of stored keys
 */
export function keysAtHolder (holders: number): HeldKeys {
  const perSecond = SIZE.requestsPerSecond * ASSUMED.keyedShare / holders
  return { perSecond, kept: perSecond * KEY_RETENTION_SECONDS }
}

/**
 * Estimates the memory that a home needs for a key.
 *
 * @param facts - measured slopes and constants
 * @returns bytes per key, including the response
 */
export function bytesPerKey ({ home }: Facts): Estimate {
  const responseBytes = DERIVED.tokensPerRequest * ASSUMED.bytesPerOutputToken
  return plus(home.keyBytes.slope, times(home.responseBytes.slope, responseBytes))
}

/**
 * Estimates the costs of a home holder, in addition to those of a sidecar.
 *
 * @param facts - measured slopes and constants
 * @returns the rows
 */
export function homeRows (facts: Facts): readonly Row[] {
  const keys = keysAtHolder(SIZE.models * facts.homeCandidates)
  return [
    homeControl('memory', `keys for ${KEY_RETENTION_SECONDS} s, every request with a key`, times(bytesPerKey(facts), keys.kept)),
    homeData('cpu', 'claims and settlements of keys, reducer', cores(facts.home.keyUs.slope, keys.perSecond))
  ]
}
