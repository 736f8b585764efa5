import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { EdgeSettings } from 'bendfall-edge'
import { startProcess } from '../../BendfallFakesDemoProcess.js'
import type { ListeningProcess } from '../../BendfallFakesDemoProcess.js'
import { createFleetConfig } from '../../fleet/BendfallFakesFleetConfig.js'
import type { FleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import { startFleetReplica } from '../../fleet/BendfallFakesFleetReplica.js'
import type { FleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { startFleetStore } from '../../fleet/BendfallFakesFleetStore.js'
import { ip } from './EntryHarness.js'
import { callStream, findStreamViolation, shareGoneOn } from '../../fleet/soak/BendfallFakesStreamCaller.js'
import type { CallerOptions, CallerStream } from '../../fleet/soak/BendfallFakesStreamCaller.js'

const VERSION_HOST = 'versions.example'
const VERSION_EVENTS = 14

const MAIN_MODULE = fileURLToPath(new URL('./BendfallPlatformMain.js', import.meta.resolve('bendfall')))

const PEER_PORT = 17_380
const CALLERS_PORT = 17_391
const READY_PORT = 17_392
const FIRST_REPLICA_OCTET = 11
const EVENT_MS = 30
const MEMORY_TOKENS = 60_000
const CALLERS = 24
const SETTLE_MS = 700

/** Fewest resumed streams by which a test can judge. */
export const MIN_RESUMED = 12

/** Longest time for which kills go on after the planned ones, so that the tests of a file end before its timeout. */
const MAX_EXTRA_MS = 15_000

/** Callers that receive events before such a kill; without them it breaks off nothing that can be resumed. */
const MIN_RECEIVING = 8
const RECEIVING_CHECK_MS = 10

/** Time between a replacement and the kill of all entries, in which streams of the former version still run. */
const KILL_DELAY_MS = 50

/** Longer than replaced replicas take to leave. */
const REPLACED_DOWN_MS = 1_000

const CONFIG = createFleetConfig({ host: VERSION_HOST, timeoutMs: 5_000, handleTtlS: 0.5, maxBodyBytes: 100_000 })

/** Options of the fleet. */
export interface VersionFleetOptions {
  /** Whether a sidecar runs beside each replica. */
  readonly hasSidecars?: boolean
  /** Whether the last entry is cut off from the store, the sidecars and the other entries. */
  readonly isLastIsolated?: boolean
  /** Returns whether a replica breaks the next stream off. */
  readonly breaksOff?: () => boolean
}

/** A registered replica. */
export interface VersionReplica {
  readonly replica: FleetReplica
  readonly stage: 'prefill' | 'decode'
  readonly softwareVersion: string
  /** Announces that it leaves, and ends it some time later. */
  readonly leave: () => Promise<void>
}

/** Three entries in front of replicas of two software versions. */
export interface VersionFleet {
  readonly entries: readonly string[]
  readonly replicas: () => readonly VersionReplica[]
  readonly addReplica: (stage: 'prefill' | 'decode', softwareVersion: string) => Promise<void>
  /** Returns why the entries ended resumed streams without a replica's response, with counts. */
  readonly refusalReasons: () => string
  /** Returns the value of a key in the store. */
  readonly readStore: (key: string) => string | undefined
  /** Kills the processes of entries and starts them again, by default at once. */
  readonly killEntries: (indexes: readonly number[], downMs?: number) => Promise<void>
}

/** Streams of all callers, counted. */
export interface VersionTally {
  readonly streams: readonly CallerStream[]
  /** Streams with events of two software versions. */
  readonly mixed: number
  /** Streams with events that are mixed, missing, duplicated or out of order. */
  readonly violations: readonly string[]
  /** Streams that were resumed. */
  readonly resumed: number
  /** Share of the resumed streams that went on, divided by the share of new streams that began. */
  readonly goesOn: number
}

/** Runs a test with a fleet, which is closed in any case. */
export async function withVersionFleet (options: VersionFleetOptions, run: (fleet: VersionFleet) => Promise<void>): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'bendfall-versions-'))
  const closers: Array<() => Promise<void>> = []
  try {
    await run(await startVersionFleet(folder, options, closers))
  } finally {
    for (const close of closers.reverse()) await close()
    rmSync(folder, { recursive: true })
  }
}

