/**
 * Asks a replica for its reports over connections that are kept, and tells which of them
 * may be a second answer to an earlier question.
 *
 * @module
 */
import type { Clock } from 'bendfall-node'
import type { EngineReport, ReplicaDialect } from '../BendfallEdgeDialect.js'
import { createConnectionPool } from '../replica/BendfallEdgeConnections.js'
import { startOwnCall } from '../replica/BendfallEdgeOwnCall.js'

/** A report later than this is a failure. */
const REPORT_TIMEOUT_MS = 400

/** Longest body of a report. */
const REPORT_BYTES = 262_144

/** Reports whose bodies are remembered, some kilobytes each; connections are opened anew then. */
const MOST_REMEMBERED = 256

const OK_STATUS = 200

/** A report as it was read. */
export interface ReadReport {
  readonly report: EngineReport
  /** Whether its body came before on these connections, so that it may be a second answer. */
  readonly isRepeat: boolean
}

/** Reports of a replica. */
export interface ReportCalls {
  /** @returns the report; undefined when there is none in time, or none that can be read */
  readonly read: () => Promise<ReadReport | undefined>
  /** Goes on over a new connection, whose first answer is a second one to nothing. */
  readonly renew: () => void
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
  const bodies = new Set<string>()
  let pool = createConnectionPool(address, () => {})
  let asked = 0

  function renew (): void {
    pool.destroy()
    pool = createConnectionPool(address, () => {})
    bodies.clear()
  }

  function noteBody (body: Buffer): boolean {
    const text = body.toString('latin1')
    const isRepeat = bodies.has(text)
    bodies.add(text)
    return isRepeat
  }

  function toReport (status: number, body: Buffer): ReadReport | undefined {
    const isRepeat = noteBody(body)
    const report = status === OK_STATUS ? dialect.readReport(body).unwrapOr(undefined) : undefined
    return report === undefined ? undefined : { report, isRepeat }
  }

  function read (): Promise<ReadReport | undefined> {
    if (bodies.size >= MOST_REMEMBERED) renew()
    asked += 1
    const request = { ...dialect.report, headers: [], requestId: `report-${asked}` }
    return new Promise((resolve) => {
      startOwnCall(pool, request, { clock, timeoutMs: REPORT_TIMEOUT_MS, maxBytes: REPORT_BYTES }, (answer) => {
        resolve(answer.type === 'answered' ? toReport(answer.status, answer.body) : undefined)
      })
    })
  }

  return { read, renew, close: () => pool.destroy() }
}
