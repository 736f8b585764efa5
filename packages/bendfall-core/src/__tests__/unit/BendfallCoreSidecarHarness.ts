/**
 * Drives the sidecar role with events on a hand-moved clock.
 *
 * @module
 */
import { createBendfallReducer, createInitialState } from '../../index.js'
import type { CallAsk, Config, DecodeAsk, Effect, EffectOf, EffectType, Event, PrefillAsk, ReserveAsk, State } from '../../index.js'

type WithoutTime<E> = E extends unknown ? Omit<E, 'atMs'> : never

/** An event before the harness stamps its time. */
export type SidecarEventInput = WithoutTime<Event>

/** Part of a pool in the configuration, by name of the pool. */
export const POOLS: Config['pools'] = {
  decodes: { role: 'decode', model: 'quote', replicas: 1 },
  decodesB: { role: 'decode', model: 'digest', replicas: 1 },
  prefills: { role: 'prefill', model: 'quote', replicas: 1 },
  rates: { role: 'service', replicas: 1 }
}

const MODEL = { version: '1', adapters: [], kvBytesPerToken: 1, weightBytes: 10 }

export function makeConfig (version: number, patch: Partial<Config> = {}): Config {
  return {
    version,
    writeId: `w${version}`,
    classes: { interactive: { firstOutputMs: 500, stepMs: 50 }, summary: { firstOutputMs: 5000, stepMs: 100 } },
    models: { quote: MODEL, digest: MODEL },
    pools: POOLS,
    routes: [{ pathPrefix: '/rates', pool: 'rates', trafficClass: 'interactive', repeatableMethods: ['GET'] }, { pathPrefix: '/rates/bulk', pool: 'rates', trafficClass: 'summary', repeatableMethods: [] }],
    clients: {},
    links: [],
    assignments: {},
    withdrawn: [],
    ...patch
  }
}

export function reserveAsk (requestId: string, patch: Partial<ReserveAsk> = {}): ReserveAsk {
  return { requestId, attempt: 1, entryId: 'e1', entryIncarnation: 'n1', clientId: 'c1', model: 'quote', trafficClass: 'summary', kvBytes: 400, maxOutputTokens: 100, neededInMs: 0, maxReadyInMs: 60_000, ...patch }
}

export function decodeAsk (requestId: string, patch: Partial<DecodeAsk> = {}): DecodeAsk {
  return { requestId, attempt: 1, entryId: 'e1', fencingToken: 1, model: 'quote', trafficClass: 'summary', handle: 'h', exportUrl: 'u', kvBytes: 300, prompt: 'p', maxOutputTokens: 100, resumeTokens: [], ...patch }
}

export function prefillAsk (requestId: string, patch: Partial<PrefillAsk> = {}): PrefillAsk {
  return { requestId, attempt: 1, entryId: 'e1', model: 'quote', trafficClass: 'summary', prompt: 'p', promptTokens: 1000, expectedTokens: 1000, notBeforeInMs: 0, prefixHashes: [], maxWaitMs: 5000, ...patch }
}

export function callAsk (requestId: string, patch: Partial<CallAsk> = {}): CallAsk {
  return { requestId, attempt: 1, entryId: 'e1', clientId: 'c1', pool: 'rates', method: 'POST', path: '/rates/1', contentType: '', body: new Uint8Array(), repeatable: false, idempotencyKey: '', keyIssuedAtMs: 0, bodyDigest: '', maxWaitMs: 1000, ...patch }
}

/** A sidecar under test. */
export class SidecarHarness {
  state: State
  atMs = 1000
  private readonly reduce = createBendfallReducer()

  constructor (pool: string, checksFencing = false) {
    this.state = createInitialState({ instanceId: 'i1', incarnation: 'n1', availabilityZone: 'z1', role: 'sidecar', pool, checksFencing }, 1)
  }

  send (input: SidecarEventInput): readonly Effect[] {
    const step = this.reduce(this.state, { ...input, atMs: this.atMs } as Event)
    this.state = step.state
    return step.effects
  }

  /** Learns a configuration, carries its order out and reports 1000 bytes. */
  start (config = makeConfig(1)): this {
    this.send({ type: 'config_learned', config })
    this.send({ type: 'engine_order_ended', fencingToken: config.version, result: { type: 'done' } })
    this.report(1000)
    return this
  }

  report (totalKvBytes: number, usedKvBytes = 0): readonly Effect[] {
    return this.send({ type: 'engine_reported', report: { totalKvBytes, usedKvBytes, stepMs: 10, prefillTokensPerSecond: 1000 } })
  }

  reserve (requestId: string, patch: Partial<ReserveAsk> = {}): EffectOf<'reply_reserve'>['reply'] {
    return only(this.send({ type: 'reserve_asked', ask: reserveAsk(requestId, patch) }), 'reply_reserve').reply
  }

  /** Asks for a reservation that may have to wait for its grant. */
  ask (requestId: string, patch: Partial<ReserveAsk> = {}): ReadonlyArray<EffectOf<'reply_reserve'>> {
    return all(this.send({ type: 'reserve_asked', ask: reserveAsk(requestId, patch) }), 'reply_reserve')
  }

  /** Reserves and goes on until the engine makes output. */
  decode (requestId: string, patch: Partial<ReserveAsk> = {}): readonly Effect[] {
    const grant = this.reserve(requestId, patch)
    const fencingToken = grant.type === 'granted' ? grant.fencingToken : -1
    const attempt = patch.attempt ?? 1
    this.send({ type: 'decode_asked', ask: decodeAsk(requestId, { attempt, fencingToken, kvBytes: 1 }) })
    return this.send({ type: 'engine_import_ended', requestId, attempt, result: { type: 'done' } })
  }

  fire (kind: 'decode_lease' | 'transfer_progress' | 'drain_check' | 'reconcile' | 'retry' | 'first_output_deadline', id: string): readonly Effect[] {
    return this.send({ type: 'timer_fired', timer: { kind, id } })
  }

  get held (): number {
    const { heldKvBytes } = this.state.sidecar!.memory
    return heldKvBytes.interactive + heldKvBytes.summary
  }
}

export function all<T extends EffectType> (effects: readonly Effect[], type: T): ReadonlyArray<EffectOf<T>> {
  return effects.filter((effect): effect is EffectOf<T> => effect.type === type)
}

export function only<T extends EffectType> (effects: readonly Effect[], type: T): EffectOf<T> {
  const found = all(effects, type)
  if (found.length !== 1) throw new Error(`${found.length} effects ${type}`)
  return found[0]
}