async function startVersionFleet (folder: string, { breaksOff = () => false, hasSidecars = false, isLastIsolated = false }: VersionFleetOptions, closers: Array<() => Promise<void>>): Promise<VersionFleet> {
  const stores: FleetStore[] = []
  const running = new Set<VersionReplica>()
  let nextReplica = 0
  let isClosing = false

  async function openStore (octet: number): Promise<FleetStore> {
    const store = await startFleetStore(ip(octet))
    store.put('op/config', CONFIG)
    stores.push(store)
    closers.push(() => store.close())
    return store
  }

  async function startNode (role: 'entry' | 'sidecar', settings: EdgeSettings): Promise<ListeningProcess> {
    const file = join(folder, `${settings.instanceId}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const node = await startProcess(settings.instanceId, MAIN_MODULE, [role], { env: { BENDFALL_BOOT: file }, readyEvent: 'started' })
    closers.push(() => kill(node))
    return node
  }

  async function addReplica (stage: 'prefill' | 'decode', softwareVersion: string): Promise<void> {
    const index = nextReplica++
    const replicaId = `i-${index}`
    const host = ip(FIRST_REPLICA_OCTET + index)
    const replica = await startFleetReplica({ host, replicaId, stage, softwareVersion, events: VERSION_EVENTS, eventMs: EVENT_MS, memoryTokens: MEMORY_TOKENS, breaksOff })
    closers.push(() => replica.close())
    const register = (state: 'ready' | 'draining'): void => {
      for (const store of stores) store.put(`servers/${replicaId}`, { born: replica.startedAtMs(), service: 'llm', address: replica.address, zone: 'a', version: softwareVersion, slots: 64, state, 'cold-remaining-ms': 0, stage, seq: state === 'ready' ? 1 : 2 })
    }
    if (hasSidecars) await startNode('sidecar', { instanceId: `sidecar-${index}`, availabilityZone: 'a', ip: host, peerPorts: [PEER_PORT, PEER_PORT + 9], keyValueAddress: (stores[0] as FleetStore).address, stopGraceS: 1, replicaAddress: replica.address })
    register('ready')
    const one: VersionReplica = {
      replica,
      stage,
      softwareVersion,
      leave: async () => {
        running.delete(one)
        register('draining')
        await sleep(SETTLE_MS)
        if (isClosing) return
        for (const store of stores) store.remove(`servers/${replicaId}`)
        replica.stop()
      }
    }
    running.add(one)
  }

  await openStore(1)
  if (isLastIsolated) await openStore(9)
  for (const [stage, softwareVersion] of [['decode', 'v1'], ['decode', 'v2'], ['decode', 'v1'], ['decode', 'v2'], ['prefill', 'v1'], ['prefill', 'v2']] as const) await addReplica(stage, softwareVersion)
  const settings = [0, 1, 2].map((index): EdgeSettings => {
    const isIsolated = isLastIsolated && index === 2
    const host = ip(2 + index)
    const firstPort = isIsolated ? PEER_PORT - 100 : PEER_PORT
    return { instanceId: `entry-${index}`, availabilityZone: 'a', ip: host, peerPorts: [firstPort, firstPort + 9], keyValueAddress: (stores[isIsolated ? 1 : 0] as FleetStore).address, stopGraceS: 1, callersListen: `${host}:${CALLERS_PORT}`, readyListen: `${host}:${READY_PORT}` }
  })
  const entries = await Promise.all(settings.map((one) => startNode('entry', one)))
  await sleep(SETTLE_MS)
  closers.push(async () => { isClosing = true })
  return {
    entries: settings.map(({ callersListen }) => callersListen as string),
    replicas: () => [...running],
    addReplica,
    readStore: (key) => (stores[0] as FleetStore).documents().find((document) => document.key === key)?.value,
    refusalReasons: () => countReasons(entries.flatMap(({ lines }) => lines)),
    killEntries: async (indexes, downMs = 0) => {
      await Promise.all(indexes.map(async (index) => {
        await kill(entries[index] as ListeningProcess)
        await sleep(downMs)
        entries[index] = await startNode('entry', settings[index] as EdgeSettings)
      }))
    }
  }
}

function countReasons (lines: readonly string[]): string {
  const resumed = new Set(lines.flatMap((line) => /event=admitted .*request=(\S+) .*resumedRequestId=/.exec(line)?.[1] ?? []))
  const counts = new Map<string, number>()
  for (const line of lines) {
    const [, request, reason] = /event=(?:refused|cut) .*request=(\S+) .*reason=(\S+)/.exec(line) ?? []
    if (request === undefined || reason === undefined || !resumed.has(request)) continue
    counts.set(reason, (counts.get(reason) ?? 0) + 1)
  }
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ')
}

async function kill (node: ListeningProcess): Promise<void> {
  node.signal('SIGKILL')
  await node.exited
}

/** Behavior of all callers. */
export interface RunCallersOptions extends Pick<CallerOptions, 'leavesAfter' | 'namesFirstRequest' | 'onReceiving'> {
  /** Receives each stream when it ends. */
  readonly streams?: CallerStream[]
}

/**
 * Runs callers and counts their streams.
 *
 * @param fleet - fleet whose entries the callers use in turn
 * @param isOver - whether no more streams begin
 * @param options - whether callers break off, and what receives their streams
 * @returns the streams and their counts
 */
export async function runCallers ({ entries }: Pick<VersionFleet, 'entries'>, isOver: () => boolean, { streams = [], ...options }: RunCallersOptions = {}): Promise<VersionTally> {
  await Promise.all(Array.from({ length: CALLERS }, async (_, index) => {
    for (let turn = index; !isOver(); turn += 1) {
      const first = turn % entries.length
      streams.push(await callStream({ ...options, host: VERSION_HOST, name: `caller-${index}-${turn}`, entries: [...entries.slice(first), ...entries.slice(0, first)] }))
    }
  }))
  return {
    streams,
    mixed: streams.filter(({ softwareVersions }) => softwareVersions.size > 1).length,
    violations: streams.flatMap((stream) => findStreamViolation(stream, VERSION_EVENTS) ?? []),
    resumed: countResumed(streams),
    goesOn: shareGoneOn(streams)
  }
}

/** Disturbances while callers run. */
export interface Disturbances extends Pick<CallerOptions, 'namesFirstRequest'> {
  /** Planned number of disturbances. */
  readonly rounds: number
  /** Time before each of them. */
  readonly pauseMs: number
  readonly disturb: (round: number) => Promise<void>
}

/**
 * Runs callers while entries are killed, and goes on with the disturbances until enough streams were resumed:
 * a kill breaks off few of them when most callers still wait for their first event, and callers may
 * give up before entries have started again on a busy machine.
 *
 * @param fleet - fleet that the callers use
 * @param disturbances - what is done to it, and how often
 * @returns the streams and their counts
 */
export async function runCallersThrough (fleet: VersionFleet, { disturb, namesFirstRequest, pauseMs, rounds }: Disturbances): Promise<VersionTally> {
  const streams: CallerStream[] = []
  let isOver = false
  let receiving = 0
  const calls = runCallers(fleet, () => isOver, { streams, namesFirstRequest, onReceiving: (change) => { receiving += change } })
  let endsAtMs = Infinity
  const isReceiving = (): boolean => receiving >= MIN_RECEIVING
  const waitForReceivers = async (): Promise<void> => {
    while (!isReceiving() && performance.now() < endsAtMs) await sleep(RECEIVING_CHECK_MS)
  }
  const isToGoOn = (round: number): boolean => round < rounds || (countResumed(streams) < MIN_RESUMED && performance.now() < endsAtMs)
  for (let round = 0; isToGoOn(round); round += 1) {
    if (round === rounds) endsAtMs = performance.now() + MAX_EXTRA_MS
    await sleep(pauseMs)
    if (round >= rounds) await waitForReceivers()
    await disturb(round)
  }
  isOver = true
  return await calls
}

/**
 * Runs callers while entries are killed and start again at once.
 *
 * @param fleet - fleet whose entries are killed
 * @param rounds - entries to kill together, in this order
 * @param pauseMs - time between the restart of entries and the next kill
 * @returns the streams and their counts
 */
export function runCallersThroughKills (fleet: VersionFleet, rounds: ReadonlyArray<readonly number[]>, pauseMs: number): Promise<VersionTally> {
  return runCallersThrough(fleet, { rounds: rounds.length, pauseMs, disturb: (round) => fleet.killEntries(rounds[round % rounds.length] as readonly number[]) })
}

/**
 * Replaces all replicas by those of another version, and kills all entries before the streams of the former ones end.
 *
 * @param fleet - fleet to change
 * @param softwareVersion - version of the new replicas
 */
export async function replaceAndKillEntries (fleet: VersionFleet, softwareVersion: string): Promise<void> {
  const previous = fleet.replicas()
  for (const stage of ['decode', 'decode', 'prefill'] as const) await fleet.addReplica(stage, softwareVersion)
  const left = Promise.all(previous.map(({ leave }) => leave()))
  await sleep(KILL_DELAY_MS)
  await Promise.all([fleet.killEntries(fleet.entries.map((_, index) => index), REPLACED_DOWN_MS), left])
}

function countResumed (streams: readonly CallerStream[]): number {
  return streams.filter(({ isResumed }) => isResumed).length
}
