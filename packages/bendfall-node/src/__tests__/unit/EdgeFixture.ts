import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { once } from 'node:events'
import type { Config, Effect, Event, EventOf, EventType, Reducer, State } from 'bendfall-core'
import { createInitialState } from 'bendfall-core'
import { createSystemClock } from '../../runtime/BendfallNodeClock.js'
import { createRuntime } from '../../runtime/BendfallNodeRuntime.js'
import type { Runtime } from '../../runtime/BendfallNodeRuntime.js'
import { registerEdge } from '../../edge/index.js'
import type { Edge, Refusal } from '../../edge/index.js'
import type { LimitSettings } from '../../settings/index.js'

// Timeouts that no busy machine reaches; tests of a timeout set their own.
export const LIMITS: LimitSettings = { bodyBytes: 20_000, headerBytes: 4_096, openRequests: 4, bufferedBytes: 65_536, headerTimeoutMs: 30_000, bodyTimeoutMs: 30_000, drainMs: 1_000, lingerMs: 1 }

export const CONFIG: Config = {
  version: 1,
  writeId: 'w',
  classes: { interactive: { firstOutputMs: 500, stepMs: 50 }, summary: { firstOutputMs: 5_000, stepMs: 200 } },
  models: { quote: { version: '1', adapters: [], kvBytesPerToken: 10, weightBytes: 1 } },
  pools: { freight: { role: 'service', replicas: 1 } },
  routes: [
    { pathPrefix: '/rates', pool: 'freight', trafficClass: 'interactive', repeatableMethods: ['GET', 'POST'] },
    { pathPrefix: '/rates/book', pool: 'freight', trafficClass: 'summary', repeatableMethods: ['GET'] }
  ],
  clients: {},
  links: [],
  assignments: {},
  withdrawn: []
}

/** Effects that a test lets the reducer answer an event with. */
export type Script = (event: Event) => readonly Effect[]

export interface Fixture {
  readonly edge: Edge
  readonly runtime: Runtime
  /** What the edge refused by itself. */
  readonly refused: readonly Refusal[]
  readonly url: string
  /** Resolves with the next event of a type, also with one seen before. */
  readonly seen: <T extends EventType>(type: T) => Promise<EventOf<T>>
  readonly count: (type: EventType) => number
  /** Lets the reducer emit effects. */
  readonly emit: (...effects: Effect[]) => void
}

export async function startEdge (script: Script = () => [], limits: Partial<LimitSettings> = {}, config: Config | undefined = CONFIG): Promise<Fixture> {
  const self = { instanceId: 'entry-1', incarnation: 'i', availabilityZone: 'levis', role: 'entry', pool: '' } as const
  const initial: State = { ...createInitialState(self, 1), config }
  const events: Event[] = []
  const waiting = new Set<(event: Event) => void>()
  let pending: readonly Effect[] = []
  const reducer: Reducer = (state, event) => {
    if (event.type === 'timer_fired') return { state, effects: pending }
    return { state: event.type === 'stop_asked' ? { ...state, stopping: true } : state, effects: script(event) }
  }
  const runtime = createRuntime(reducer, initial, createSystemClock())
  runtime.registerListener((event) => {
    events.push(event)
    for (const wake of [...waiting]) wake(event)
  })
  const refused: Refusal[] = []
  const onRefusedInput = (refusal: Refusal): void => { refused.push(refusal) }
  const edge = await registerEdge(runtime, { listen: '127.0.0.1:0', limits: { ...LIMITS, ...limits }, onRefusedInput })
  return {
    edge,
    runtime,
    refused,
    url: `http://${edge.address}`,
    seen: async (type) => await new Promise((resolve) => {
      const wake = (event: Event): void => {
        if (event.type !== type) return
        waiting.delete(wake)
        resolve(event as EventOf<typeof type>)
      }
      waiting.add(wake)
      events.filter((event) => event.type === type).slice(0, 1).forEach(wake)
    }),
    count: (type) => events.filter((event) => event.type === type).length,
    emit: (...effects) => {
      pending = effects
      runtime.dispatch({ type: 'timer_fired', timer: { kind: 'retry', id: 'test' } })
    }
  }
}

export function endOf (requestId: string, reason?: 'key_conflict' | 'capacity' | 'upstream_unreachable', outcome: 'not_run' | 'unknown' | 'answered' = reason === undefined ? 'answered' : 'not_run'): Effect {
  return { type: 'end_request', trafficClass: 'summary', end: { requestId, outcome, reason, retryAfterMs: reason === 'capacity' ? 1_200 : 0, detail: '' } }
}

export function chat (body: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: 'quote', messages: [{ role: 'user', content: 'a tender' }], ...body })
}

/** Sends raw bytes and collects what comes back until the other side closes. */
export async function exchangeRaw (edge: Edge, bytes: string): Promise<string> {
  const socket = await openRaw(edge)
  socket.write(bytes)
  let text = ''
  socket.on('data', (chunk) => { text += chunk })
  // Not events.once: it would take the refusal of what is still being written for a failure of the test.
  await new Promise<void>((resolve) => socket.once('close', () => resolve()))
  return text
}

export async function openRaw (edge: Edge): Promise<Socket> {
  const socket = connect(Number(edge.address.split(':')[1]), '127.0.0.1')
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}
