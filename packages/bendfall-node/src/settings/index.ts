/**
 * Settings and checks of JSON documents.
 *
 * @module
 */
export { checkDocument, parseDocument, readDocument } from './BendfallNodeDocument.js'
export { describeFound, formatFindings } from './BendfallNodeFinding.js'
export type { Finding } from './BendfallNodeFinding.js'
export { isIpPort } from './BendfallNodeFormats.js'
export { checkSettings, readSettings } from './BendfallNodeSettings.js'
export type { LimitSettings, ListenSettings, LogLevel, MetricsSettings, PlatformSettings, Settings, TimingSettings, UpstreamSettings } from './BendfallNodeSettings.js'
