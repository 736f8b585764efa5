/**
 * Counts and times the ends of calls, whichever handler ended them.
 *
 * @module
 */
import type { Effect, EffectOf } from '../../BendfallCoreEffects.js'
import type { Event, EventType } from '../../BendfallCoreEvents.js'
import type { EventHandler } from '../../BendfallCoreReducer.js'
import type { State } from '../../BendfallCoreState.js'
import { callsOf } from './BendfallCoreCallTries.js'

/**
 * Adds the metrics of the calls that a handler ends.
 *
 * @param handler - a handler of calls
 * @returns the handler with metrics
 */
export function measureEnds<T extends EventType> (handler: EventHandler<T>): EventHandler<T> {
  return (state, event) => {
    const step = handler(state, event)
    const ends = step.effects.filter(isEnd)
    if (ends.length === 0) return step
    return { state: step.state, effects: [...step.effects, ...ends.flatMap((end) => measureEnd(state, end, event))] }
  }
}

function isEnd (effect: Effect): effect is EffectOf<'end_request'> {
  return effect.type === 'end_request'
}

/** @param state - the state before the end; a call refused at its arrival is not in it */
function measureEnd (state: State, { end, trafficClass }: EffectOf<'end_request'>, event: Event): readonly Effect[] {
  const record = callsOf(state).pending.get(end.requestId)
  const request = event.type === 'service_request_arrived' ? event.request : record?.request
  const tags = { trafficClass, pool: request?.pool ?? '', outcome: end.outcome, reason: end.reason ?? reasonOf(end.outcome) }
  const valueMs = event.atMs - (record?.arrivedAtMs ?? event.atMs)
  return [
    { type: 'count', metric: 'calls', value: 1, tags },
    { type: 'measure', metric: 'call_duration', valueMs, tags }
  ]
}

function reasonOf (outcome: string): string {
  return outcome === 'cancelled' ? 'caller_left' : 'none'
}
