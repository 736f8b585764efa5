/**
 * Metrics of a process, sent over UDP in the statsd format.
 *
 * @module
 */
import { isIP } from 'node:net'
import { StatsD } from 'hot-shots'
import type { State } from 'bendfall-core'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { MetricsSettings } from '../settings/BendfallNodeSettings.js'

/** Reads a gauge; undefined when it has no value for now. */
export type GaugeReader = (state: State) => number | undefined

/** What metrics need. */
export interface MetricsOptions {
  /** Where metrics go; absent: none are sent. */
  readonly collector?: MetricsSettings
  /** Gauges by name, besides `config_version`. */
  readonly gauges?: Readonly<Record<string, GaugeReader>>
  /** Between two readings of the gauges. Default 10 s. */
  readonly gaugePeriodMs?: number
  /** Told of failed sends; metrics never disturb the process. */
  readonly onError?: (error: Error) => void
}

const DEFAULT_GAUGE_PERIOD_MS = 10_000
const BUFFER_BYTES = 1_400
const FLUSH_PERIOD_MS = 200

const SHARED_GAUGES: Readonly<Record<string, GaugeReader>> = {
  config_version: (state) => state.config?.version
}

/**
 * Registers the effects `count` and `measure`, and reads gauges periodically.
 *
 * @param runtime - update path of the process
 * @param options - collector, gauges and hooks
 * @returns teardown that sends what is buffered
 */
export function registerMetrics (runtime: Runtime, options: MetricsOptions): () => Promise<void> {
  const { collector, gaugePeriodMs = DEFAULT_GAUGE_PERIOD_MS, gauges } = options
  if (collector === undefined) return async () => {}
  const client = createClient(runtime, collector, options.onError)
  const teardowns = [
    runtime.registerEffect('count', ({ metric, tags, value }) => { client.increment(metric, value, { ...tags }) }),
    runtime.registerEffect('measure', ({ metric, tags, valueMs }) => { client.timing(metric, valueMs, { ...tags }) }),
    registerGauges(runtime, client, { ...SHARED_GAUGES, ...gauges }, gaugePeriodMs)
  ]
  return async () => {
    for (const teardown of teardowns) teardown()
    await new Promise<void>((resolve) => client.close(() => resolve()))
  }
}

function createClient (runtime: Runtime, { host, port, prefix }: MetricsSettings, onError: ((error: Error) => void) | undefined): StatsD {
  const { availabilityZone, instanceId, role } = runtime.getState().self
  return new StatsD({
    host,
    port,
    prefix,
    protocol: 'udp',
    udpSocketOptions: { type: isIP(host) === 6 ? 'udp6' : 'udp4' },
    includeDataDogTags: false,
    originDetection: false,
    globalTags: { instance: instanceId, availabilityZone, role },
    maxBufferSize: BUFFER_BYTES,
    bufferFlushInterval: FLUSH_PERIOD_MS,
    errorHandler: onError ?? ignoreError
  })
}

function registerGauges ({ clock, getState }: Runtime, client: StatsD, gauges: Readonly<Record<string, GaugeReader>>, periodMs: number): () => void {
  let cancel = (): void => {}

  function readAll (): void {
    const state = getState()
    for (const [metric, read] of Object.entries(gauges)) {
      const value = read(state)
      if (value !== undefined) client.gauge(metric, value)
    }
    cancel = clock.callAt(clock.nowMs() + periodMs, readAll)
  }

  readAll()
  return () => cancel()
}

// Without a handler hot-shots throws from its socket's events.
function ignoreError (): void {}
