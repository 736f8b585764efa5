import { setTimeout as sleep } from 'node:timers/promises'
import { createLogger, createSystemClock, createUpdateLoop, listenForPeers, serveUnary } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { AllotmentService } from 'bendfall-protocol'
import type { RouterEffect, RouterEvent, UnitsOutcome } from 'bendfall-router'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { registerAllotments } from '../../allotments/BendfallEdgeAllotments.js'
import { keyOfRole } from '../../allotments/BendfallEdgeAllotmentDocument.js'
import { encodeLeaderEndpoint } from '../../peer/BendfallEdgeLeaderEndpoint.js'

const SILENT = createLogger({ level: 'error', write: () => {} })
const ASK = { role: 'primary', customer: 'acme', units: 200 } as const

/** A store that answers nothing. */
const AWAY = { get: async () => ({ type: 'unavailable', detail: 'away' }) } as unknown as KeyValuePort

/** An entry that asks a keeper, whose answer takes so long; tells what it learned and what it gave back. */
async function askKeeper (answerMs: number): Promise<{ readonly outcome: UnitsOutcome | undefined, readonly givenBack: number }> {
  let givenBack = 0
  let outcome: UnitsOutcome | undefined
  const keeper = await listenForPeers('127.0.0.1:0', (_, streams) => {
    serveUnary(streams, AllotmentService.method.take, async () => {
      await sleep(answerMs)
      return { certain: true, granted: false, retryAfterMs: 500 }
    })
    serveUnary(streams, AllotmentService.method.giveBack, () => {
      givenBack += 1
      return {}
    })
  })
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => {
    if (event.type === 'units_answered') outcome = event.outcome
    return event.type === 'time_passed' ? [{ type: 'take_units', key: '1', attempt: 1, ...ASK }] : []
  }, createSystemClock())
  const allotments = registerAllotments({ loop, port: AWAY, logger: SILENT, own: { instanceId: 'entry-1', address: '127.0.0.1:0' }, bounds: { windowMs: 8_000, overShare: 0, slackUnits: 0 }, customers: () => new Map() })
  allotments.applyUpdate([{ key: keyOfRole('primary'), value: encodeLeaderEndpoint({ instanceId: 'entry-2', address: keeper.address }), revision: 1, leaseId: '' }], [])
  loop.dispatch({ type: 'time_passed' })
  await sleep(answerMs + 200)
  allotments.close()
  await keeper.close()
  return { outcome, givenBack }
}

test('the answer of a keeper is taken', async () => {
  assert.equal(await askKeeper(0), { outcome: { type: 'refused', retryAfterMs: 500 }, givenBack: 0 })
})

// The keeper may have refused: units that were never taken would be granted beyond the limit.
test('what a keeper that answers late may have granted is not given back', async () => {
  assert.equal(await askKeeper(300), { outcome: { type: 'unreachable' }, givenBack: 0 })
})

test.run()
