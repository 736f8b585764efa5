/**
 * The figures of one run, from its records.
 *
 * @module
 */
import { computeBound, computeCapacity, computeNeeds } from './BendfallBenchBound.js'
import type { Deployment } from './BendfallBenchDeployment.js'
import { FAULTS } from './BendfallBenchFaults.js'
import type { FaultName, Stretch } from './BendfallBenchFaults.js'
import type { RequestRecord, Tally } from './BendfallBenchTally.js'

/** Requests offered, and served within their targets. */
export interface Served {
  offered: number
  served: number
}

/** The figures of one run. Requests are those that arrived while measuring. */
export interface Summary {
  /** Language requests of callers who stayed. */
  readonly language: Served
  readonly summary: Served
  /** Interactive language requests. */
  readonly interactive: Served
  readonly calls: Served
  /** Language requests served within targets, a second. */
  readonly goodputPerSecond: number
  readonly boundCheapest: number
  readonly boundAsOffered: number
  /** Served as a share of the bound. */
  readonly ratioCheapest: number
  readonly ratioAsOffered: number
  readonly wastedShare: number
  /** Prompt tokens that a prefix cache held, and those that one without limit would have. */
  readonly cachedShare: number
  readonly cacheableShare: number
  /** Share of their capacity that the pools used while measuring. */
  readonly prefillBusyShare: number
  readonly memoryUsedShare: number
  /** Ends that were no answer, by outcome and reason; late answers, lost patience. */
  readonly misses: Readonly<Record<string, number>>
  /** Longest wait of a refused request for its refusal. */
  readonly longestGivenUpMs: number
  /** The same, since its last output when it had some. */
  readonly longestSilentMs: number
  readonly heldByteSeconds: number
  readonly heldMaxMs: number
  /** Refused requests whose caller came back when told to. */
  readonly returns: Served
  readonly clients: Readonly<Record<string, Served>>
  /** Language requests served within targets, by the second of the first output. */
  readonly servedBySecond: readonly number[]
  readonly violations: Readonly<Record<string, number>>
}

/** What a summary is made from. */
export interface SummaryParts {
  readonly tally: Tally
  readonly deployment: Deployment
  readonly fault: FaultName
  readonly measured: Stretch
  readonly endMs: number
}

/**
 * Tells why a request does not count as served within its targets.
 *
 * @param record - the request
 * @param deployment - holds the targets
 * @returns the cause, or undefined for a request that was served
 */
export function missOf (record: RequestRecord, deployment: Deployment): string | undefined {
  const { arrival, outcome, firstOutputAtMs, lastOutputAtMs } = record
  if (record.callerLeftAtMs !== undefined) return 'lost_patience'
  if (outcome === undefined) return 'no_end'
  if (outcome !== 'answered') return `${outcome}/${record.reason ?? ''}`
  const targetMs = arrival.kind === 'language' ? arrival.request.firstOutputMs : arrival.request.answerMs
  if (firstOutputAtMs === undefined || firstOutputAtMs - arrival.atMs > targetMs) return 'late'
  if (arrival.kind === 'call' || lastOutputAtMs === undefined) return undefined
  const stepMs = (lastOutputAtMs - firstOutputAtMs) / Math.max(1, record.outputTokens - 1)
  return stepMs > deployment.targets[arrival.request.trafficClass].stepMs ? 'slow_steps' : undefined
}

/**
 * Computes the figures of a run.
 *
 * @param parts - records and circumstances of the run
 * @returns the figures
 */
export function summarize (parts: SummaryParts): Summary {
  const { tally, deployment, measured } = parts
  const all = [...tally.records.values()]
  const counted = all.filter((record) => isWithin(record, measured) && !isLeaver(record))
  const language = counted.filter(({ arrival }) => arrival.kind === 'language')
  const count = (records: readonly RequestRecord[]) => countServed(records, deployment)
  const served = count(language)
  const bound = boundOf(parts, all, language)
  const prefill = tally.prefillTokens()
  return {
    language: served,
    summary: count(language.filter(({ arrival }) => arrival.request.trafficClass === 'summary')),
    interactive: count(language.filter(({ arrival }) => arrival.request.trafficClass === 'interactive')),
    calls: count(counted.filter(({ arrival }) => arrival.kind === 'call')),
    goodputPerSecond: served.served / (measured.toMs - measured.fromMs) * 1000,
    boundCheapest: bound.cheapestFirst,
    boundAsOffered: bound.asOffered,
    ratioCheapest: served.served / bound.cheapestFirst,
    ratioAsOffered: served.served / bound.asOffered,
    wastedShare: prefill.wasted / prefill.computed,
    cachedShare: tally.cachedTokens / (tally.cachedTokens + prefill.computed),
    ...useOfPools(parts, all),
    misses: countMisses(counted, deployment),
    longestGivenUpMs: longestGivenUp(counted, ({ arrival }) => arrival.atMs),
    longestSilentMs: longestGivenUp(counted, ({ arrival, lastOutputAtMs }) => lastOutputAtMs ?? arrival.atMs),
    ...heldAfterEnd(parts),
    returns: count(all.filter(({ arrival }) => arrival.isReturn)),
    clients: countClients(language, deployment),
    servedBySecond: countBySecond(all, deployment, parts.endMs),
    violations: Object.fromEntries([...tally.violations].sort())
  }
}

