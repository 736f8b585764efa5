/**
 * Estimates what an entry spends at the target size.
 *
 * @module
 */
import type { Facts } from './BendfallFakesCapacityFacts.js'
import { exactly, plus, times } from './BendfallFakesCapacityFit.js'
import type { Estimate } from './BendfallFakesCapacityFit.js'
import { createRowFactory } from './BendfallFakesCapacityRow.js'
import type { Row, RowFactory } from './BendfallFakesCapacityRow.js'
import { ASSUMED, DERIVED, OPEN_PER_NODE, SIZE, TREE, expectedOccupiedBins } from './BendfallFakesCapacitySize.js'

const MS_PER_SECOND = 1000
const US_PER_SECOND = 1e6
/** Reserve, prefill and decode, each with a request and a response. */
const STEPS_PER_REQUEST = 3
const MESSAGES_PER_REQUEST = 2 * STEPS_PER_REQUEST
/** Number of prefixes that an entry remembers: two generations of 8,192. */
const MAX_PREFIXES = 16_384
/** Number of configurations that a process keeps to create merge patches from. */
const MAX_CONFIGS = 8
/** Number of leases in the renewal that was measured on the wire. */
const LEASES_MEASURED = 2

const control = createRowFactory('entry', 'control')
const data = createRowFactory('entry', 'data')

/** Renewals per second by request id at one entry; each contains one lease. */
export const RENEWALS_PER_SECOND = DERIVED.requestsPerNode * ASSUMED.renewedShare

/**
 * Estimates the heartbeat rate of an entry. Its open requests are distributed over
 * the decode replicas of its subsets, and each replica with at least one of them
 * gets a heartbeat.
 *
 * @param facts - measured slopes and constants
 * @returns heartbeats per second
 */
export function heartbeatsPerSecond ({ constants }: Facts): number {
  const used = expectedOccupiedBins(OPEN_PER_NODE, SIZE.models * constants.subsetSize)
  return used * MS_PER_SECOND / constants.renewalMs
}

/**
 * Estimates all costs of an entry.
 *
 * @param facts - measured slopes and constants
 * @returns one row for each mechanism and resource
 */
export function entryRows (facts: Facts): readonly Row[] {
  return [...trafficRows(facts), ...cpuRows(facts), ...memoryRows(facts), ...dataRows(facts)]
}

function trafficRows (facts: Facts): readonly Row[] {
  const { wireBytes, loopback } = facts
  return [
    control('traffic', 'lease heartbeats, one PING per sidecar', times(loopback.heartbeatBytes.slope, heartbeatsPerSecond(facts))),
    control('traffic', 'lease renewals by request id', times(renewalBytes(facts), RENEWALS_PER_SECOND)),
    control('traffic', 'sender on the messages of a request', DERIVED.requestsPerNode * MESSAGES_PER_REQUEST * wireBytes.sender),
    control('traffic', 'load on responses to reserve and prefill and on ends of decodes', DERIVED.requestsPerNode * (2 * wireBytes.load + wireBytes.prefillLoad)),
    ...treeTraffic(facts, control)
  ]
}

/**
 * Estimates the bytes of one renewal by request id, in both directions.
 *
 * @param facts - measured slopes and constants
 * @returns bytes on the wire
 */
export function renewalBytes ({ loopback, wire }: Facts): Estimate {
  return plus(loopback.renewalBytes.slope, times(wire.renewalBytes.slope, 1 - LEASES_MEASURED))
}

/**
 * Estimates the traffic of a process that has children in the distribution tree
 * of the configuration.
 *
 * @param facts - measured slopes and constants
 * @param createRow - creates rows of the role of the process
 * @returns the rows for traffic
 */
export function treeTraffic ({ loopback, members, configBytes }: Facts, createRow: RowFactory): readonly Row[] {
  const patch = plus(loopback.pollBytes.slope, exactly(configBytes.assignmentPatch))
  return [
    createRow('traffic', 'FetchConfig, idle polls to the parent and of 8 children', times(loopback.pollBytes.slope, TREE.neighbours / TREE.pullSeconds)),
    createRow('traffic', 'FetchConfig, changes of the instance list from the parent and to 8 children', times(plus(loopback.pollBytes.slope, members.listBytes.slope), DERIVED.instanceChangesPerSecond * TREE.neighbours)),
    createRow('traffic', 'FetchConfig, merge patches of the configuration from the parent and to 8 children', times(patch, DERIVED.changesPerSecond * TREE.neighbours))
  ]
}

/**
 * Estimates the CPU time that the same process spends on the configuration and the
 * instance list.
 *
 * @param facts - measured slopes and constants
 * @param createRow - creates rows of the role of the process
 * @param learnUs - CPU time of a `config_learned` event, in microseconds
 * @param changeUs - CPU time of an `instances_changed` event with one change, in microseconds
 * @returns the rows for CPU time
 */
