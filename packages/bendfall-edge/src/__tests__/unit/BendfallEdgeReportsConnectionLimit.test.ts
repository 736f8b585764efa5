// Guards against losing a healthy replica that has reached its connection limit. It answers reports
// only on the connection that is already open. When two of its reports were identical while runs were
// active, the ledger closed that connection and repeated the request on a new one, which was reset,
// so that the replica counted as lost.
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { createSystemClock } from 'bendfall-node'
import type { UpdateLoop } from 'bendfall-node'
import type { LedgerEffect, LedgerEvent, LedgerState } from 'bendfall-router'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineReport, ReplicaDialect } from '../../BendfallEdgeDialect.js'
import { startReportPolling } from '../../ledger/BendfallEdgeReports.js'

test('identical reports of a replica that refuses new connections are accepted, and none fails', async () => {
  let connections = 0
  const server = createServer((socket) => {
    connections += 1
    socket.on('error', () => {})
    if (connections > 1) socket.resetAndDestroy()
    else socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.71', resolve) })
  const report = { active: 1, runs: [], startedAtMs: 1 } as unknown as EngineReport
  const state = { report, bookings: new Map(), waiting: [], lastRuns: new Map([['a', {}]]) } as unknown as LedgerState
  const events: string[] = []
  const reports = startReportPolling({
    replicaAddress: `127.0.0.71:${(server.address() as AddressInfo).port}`,
    dialect: { report: { method: 'GET', path: '/' }, readReport: () => Ok(report) } as unknown as ReplicaDialect,
    clock: createSystemClock(),
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} } as never,
    loop: { dispatch: ({ type }: LedgerEvent) => { events.push(type) } } as unknown as UpdateLoop<LedgerEvent, LedgerEffect>,
    state: () => state
  })
  await sleep(2_000)
  reports.close()
  server.close()
  assert.not.ok(events.includes('report_failed'))
  assert.ok(events.filter((type) => type === 'report_read').length >= 8, `${events.length} events`)
})

test.run()
