/**
 * Fetches the reports of a replica over persistent connections, and marks those that may be a
 * duplicate response to an earlier request.
 *
 * @module
 */
import type { Clock } from 'bendfall-node'
import type { EngineReport, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createConnectionPool } from '../replica/BendfallEdgeConnections.js'
import type { ConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { startControlCall } from '../replica/BendfallEdgeControlCall.js'
import type { ControlCallOutcome } from '../replica/BendfallEdgeControlCall.js'

/** Timeout of a report. */
const REPORT_TIMEOUT_MS = 400

/** Maximum size of a report's body. */
const MAX_REPORT_BYTES = 262_144

/** Number of remembered report bodies, a few kilobytes each, after which new connections are opened. */
const MAX_REMEMBERED_BODIES = 256

const OK_STATUS = 200

/** A report that was fetched. */
export interface ReadReport {
  readonly report: EngineReport
  /** When it was requested. */
  readonly askedAtMs: number
  /** When the first report with the same body was requested on these connections. */
  readonly firstAskedAtMs: number
  /** Whether the same body was received before on these connections, so that it may be a duplicate response. */
  readonly isRepeat: boolean
}

/** Persistent connections, with the bodies received on them and the time at which each was first requested. */
interface ReportSource {
  readonly pool: ConnectionPool
  readonly bodies: Map<string, number>
}

/** Calls that fetch the reports of a replica. */
export interface ReportCalls {
  /** @returns the report; undefined when it timed out or can't be decoded */
  readonly read: () => Promise<ReadReport | undefined>
  /**
   * Fetches a report over a new connection, whose first response can't be a duplicate, and uses
   * this connection from then on. If it yields no report, the previous one stays in use.
   */
  readonly readOnNewConnection: () => Promise<ReadReport | undefined>
  readonly close: () => void
}

/**
 * Creates the calls. Reports carry no request id that would identify duplicates, and a
 * connection for each report would be expensive: on a simulated day, 3,674 reports were
 * requested from nine replicas.
 *
 * @param address - `ip:port` of the replica
 * @param dialect - dialect of its platform
 * @param clock - clock for timeouts
 * @returns the calls
 */
export function createReportCalls (address: string, dialect: ReplicaDialect, clock: Clock): ReportCalls {
  let source = openSource(address)
  let requestCount = 0
  let isClosed = false

  function toReport (bodies: Map<string, number>, askedAtMs: number, { body, headers, status }: Extract<ControlCallOutcome, { readonly type: 'answered' }>): ReadReport | undefined {
    const text = body.toString('latin1')
    const isRepeat = bodies.has(text)
    const firstAskedAtMs = bodies.get(text) ?? askedAtMs
    bodies.set(text, firstAskedAtMs)
    const report = status === OK_STATUS ? dialect.readReport(body, headers).unwrapOr(undefined) : undefined
    return report === undefined ? undefined : { report, askedAtMs, firstAskedAtMs, isRepeat }
  }

  function fetchReport ({ bodies, pool }: ReportSource): Promise<ReadReport | undefined> {
    requestCount += 1
    const askedAtMs = clock.nowMs()
    const request = { ...dialect.report, headers: [], requestId: `report-${requestCount}` }
    return new Promise((resolve) => {
      startControlCall(pool, request, { clock, timeoutMs: REPORT_TIMEOUT_MS, maxBytes: MAX_REPORT_BYTES }, (answer) => {
        resolve(answer.type === 'answered' ? toReport(bodies, askedAtMs, answer) : undefined)
      })
    })
  }

  // A replica at its connection limit accepts no new connection, so the current one is closed
  // only after the new one has worked. Without this, 18 of 20 reports failed and the replica
  // counted as lost.
  async function readOnNewConnection (): Promise<ReadReport | undefined> {
    const newSource = openSource(address)
    const read = await fetchReport(newSource)
    if (read === undefined || isClosed) {
      newSource.pool.destroy()
      return undefined
    }
    source.pool.destroy()
    source = newSource
    return read
  }

  async function read (): Promise<ReadReport | undefined> {
    const readOnNew = source.bodies.size >= MAX_REMEMBERED_BODIES ? await readOnNewConnection() : undefined
    return readOnNew ?? await fetchReport(source)
  }

  function close (): void {
    isClosed = true
    source.pool.destroy()
  }

  return { read, readOnNewConnection, close }
}

function openSource (address: string): ReportSource {
  return { pool: createConnectionPool(address, () => {}), bodies: new Map() }
}
