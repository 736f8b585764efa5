/**
 * Counters, gauges and latency histograms of a process, served in the Prometheus text format.
 *
 * @module
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Labels of a counter or histogram. */
export type Labels = Readonly<Record<string, string>>

/** Metrics of a process. */
export interface Metrics {
  readonly count: (name: string, labels?: Labels) => void
  readonly measureMs: (name: string, valueMs: number, labels?: Labels) => void
  /** Registers a gauge that is read each time the metrics are rendered. */
  readonly gauge: (name: string, read: () => number) => void
  /** @returns all metrics in the Prometheus text format */
  readonly text: () => string
}

/** Larger latencies are recorded as this value. */
const MAX_TRACKED_MS = 60_000

const QUANTILES: readonly number[] = [0.5, 0.9, 0.99]

/**
 * Creates an empty set of metrics.
 *
 * @returns the metrics
 */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const histograms = new Map<string, Histogram>()
  const gauges = new Map<string, () => number>()

  return {
    count: (name, labels = {}) => {
      const key = seriesOf(name, labels)
      counters.set(key, (counters.get(key) ?? 0) + 1)
    },
    measureMs: (name, valueMs, labels = {}) => {
      const key = seriesOf(name, labels)
      const histogram = histograms.get(key) ?? build({ bitBucketSize: 32, autoResize: false, lowestDiscernibleValue: 1, highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: 2 })
      histograms.set(key, histogram)
      histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(0, Math.round(valueMs))))
    },
    gauge: (name, read) => { gauges.set(name, read) },
    text: () => [
      ...[...counters].map(([key, value]) => `${key} ${value}`),
      ...[...gauges].map(([key, read]) => `${key} ${read()}`),
      ...[...histograms].flatMap(([key, histogram]) => histogramLines(key, histogram)),
      ''
    ].join('\n')
  }
}

/**
 * Creates the HTTP server of the metrics endpoint, without listening yet.
 *
 * @param metrics - metrics to serve
 * @returns the server
 */
export function createMetricsServer (metrics: Metrics): Server {
  return createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
    response.end(metrics.text())
  })
}

function histogramLines (key: string, histogram: Histogram): string[] {
  const [name = key, rest = ''] = key.split('{')
  const labels = rest.replace('}', '')
  const lines = QUANTILES.map((quantile) => {
    const all = [labels, `quantile="${quantile}"`].filter((part) => part !== '').join(',')
    return `${name}{${all}} ${histogram.getValueAtPercentile(quantile * 100)}`
  })
  const suffix = labels === '' ? '' : `{${labels}}`
  return [...lines, `${name}_count${suffix} ${histogram.totalCount}`, `${name}_sum${suffix} ${Math.round(histogram.mean * histogram.totalCount)}`]
}

function seriesOf (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value}"`)
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`
}
