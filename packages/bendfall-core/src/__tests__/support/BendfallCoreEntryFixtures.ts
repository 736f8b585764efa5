import { createBendfallReducer, createInitialState } from '../../index.js'
import type { Config, Effect, Event, InstanceRecord, LanguageRequest, LoadView, State } from '../../index.js'

export const LOAD: LoadView = { freeKvBytes: 1e9, totalKvBytes: 1e9, activeRequests: 0, queuedPrefillTokens: 0, urgentPrefillTokens: 0, prefillTokensPerSecond: 10_000, stepMs: 20, readyInMs: 0, draining: false, configVersion: 1 }

export const CONFIG: Config = {
  version: 1,
  writeId: 'w1',
  classes: { interactive: { firstOutputMs: 1100, stepMs: 30 }, summary: { firstOutputMs: 8000, stepMs: 60 } },
  models: { quote: { version: 'v1', adapters: [], kvBytesPerToken: 100, weightBytes: 1e9 } },
  pools: { prefill: { role: 'prefill', model: 'quote', replicas: 2 }, decode: { role: 'decode', model: 'quote', replicas: 2 } },
  routes: [],
  clients: { a: { shareWeight: 1 }, b: { shareWeight: 1 } },
  links: [],
  assignments: {},
  withdrawn: []
}

export const INSTANCES: readonly InstanceRecord[] = ['prefill', 'decode'].flatMap((pool) => [1, 2].map((index): InstanceRecord => ({
  instanceId: `${pool}-${index}`,
  availabilityZone: 'split-hall-a',
  address: `127.0.0.1:${index}`,
  kind: 'upstream',
  pool,
  state: 'live'
})))

export const REQUEST: LanguageRequest = {
  requestId: 'r1',
  clientId: 'a',
  model: 'quote',
  trafficClass: 'summary',
  prompt: 'tender',
  promptTokens: 1000,
  maxOutputTokens: 10,
  prefixHashes: ['h1', 'h2'],
  firstOutputMs: 8000,
  idempotencyKey: '',
  keyIssuedAtMs: 0,
  bodyDigest: 'd'
}

export class EntrySession {
  readonly effects: Effect[] = []
  state: State
  private readonly reduce = createBendfallReducer()

  constructor () {
    this.state = createInitialState({ instanceId: 'e1', incarnation: 'i', availabilityZone: 'split-hall-a', role: 'entry', pool: '' }, 7)
  }

  ready (): this {
    this.send({ type: 'config_learned', atMs: 0, config: CONFIG })
    this.send({ type: 'instances_listed', atMs: 0, instances: INSTANCES })
    for (const { instanceId } of INSTANCES) this.send({ type: 'load_seen', atMs: 0, instanceId, load: LOAD })
    return this
  }

  send (event: Event): readonly Effect[] {
    const step = this.reduce(this.state, event)
    this.state = step.state
    this.effects.push(...step.effects)
    return step.effects
  }

  // Takes the request to the phase in which tokens may come.
  decode (attempt: number, atMs: number): string {
    const decodeId = this.last('send_reserve').instanceId
    this.send({ type: 'reserve_replied', atMs, requestId: 'r1', attempt, instanceId: decodeId, reply: { type: 'granted', readyInMs: 0, leaseMs: 5000, fencingToken: 1, load: LOAD } })
    const prefillId = this.last('send_prefill').instanceId
    this.send({ type: 'prefill_replied', atMs, requestId: 'r1', attempt, instanceId: prefillId, reply: { type: 'done', handle: 'k', exportUrl: 'u', kvBytes: 1e5, cachedTokens: 0, evictsInMs: 800, load: LOAD } })
    return decodeId
  }

  last<T extends Effect['type']> (type: T): Extract<Effect, { type: T }> {
    return this.all(type).at(-1) as Extract<Effect, { type: T }>
  }

  all<T extends Effect['type']> (type: T): ReadonlyArray<Extract<Effect, { type: T }>> {
    return this.effects.filter((effect): effect is Extract<Effect, { type: T }> => effect.type === type)
  }

  texts (): string {
    return this.all('emit_tokens').flatMap((effect) => effect.tokens).join('')
  }
}

export function arrived (): EntrySession {
  const session = new EntrySession().ready()
  session.send({ type: 'language_request_arrived', atMs: 10, request: REQUEST })
  return session
}