function isWithin ({ arrival }: RequestRecord, stretch: Stretch): boolean {
  return arrival.atMs >= stretch.fromMs && arrival.atMs < stretch.toMs
}

function isLeaver ({ arrival }: RequestRecord): boolean {
  return arrival.kind === 'language' && arrival.leavesAfterMs !== undefined
}

function countServed (records: readonly RequestRecord[], deployment: Deployment): Served {
  const served = records.filter((record) => missOf(record, deployment) === undefined).length
  return { offered: records.length, served }
}

function boundOf (parts: SummaryParts, all: readonly RequestRecord[], counted: readonly RequestRecord[]): ReturnType<typeof computeBound> {
  const { deployment, measured, fault } = parts
  const arrivals = all.flatMap(({ arrival }) => arrival.kind === 'language' ? [arrival] : [])
  const needs = computeNeeds(arrivals, deployment.engine)
  const ids = new Set(counted.map(({ arrival }) => arrival.request.requestId))
  const countedNeeds = needs.filter((_, index) => ids.has(arrivals[index].request.requestId))
  const lost = FAULTS[fault].lostDecodeSeconds(deployment.decodeReplicas, measured)
  return computeBound(countedNeeds, computeCapacity(deployment, (measured.toMs - measured.fromMs) / 1000, lost))
}

function useOfPools ({ tally, deployment, measured }: SummaryParts, all: readonly RequestRecord[]): Pick<Summary, 'cacheableShare' | 'prefillBusyShare' | 'memoryUsedShare'> {
  const { engine } = deployment
  const arrivals = all.flatMap(({ arrival }) => arrival.kind === 'language' ? [arrival] : [])
  const promptTokens = sum(arrivals.map(({ request }) => request.promptTokens))
  const neededTokens = sum(computeNeeds(arrivals, engine).map(({ prefillSeconds }) => prefillSeconds)) * engine.prefillTokensPerSecond
  const capacity = computeCapacity(deployment, (measured.toMs - measured.fromMs) / 1000)
  const computed = tally.computed.filter(({ atMs }) => atMs >= measured.fromMs && atMs < measured.toMs)
  const byteMs = tally.holdings.map(({ kvBytes, fromMs, untilMs }) => kvBytes * Math.max(0, Math.min(untilMs, measured.toMs) - Math.max(fromMs, measured.fromMs)))
  return {
    cacheableShare: 1 - neededTokens / promptTokens,
    prefillBusyShare: sum(computed.map(({ tokens }) => tokens)) / engine.prefillTokensPerSecond / capacity.prefillSeconds,
    memoryUsedShare: sum(byteMs) / 1000 / (engine.decodeKvBytes * capacity.decodeSeconds)
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function countMisses (records: readonly RequestRecord[], deployment: Deployment): Record<string, number> {
  const misses = new Map<string, number>()
  for (const record of records) {
    const miss = missOf(record, deployment)
    if (miss !== undefined) misses.set(miss, (misses.get(miss) ?? 0) + 1)
  }
  return Object.fromEntries([...misses].sort())
}

function longestGivenUp (records: readonly RequestRecord[], fromMs: (record: RequestRecord) => number): number {
  const refused = records.filter(({ outcome }) => outcome === 'not_run' || outcome === 'unknown')
  return Math.max(0, ...refused.map((record) => (record.endedAtMs ?? fromMs(record)) - fromMs(record)))
}

function heldAfterEnd ({ tally, endMs }: SummaryParts): { heldByteSeconds: number, heldMaxMs: number } {
  let heldByteSeconds = 0
  let heldMaxMs = 0
  for (const { requestId, kvBytes, fromMs, untilMs } of tally.holdings) {
    const record = tally.records.get(requestId)
    const goneAtMs = record?.callerLeftAtMs ?? record?.endedAtMs ?? endMs
    const heldMs = Math.max(0, Math.min(untilMs, endMs) - Math.max(fromMs, goneAtMs))
    heldByteSeconds += kvBytes * heldMs / 1000
    heldMaxMs = Math.max(heldMaxMs, heldMs)
  }
  return { heldByteSeconds, heldMaxMs }
}

function countClients (records: readonly RequestRecord[], deployment: Deployment): Record<string, Served> {
  const names = Object.keys(deployment.clientShares)
  return Object.fromEntries(names.map((name) => {
    const own = records.filter(({ arrival }) => arrival.request.clientId === name)
    return [name, countServed(own, deployment)]
  }))
}

function countBySecond (records: readonly RequestRecord[], deployment: Deployment, endMs: number): number[] {
  const counts = Array.from({ length: Math.ceil(endMs / 1000) }, () => 0)
  for (const record of records) {
    const isServed = record.arrival.kind === 'language' && missOf(record, deployment) === undefined
    if (isServed && record.firstOutputAtMs !== undefined) counts[Math.floor(record.firstOutputAtMs / 1000)]++
  }
  return counts
}
