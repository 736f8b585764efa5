/**
 * Asks a replica for its reports over connections that are kept, and tells which of them
 * may be a second answer to an earlier question.
 *
 * @module
 */
import type { Clock } from 'bendfall-node'
import type { EngineReport, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createConnectionPool } from '../replica/BendfallEdgeConnections.js'
import type { ConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { startOwnCall } from '../replica/BendfallEdgeOwnCall.js'
import type { OwnCallOutcome } from '../replica/BendfallEdgeOwnCall.js'

/** A report later than this is a failure. */
const REPORT_TIMEOUT_MS = 400

/** Longest body of a report. */
const MAX_REPORT_BYTES = 262_144

/** Reports whose bodies are remembered, some kilobytes each; connections are opened anew then. */
const MAX_REMEMBERED_BODIES = 256

const OK_STATUS = 200

/** A report as it was read. */
export interface ReadReport {
  readonly report: EngineReport
  /** Whether its body came before on these connections, so that it may be a second answer. */
  readonly isRepeat: boolean
}

/** Kept connections, and what was read on them. */
interface ReportSource {
  readonly pool: ConnectionPool
  readonly bodies: Set<string>
}

/** Reports of a replica. */
export interface ReportCalls {
  /** @returns the report; undefined when there is none in time, or none that can be read */
  readonly read: () => Promise<ReadReport | undefined>
  /**
   * Asks over a new connection, whose first answer is a second one to nothing, and goes on
   * with it; with the former one where that gives no report.
   */
  readonly readOnNewConnection: () => Promise<ReadReport | undefined>
  readonly close: () => void
}

/**
 * Makes the calls. Reports bear no id, and a connection for each would be dear: on a
 * simulated day nine replicas were asked 3,674 times.
 *
 * @param address - `ip:port` of the replica
 * @param dialect - of its platform
 * @param clock - to end waits by
 * @returns the calls
 */
export function createReportCalls (address: string, dialect: ReplicaDialect, clock: Clock): ReportCalls {
  let source = openSource(address)
  let requestCount = 0
  let isClosed = false

  function toReport (bodies: Set<string>, { body, headers, status }: Extract<OwnCallOutcome, { readonly type: 'answered' }>): ReadReport | undefined {
    const text = body.toString('latin1')
    const isRepeat = bodies.has(text)
    bodies.add(text)
    const report = status === OK_STATUS ? dialect.readReport(body, headers).unwrapOr(undefined) : undefined
    return report === undefined ? undefined : { report, isRepeat }
  }

  function fetchReport ({ bodies, pool }: ReportSource): Promise<ReadReport | undefined> {
    requestCount += 1
    const request = { ...dialect.report, headers: [], requestId: `report-${requestCount}` }
    return new Promise((resolve) => {
      startOwnCall(pool, request, { clock, timeoutMs: REPORT_TIMEOUT_MS, maxBytes: MAX_REPORT_BYTES }, (answer) => {
        resolve(answer.type === 'answered' ? toReport(bodies, answer) : undefined)
      })
    })
  }

  // A replica that is full takes no new connection; the one that it has must not be given
  // up for it: of 20 reports asked so 18 failed, and the replica counted as lost.
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
  return { pool: createConnectionPool(address, () => {}), bodies: new Set() }
}
