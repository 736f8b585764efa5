/**
 * Settings of a process: what it is told at its start and never learns from
 * others. All else comes from the confirmed configuration.
 *
 * @module
 */
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import { checkDocument, readDocument } from './BendfallNodeDocument.js'
import type { Finding } from './BendfallNodeFinding.js'
import { findBrokenRules } from './BendfallNodeSettingsRules.js'
import { SETTINGS_SCHEMA } from './BendfallNodeSettingsSchema.js'

/** Addresses that a process listens on, `ip:port`; port 0 lets the system choose. */
export interface ListenSettings {
  /** For callers; entries only. */
  readonly callers?: string
  /** For other bendfall processes. */
  readonly peers: string
}

/** Where the platform's services are. */
export interface PlatformSettings {
  readonly keyValueUrl: string
  readonly instanceListUrl: string
}

/** The upstream beside a sidecar. */
export interface UpstreamSettings {
  readonly kind: 'engine' | 'service'
  readonly url: string
  /** Whether the engine refuses orders with an old fencing token; if not, it gets one order at a time. Default false. */
  readonly checksFencing: boolean
}

/** Where metrics go; none are sent without this. */
export interface MetricsSettings {
  /** IP number of the collector. */
  readonly host: string
  readonly port: number
  /** Put before each metric. Default `bendfall.`. */
  readonly prefix: string
}

/** Detail of the log. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Bounds on what callers may make a process hold. */
export interface LimitSettings {
  /** Longest body of a request. Default 4 MiB. */
  readonly bodyBytes: number
  /** Longest request line and headers. Default 16 KiB. */
  readonly headerBytes: number
  /** Requests from the first header byte to the last answer byte. Default 1024. */
  readonly openRequests: number
  /** Output held for a caller that reads slowly. Default 1 MiB. */
  readonly bufferedBytes: number
  /** Longest time for the headers of a request. Default 5 s. */
  readonly headerTimeoutMs: number
  /** Longest time for the body of a request, and for a caller to take a finished answer. Default 10 s. */
  readonly bodyTimeoutMs: number
  /** Longest time for work in flight to finish after a stop was asked for. Default 130 s. */
  readonly drainMs: number
  /**
   * Shortest time from a stop being asked for to the end of the process, idle
   * or not. New work is refused honestly meanwhile, so that the balancer and
   * the other processes hear of the stop before their connections end.
   * Default 2 s.
   */
  readonly lingerMs: number
}

/** Periods and bounds of waiting. */
export interface TimingSettings {
  /** Between two readings of the instance list. Default 1 s. */
  readonly instancePollMs: number
  /** Longest wait of one watch at the key-value service. Default 20 s. */
  readonly configWatchMs: number
  /** Between two readings of the engine's load. Default 250 ms. */
  readonly engineReportMs: number
  /** Lease of a holder of idempotency keys. Default 120 s. */
  readonly homeLeaseMs: number
  /** Longest wait for the connection to another bendfall process. Default 500 ms. */
  readonly connectTimeoutMs: number
}

/** Settings of a process, checked and with defaults. */
export interface Settings {
  readonly role: 'entry' | 'sidecar'
  readonly instanceId: string
  readonly availabilityZone: string
  /** Pool label of the instance; sidecars only. */
  readonly pool?: string
  readonly listen: ListenSettings
  /** Processes to ask for the configuration first, `ip:port`. Default none. */
  readonly peersSeeds: readonly string[]
  readonly platform: PlatformSettings
  /** Sidecars only. */
  readonly upstream?: UpstreamSettings
  readonly metrics?: MetricsSettings
  /** Default level `info`. */
  readonly log: { readonly level: LogLevel }
  readonly limits: LimitSettings
  readonly timings: TimingSettings
}

/**
 * Reads and checks a settings file.
 *
 * @param path - path of the JSON file
 * @returns settings with defaults filled in, or all findings
 */
export async function readSettings (path: string): Promise<Result<Settings, Finding[]>> {
  const document = await readDocument<Settings>(SETTINGS_SCHEMA, path)
  return document.andThen((settings) => checkRules(settings, path))
}

/**
 * Checks settings that were parsed already.
 *
 * @param value - the parsed document
 * @param file - name of the document in findings
 * @returns settings with defaults filled in, or all findings
 */
export function checkSettings (value: unknown, file: string): Result<Settings, Finding[]> {
  return checkDocument<Settings>(SETTINGS_SCHEMA, value, file).andThen((settings) => checkRules(settings, file))
}

function checkRules (settings: Settings, file: string): Result<Settings, Finding[]> {
  const findings = findBrokenRules(settings, file)
  return findings.length === 0 ? Ok(settings) : Err(findings)
}
