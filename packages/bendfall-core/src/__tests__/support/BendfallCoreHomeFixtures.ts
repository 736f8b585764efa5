/**
 * States, calls and events for the tests of key homes and plain calls.
 *
 * @module
 */
import type { CallAsk, Config, Effect, Event, EventOf, InstanceRecord, ServiceRequest, State } from '../../index.js'
import { createBendfallReducer, createInitialState } from '../../index.js'

export const POOL = 'booking'
export const NOW_MS = 1_000_000
/** Wall-clock time minus monotonic time of all test processes. */
export const WALL_OFFSET_MS = 5_000_000
export const SIDECARS = ['booking-1', 'booking-2', 'booking-3']

/** Runs one process and keeps its state and the effects of its last event. */
export class TestProcess {
  state: State
  effects: readonly Effect[] = []
  readonly #reduce = createBendfallReducer()

  constructor (role: 'entry' | 'sidecar', instanceId: string, sidecars: readonly string[] = SIDECARS) {
    const self = { instanceId, incarnation: '1', availabilityZone: 'zadar-hall', role, pool: role === 'entry' ? '' : POOL }
    this.state = createInitialState(self, 7)
    this.send({ type: 'config_learned', config: CONFIG, atMs: 0 })
    this.send({ type: 'instances_listed', instances: sidecars.map(recordOf), atMs: 0 })
  }

  send (event: Event): readonly Effect[] {
    const step = this.#reduce(this.state, event)
    this.state = step.state
    this.effects = step.effects
    return step.effects
  }

  /** The only effect of a type that the last event led to. */
  effect<T extends Effect['type']> (type: T): Extract<Effect, { type: T }> {
    const found = this.effects.filter((effect) => effect.type === type)
    if (found.length !== 1) throw new Error(`${found.length} effects ${type} in ${JSON.stringify(this.effects)}`)
    return found[0] as Extract<Effect, { type: T }>
  }
}

const CONFIG: Config = {
  version: 1,
  writeId: 'w',
  classes: { interactive: { firstOutputMs: 500, stepMs: 50 }, summary: { firstOutputMs: 5_000, stepMs: 100 } },
  models: {},
  pools: { [POOL]: { role: 'service', replicas: 3 } },
  routes: [],
  clients: {},
  links: [],
  assignments: {},
  withdrawn: []
}

function recordOf (instanceId: string): InstanceRecord {
  return { instanceId, availabilityZone: 'zadar-hall', address: `${instanceId}:1`, kind: 'upstream', pool: POOL, state: 'live' }
}

export function leaseOfAllSlots (validUntilMs: number, sinceWallMs = 0, atMs = NOW_MS): EventOf<'home_lease_changed'> {
  const slots = Array.from({ length: 16 }, (_, slot) => ({ slot, epoch: 3, sinceWallMs }))
  return { type: 'home_lease_changed', pool: POOL, slots, holders: [], validUntilMs, wallMs: atMs + WALL_OFFSET_MS, atMs }
}

export function callAsk (part: Partial<CallAsk> = {}): CallAsk {
  return { ...serviceRequest(), attempt: 1, entryId: 'entry-1', maxWaitMs: 1_000, ...part }
}

export function serviceRequest (part: Partial<ServiceRequest> = {}): ServiceRequest {
  return {
    requestId: 'r1',
    clientId: 'haulier-7',
    trafficClass: 'interactive',
    pool: POOL,
    method: 'POST',
    path: '/bookings',
    contentType: 'application/json',
    body: new Uint8Array([1]),
    repeatable: false,
    idempotencyKey: 'k1',
    keyIssuedAtMs: NOW_MS + WALL_OFFSET_MS,
    bodyDigest: 'd1',
    answerMs: 10_000,
    ...part
  }
}

export function serviceAnswer (requestId: string, atMs: number, attempt = 1): EventOf<'service_replied'> {
  return { type: 'service_replied', requestId, attempt, result: { type: 'answered', status: 201, contentType: 'text/plain', body: new Uint8Array([7]) }, atMs }
}
