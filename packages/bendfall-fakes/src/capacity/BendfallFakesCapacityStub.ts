/**
 * A runtime whose reducer returns fixed responses, so that the transport is
 * measured without the decision logic.
 *
 * @module
 */
import type { Effect, Event, InstanceRecord, State } from 'bendfall-core'
import { createLamportClock, createRuntime, createSenderClock, createSystemClock } from 'bendfall-node'
import type { PeerVersionListener, Runtime, SenderClock } from 'bendfall-node'
import { Map as ImmutableMap } from 'immutable'

/** Runtime and sender clock of a stub process. */
export interface Stub {
  readonly runtime: Runtime
  readonly sender: SenderClock
  /** Carries out effects as if the reducer had returned them. */
  readonly carryOut: (...effects: readonly Effect[]) => void
}

/**
 * Creates a stub process that responds to events with effects and keeps no state.
 *
 * @param instanceId - instance id of the process
 * @param records - instances that the process knows
 * @param respond - returns the effects of an event
 * @param onPeerVersion - called with the sender of each received message
 * @returns the stub process
 */
export function createStub (instanceId: string, records: readonly InstanceRecord[], respond: (event: Event) => readonly Effect[], onPeerVersion: PeerVersionListener = () => {}): Stub {
  const members = ImmutableMap(records.map((record) => [record.instanceId, { record }]))
  const self = { instanceId, incarnation: '00000000-0000-4000-8000-0123456789ab', availabilityZone: 'a', role: 'entry', pool: '' }
  const state = { self, seed: 1, members, stopping: false } as unknown as State
  const pendingEffects: Effect[] = []
  const runtime = createRuntime((current, event) => ({ state: current, effects: [...pendingEffects.splice(0), ...respond(event)] }), state, createSystemClock())
  return {
    runtime,
    sender: createSenderClock(runtime, createLamportClock(), onPeerVersion),
    carryOut: (...effects) => {
      pendingEffects.push(...effects)
      runtime.dispatch({ type: 'timer_fired', timer: { kind: 'retry', id: 'stub' } })
    }
  }
}
