/**
 * Logs, metrics and time line.
 *
 * @module
 */
export { registerEventLog } from './BendfallNodeEventLog.js'
export { DECODE_GAUGES } from './BendfallNodeGauges.js'
export { createLamportClock } from './BendfallNodeLamport.js'
export type { LamportClock } from './BendfallNodeLamport.js'
export { createLogger } from './BendfallNodeLogger.js'
export type { LogEvent, Logger, LoggerOptions } from './BendfallNodeLogger.js'
export { formatLogLine } from './BendfallNodeLogLine.js'
export type { LogFields } from './BendfallNodeLogLine.js'
export { registerMetrics } from './BendfallNodeMetrics.js'
export type { GaugeReader, MetricsOptions } from './BendfallNodeMetrics.js'
export { DEFAULT_TIMELINE_EVENTS, registerTimeline } from './BendfallNodeTimeline.js'
export type { Timeline, TimelineEvent } from './BendfallNodeTimeline.js'
export { formatTimeline, mergeTimelines } from './BendfallNodeTimelineMerge.js'
export type { TimelineFormat } from './BendfallNodeTimelineMerge.js'