export function treeCpu ({ loopback, members, config }: Facts, createRow: RowFactory, learnUs: Estimate, changeUs: Estimate): readonly Row[] {
  const assignments = SIZE.replicas * ASSUMED.assignedShare
  const read = plus(config.patchApplyUs.at(assignments), learnUs)
  return [
    createRow('cpu', 'FetchConfig, idle polls, transport', cores(loopback.pollUs.slope, TREE.neighbours / TREE.pullSeconds)),
    createRow('cpu', 'search for watcher and parent, at each change of the list', cores(members.parentsUs.at(DERIVED.instances), 2 * DERIVED.instanceChangesPerSecond)),
    createRow('cpu', 'FetchConfig, changes of the instance list, transport', cores(loopback.pollUs.slope, DERIVED.instanceChangesPerSecond * TREE.neighbours)),
    createRow('cpu', 'changes of the instance list, reducer', cores(changeUs, DERIVED.instanceChangesPerSecond)),
    createRow('cpu', 'FetchConfig, merge patches, transport', cores(loopback.pollUs.slope, DERIVED.changesPerSecond * TREE.neighbours)),
    createRow('cpu', 'merge patch, creation once for 8 children', cores(config.patchCreateUs.at(assignments), DERIVED.changesPerSecond)),
    createRow('cpu', 'merge patch, parsing and application', cores(read, DERIVED.changesPerSecond))
  ]
}

function cpuRows (facts: Facts): readonly Row[] {
  const { entry, members, constants, loopback } = facts
  const heartbeats = heartbeatsPerSecond(facts)
  return [
    control('cpu', 'lease heartbeats, transport', cores(loopback.heartbeatUs.slope, heartbeats)),
    control('cpu', 'lease renewals by request id, transport', cores(loopback.renewalUs.slope, RENEWALS_PER_SECOND)),
    control('cpu', 'lease heartbeats, reducer', cores(entry.renewalUs.at(OPEN_PER_NODE), MS_PER_SECOND / constants.renewalMs)),
    control('cpu', 'load on responses, reducer', cores(members.loadUs.slope, DERIVED.requestsPerNode * STEPS_PER_REQUEST)),
    ...treeCpu(facts, control, members.learnEntryUs.at(DERIVED.instances), members.changeEntryUs.at(DERIVED.instances))
  ]
}

function memoryRows ({ members, config, configBytes, entry, constants, loopback, baseBytes }: Facts): readonly Row[] {
  const used = DERIVED.pools * constants.subsetSize
  return [
    control('memory', 'process with its packages, resident', baseBytes),
    control('memory', 'members', members.memberBytes.at(DERIVED.instances)),
    control('memory', 'instance list during its first parsing', members.listBytes.at(DERIVED.instances)),
    control('memory', 'load views of the subsets', times(members.loadBytes.slope, used)),
    control('memory', 'connections to the subsets', times(loopback.connectionBytes.slope, used)),
    control('memory', 'the last eight configurations', times(plus(config.keptBytes.at(SIZE.replicas * ASSUMED.assignedShare), exactly(configBytes.whole)), MAX_CONFIGS)),
    control('memory', 'locations of prompt prefixes', times(entry.prefixBytes.slope, MAX_PREFIXES))
  ]
}

function dataRows ({ entry, members, loopback }: Facts): readonly Row[] {
  const chars = DERIVED.promptTokens * ASSUMED.charsPerToken
  const keptTokens = DERIVED.tokensPerRequest / 2
  const open = plus(entry.openBytes.slope, times(entry.promptBytes.slope, chars), times(entry.tokenBytes.slope, keptTokens))
  const keyed = DERIVED.requestsPerNode * ASSUMED.keyedShare
  return [
    data('cpu', 'requests, reducer', cores(entry.requestUs.slope, DERIVED.requestsPerNode)),
    data('cpu', 'requests, transport', cores(loopback.requestUs.slope, DERIVED.requestsPerNode)),
    data('cpu', 'token batches, transport, one token per batch', cores(loopback.tokenUs.slope, DERIVED.tokensPerNode)),
    data('traffic', 'token batches', times(loopback.tokenBytes.slope, DERIVED.tokensPerNode)),
    data('traffic', 'requests, including the prompt, which is sent twice', times(plus(loopback.requestBytes.slope, exactly(2 * chars)), DERIVED.requestsPerNode)),
    data('cpu', 'token batches, reducer, one token per batch', cores(entry.tokenUs.slope, DERIVED.tokensPerNode)),
    data('cpu', 'search for the home of a key, every request with a key', cores(members.claimUs.at(DERIVED.instances), keyed)),
    data('memory', 'open requests, with the prompt and half of the tokens', times(open, OPEN_PER_NODE))
  ]
}

/**
 * Converts a rate of operations into a fraction of a core.
 *
 * @param us - CPU time of one operation in microseconds
 * @param perSecond - operations per second
 * @returns fraction of a core
 */
export function cores (us: Estimate, perSecond: number): Estimate {
  return times(us, perSecond / US_PER_SECOND)
}
