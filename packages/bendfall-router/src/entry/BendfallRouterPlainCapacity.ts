/**
 * Capacity of an entry at the plain replicas of a service, by the limits and response times that it observes.
 *
 * @module
 */
import { createForecastError } from '../BendfallRouterForecastError.js'
import type { ForecastError } from '../BendfallRouterForecastError.js'
import { createOnTimeLoad, onTimePerMs } from '../BendfallRouterOnTimeLoad.js'
import type { OnTimeLoad } from '../BendfallRouterOnTimeLoad.js'
import type { PlainCapacity } from '../plain/BendfallRouterPlainForecast.js'
import { nextPlaceInMs } from '../plain/BendfallRouterPlainLimit.js'
import { highLatencyMs, meanLatencyMs } from './BendfallRouterEstimates.js'
import type { ReplicaView } from './BendfallRouterState.js'

/** Half-life of the pace in its moving average: limits rise and fall within a second. */
const PACE_HALF_LIFE_MS = 500

/** How fast an entry gets places at the replicas of a service, and how long they take to answer, averaged over time. */
interface PlainPace {
  perMs: number
  /** Time that few responses exceed, and their mean time. */
  responseMs: number
  meanResponseMs: number
  /** Number of replicas that it stands for; another number has another pace. */
  replicas: number
  atMs: number
}

/** What an entry has observed of the calls of a service. */
export interface PlainLoad {
  /** Observed error of the waits that were forecast. */
  readonly error: ForecastError
  readonly pace: PlainPace
  /** Rate of the calls that were expected to meet their targets when they arrived. */
  readonly onTimeLoad: OnTimeLoad
}

/** @returns no observations */
export function createPlainLoad (): PlainLoad {
  return { error: createForecastError(), pace: { perMs: 0, responseMs: 0, meanResponseMs: 0, replicas: 0, atMs: 0 }, onTimeLoad: createOnTimeLoad() }
}

/**
 * Returns the capacity of an entry at some replicas.
 *
 * @param usable - replicas that calls may be sent to
 * @param queue - load of their service; its pace is changed in place
 * @param nowMs - current time
 * @returns the capacity
 */
export function capacityOf (usable: readonly ReplicaView[], queue: PlainLoad, nowMs: number): PlainCapacity {
  let perMs = 0
  for (const view of usable) perMs += (view.plainLimit?.calls ?? Math.max(1, view.inFlight)) / meanLatencyMs(view)
  const nextInMs = Math.min(...usable.map((view) => nextPlaceInMs(view.plainLimit, view.inFlight, meanLatencyMs(view), nowMs)))
  const pace = updatePace(queue.pace, { perMs, responseMs: meanOf(usable, highLatencyMs), meanResponseMs: meanOf(usable, meanLatencyMs), replicas: usable.length }, nowMs)
  return { ...pace, nextPlaceInMs: nextInMs, onTimePerMs: memoizeOnTime(queue.onTimeLoad, nowMs), error: queue.error }
}

// The forecasts of all calls of a queue use the same few rates.
function memoizeOnTime (load: OnTimeLoad, nowMs: number): (priority: number) => number {
  const rates = new Map<number, number>()
  return (priority) => {
    const perMs = rates.get(priority) ?? onTimePerMs(load, priority, nowMs)
    rates.set(priority, perMs)
    return perMs
  }
}

// A limit falls by a third at each refusal and the response times only follow, which says nothing about the next second.
function updatePace (pace: PlainPace, sample: Omit<PlainPace, 'atMs'>, nowMs: number): PlainPace {
  const weight = pace.replicas === sample.replicas ? 1 - 0.5 ** ((nowMs - pace.atMs) / PACE_HALF_LIFE_MS) : 1
  for (const field of ['perMs', 'responseMs', 'meanResponseMs'] as const) pace[field] += weight * (sample[field] - pace[field])
  pace.replicas = sample.replicas
  pace.atMs = nowMs
  return pace
}

function meanOf (views: readonly ReplicaView[], timeMs: (view: ReplicaView) => number): number {
  return views.reduce((sum, view) => sum + timeMs(view), 0) / views.length
}
