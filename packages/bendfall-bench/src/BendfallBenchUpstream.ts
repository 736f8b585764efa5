/**
 * The upstream beside a sidecar: the model of an engine or of a plain service,
 * joined to the run.
 *
 * @module
 */
import type { DecodeAsk, EngineReport, InstanceRecord } from 'bendfall-core'
import { DecodeEngine } from './BendfallBenchDecodeEngine.js'
import type { AttemptName, EngineSink, Fact, KvSource } from './BendfallBenchEngineSink.js'
import { decodePool, prefillPool } from './BendfallBenchFleet.js'
import { Link } from './BendfallBenchLink.js'
import { LOCAL_LINK_BYTES_PER_SECOND, REMOTE_LINK_BYTES_PER_SECOND } from './BendfallBenchDeployment.js'
import { PlainService } from './BendfallBenchPlainService.js'
import { PrefillEngine } from './BendfallBenchPrefillEngine.js'
import { createRandom } from './BendfallBenchRandom.js'
import type { World } from './BendfallBenchWorld.js'

/** An upstream of any kind; a part it has not is absent. */
export interface Upstream {
  readonly prefill?: PrefillEngine
  readonly decode?: DecodeEngine
  readonly service?: PlainService
  readonly report: () => EngineReport | undefined
  readonly kill: () => void
}

const links = new WeakMap<World, Map<string, Link>>()

/**
 * Creates the upstream of an instance.
 *
 * @param world - the run
 * @param record - the instance
 * @returns the upstream, or undefined for an entry
 */
export function createUpstream (world: World, record: InstanceRecord): Upstream | undefined {
  const { deployment } = world.parts
  const create = {
    [prefillPool(deployment)]: createPrefill,
    [decodePool(deployment)]: createDecode,
    [deployment.servicePool]: createService
  }[record.pool]
  return create?.(world, record)
}

function createPrefill (world: World, record: InstanceRecord): Upstream {
  const { clock, deployment } = world.parts
  const prefill = new PrefillEngine(clock, deployment.engine, record.instanceId, createSink(world, record))
  return { prefill, report: () => prefill.report(), kill: () => prefill.kill() }
}

function createDecode (world: World, record: InstanceRecord): Upstream {
  const { clock, deployment } = world.parts
  const decode = new DecodeEngine(clock, deployment.engine, createSink(world, record))
  return { decode, report: () => decode.report(), kill: () => decode.kill() }
}

function createService (world: World, record: InstanceRecord): Upstream {
  const { clock, tally } = world.parts
  const service = new PlainService(clock, {
    notify: notifierOf(world, record),
    callRun: (ask) => tally.callRun(ask),
    serviceMs: (requestId) => {
      const arrival = tally.records.get(requestId)?.arrival
      return arrival?.kind === 'call' ? arrival.serviceMs : 0
    }
  })
  return { service, report: () => undefined, kill: () => service.kill() }
}

function createSink (world: World, record: InstanceRecord): EngineSink {
  const { clock, tally } = world.parts
  return {
    notify: notifierOf(world, record),
    prefillCached: (tokens) => tally.prefillCached(tokens),
    prefillComputed: (name, tokens) => tally.prefillComputed(name, tokens, clock.nowMs),
    prefillUsed: (handle) => tally.prefillUsed(handle),
    memoryTaken: (name, kvBytes) => tally.memoryTaken(name, kvBytes, clock.nowMs),
    memoryFreed: (name) => tally.memoryFreed(name, clock.nowMs),
    truth: (requestId) => {
      const arrival = tally.records.get(requestId)?.arrival
      if (arrival?.kind !== 'language') throw new Error(`no language request ${requestId}`)
      return arrival
    }
  }
}

function notifierOf (world: World, record: InstanceRecord): (fact: Fact) => void {
  return (fact) => {
    const process = world.processes.get(record.instanceId)
    if (process !== undefined) world.dispatch(process, fact)
  }
}

/**
 * Finds the KV cache that a decode is to fetch.
 *
 * @param world - the run
 * @param ask - the decode
 * @param to - instance that fetches
 * @returns the source; one that does not exist is never alive
 */
export function findSource (world: World, ask: DecodeAsk, to: InstanceRecord): KvSource {
  const owner = world.processes.get(ask.handle.split('/')[0])
  const engine = owner?.upstream?.prefill
  if (owner === undefined || engine === undefined) return { livesUntilMs: () => undefined, fetch: () => ({ abort: () => {} }) }
  const link = linkBetween(world, owner.record.availabilityZone, to.availabilityZone)
  return {
    livesUntilMs: () => engine.resultLivesUntilMs(ask.handle),
    fetch: (listener) => {
      engine.pin(ask.handle, 1)
      const unpin = () => engine.pin(ask.handle, -1)
      const transfer = link.start(ask.kvBytes, drawStall(world, ask), {
        onProgress: listener.onProgress,
        onDone: () => {
          unpin()
          listener.onDone()
        }
      })
      return {
        abort: () => {
          unpin()
          transfer.abort()
        }
      }
    }
  }
}

function drawStall (world: World, name: AttemptName): boolean {
  const { seed } = world.parts
  return createRandom(seed, `stall/${name.requestId}/${name.attempt}`).next() < world.stallShare
}

function linkBetween (world: World, from: string, to: string): Link {
  const known = links.get(world) ?? new Map<string, Link>()
  links.set(world, known)
  const name = [from, to].sort().join('|')
  const rate = from === to ? LOCAL_LINK_BYTES_PER_SECOND : REMOTE_LINK_BYTES_PER_SECOND
  const link = known.get(name) ?? new Link(world.clock, rate)
  known.set(name, link)
  return link
}
