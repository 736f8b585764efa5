import { createRouterState, reduceRouter, TICK_MS } from '../../index.js'
import type { Replica, ReplicaLoad, ReplicaStage, Route, RouterConfig, RouterEffect, RouterEffectOf, RouterEvent, RouterState } from '../../index.js'

type WithoutTime<E> = E extends unknown ? Omit<E, 'atMs'> : never

/** A simulated entry: reduces events in virtual time and returns their effects. */
export interface RouterSimulation {
  readonly state: RouterState
  readonly nowMs: () => number
  /** Advances the time, with the regular ticks. */
  readonly wait: (ms: number) => void
  /** Advances the time without an event, as while the process is paused. */
  readonly freeze: (ms: number) => void
  /** Reduces an event and returns its effects, except for log lines. */
  readonly reduce: (event: WithoutTime<RouterEvent>) => RouterEffect[]
  /** Like `reduce`, but also answers requests for loads immediately. */
  readonly send: (event: WithoutTime<RouterEvent>) => RouterEffect[]
}

const SUMMARY: Route = {
  name: 'summary',
  host: 'quotes.example',
  pathPrefix: '/summaries/',
  kind: 'streaming',
  timeoutMs: 14_000,
  targetLatencyMs: 900,
  targetGapMs: 300,
  patienceMs: 3_600,
  priority: 1,
  maxAttempts: 1,
  hasPrompt: true,
  isResumable: false,
  allowsAnonymous: false,
  services: [{ service: 'llm', weight: 1 }]
}

/** Creates a streaming route for summaries, with the given fields overridden. */
export function summaryRoute (change: Partial<Route> = {}): Route {
  return { ...SUMMARY, ...change }
}

/** Creates a route for plain calls, with the given fields overridden. */
export function plainRoute (change: Partial<Route> = {}): Route {
  return { ...SUMMARY, name: 'plain', pathPrefix: '/rates/', kind: 'idempotent', timeoutMs: 1_200, targetLatencyMs: 150, maxAttempts: 2, hasPrompt: false, services: [{ service: 'app', weight: 1 }], ...change }
}

/** Creates a configuration with the given routes, a model service and a plain service. */
export function configOf (version: number, routes: readonly Route[]): RouterConfig {
  return {
    version,
    routes,
    services: [
      { name: 'llm', maxConnections: 370, engine: { slots: 64, kvTokens: 37_000, handleTtlMs: 500, switchMs: 6_000 } },
      { name: 'app', maxConnections: 110 }
    ],
    limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  }
}

/** Creates the registration of a replica, whose id is also its host name. */
export function replicaOf (replicaId: string, stage: ReplicaStage, change: Partial<Replica> = {}): Replica {
  return { replicaId, registeredAtRevision: 1, revision: 1, heartbeats: 1, service: stage === 'plain' ? 'app' : 'llm', softwareVersion: 'v1', address: `${replicaId}:80`, availabilityZone: 'a', slots: 6, isDraining: false, stage, ...change }
}

/** Creates the load of a replica with the same free memory at all horizons. */
export function loadOf (replicaId: string, stage: ReplicaStage, room: number): ReplicaLoad {
  return { replicaId, stage, isHealthy: true, capacityTokens: 37_000, roomTokens: Array.from({ length: 10 }, () => room), backlogTokens: 0 }
}

/** Creates a simulated entry that has learned a configuration and replicas. */
export function createSimulation (routes: readonly Route[], replicas: readonly Replica[]): RouterSimulation {
  const state = createRouterState(7, 'entry-1')
  let nowMs = 1_000
  const reduce = (event: WithoutTime<RouterEvent>): RouterEffect[] =>
    reduceRouter(state, { ...event, atMs: nowMs } as RouterEvent).filter(({ type }) => type !== 'log')
  // The responses of the ledgers add nothing to the loads that the test has sent.
  const send = (event: WithoutTime<RouterEvent>): RouterEffect[] => reduce(event).flatMap((effect) => {
    if (effect.type !== 'ask_loads') return [effect]
    return effect.request === undefined ? [] : send({ type: 'loads_answered', key: effect.request.key, attempt: effect.request.attempt })
  })
  const wait = (ms: number): void => {
    for (const endMs = nowMs + ms; nowMs < endMs;) {
      nowMs = Math.min(endMs, nowMs + TICK_MS)
      reduce({ type: 'time_passed' })
    }
  }
  send({ type: 'config_learned', config: configOf(1, routes) })
  send({ type: 'replicas_changed', present: replicas, gone: [] })
  return { state, nowMs: () => nowMs, reduce, send, wait, freeze: (ms) => { nowMs += ms } }
}

const MODELS = [replicaOf('p1', 'prefill'), replicaOf('d1', 'decode'), replicaOf('d2', 'decode')]

/** Creates a simulated entry with one prefill and two decode replicas, of which the first has more free memory. */
export function createModelSimulation (change: Parameters<typeof summaryRoute>[0] = {}): RouterSimulation {
  const simulation = createSimulation([summaryRoute(change)], MODELS)
  simulation.send({ type: 'load_learned', load: loadOf('d1', 'decode', 30_000) })
  simulation.send({ type: 'load_learned', load: loadOf('d2', 'decode', 10_000) })
  return simulation
}

/** Creates the arrival of a request for a summary, or for another path. */
export function arrival (key: string, path = '/summaries/1'): WithoutTime<RouterEvent> {
  const prompt = path.startsWith('/summaries/') ? { promptTokens: 3_000, maxOutputTokens: 2_000, outputHintTokens: 800 } : undefined
  return { type: 'request_arrived', arrival: { key, requestId: `id-${key}`, fingerprint: key, host: 'quotes.example', path, deadlineMs: 14_000, prompt } }
}

/** Returns the only effect of a type, and throws if there is none or more than one. */
export function only<T extends RouterEffect['type']> (effects: readonly RouterEffect[], type: T): RouterEffectOf<T> {
  const found = effects.filter((effect) => effect.type === type)
  if (found.length !== 1) throw new Error(`${found.length} effects of type ${type} instead of one: ${JSON.stringify(effects)}`)
  return found[0] as RouterEffectOf<T>
}

/** Returns the types of the effects, in order. */
export function typesOf (effects: readonly RouterEffect[]): string[] {
  return effects.map(({ type }) => type)
}
