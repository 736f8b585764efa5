import { setTimeout as sleep } from 'node:timers/promises'
import { createLogger, createSystemClock, createUpdateLoop, listenForPeers, serveUnary } from 'bendfall-node'
import type { PeerListener } from 'bendfall-node'
import type { KeyValuePort } from 'bendfall-platform'
import { AllotmentService } from 'bendfall-protocol'
import type { AllotmentRole, RouterEffect, RouterEvent, UnitsOutcome } from 'bendfall-router'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { registerAllotments } from '../../allotments/BendfallEdgeAllotments.js'
import { keyOfRole } from '../../allotments/BendfallEdgeAllotmentDocument.js'
import { encodeKeeper } from '../../peer/BendfallEdgeKeeperPlace.js'

const SILENT = createLogger({ level: 'error', write: () => {} })
const ASK = { role: 'primary', customer: 'acme', units: 200 } as const

/** A store that answers nothing. */
const AWAY = { get: async () => ({ type: 'unavailable', detail: 'away' }) } as unknown as KeyValuePort

/** How a keeper answers, and after which time. */
interface PlayedKeeper {
  readonly answerMs: number
  readonly answer: { readonly certain: boolean, readonly granted: boolean, readonly retryAfterMs: number }
}

const REFUSES = { certain: true, granted: false, retryAfterMs: 500 }
const GRANTS = { certain: true, granted: true, retryAfterMs: 0 }
const DOUBTS = { certain: false, granted: false, retryAfterMs: 0 }

interface AskOutcome {
  readonly outcome: UnitsOutcome | undefined
  readonly role?: AllotmentRole
  readonly givenBack: number
}

/** An entry that asks the primary, and the reserve when the primary does not answer, as a request does. */
async function askKeepers (primary: PlayedKeeper, reserve?: PlayedKeeper): Promise<AskOutcome> {
  let givenBack = 0
  let answered: Pick<AskOutcome, 'outcome' | 'role'> = { outcome: undefined }
  const listen = ({ answer, answerMs }: PlayedKeeper): Promise<PeerListener> => listenForPeers('127.0.0.1:0', (_, streams) => {
    serveUnary(streams, AllotmentService.method.take, async () => {
      await sleep(answerMs)
      return answer
    })
    serveUnary(streams, AllotmentService.method.giveBack, () => {
      givenBack += 1
      return {}
    })
  })
  const keepers = { primary: await listen(primary), ...(reserve === undefined ? {} : { reserve: await listen(reserve) }) }
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => {
    if (event.type === 'time_passed') return [{ type: 'take_units', key: '1', attempt: 1, ...ASK }]
    if (event.type !== 'units_answered') return []
    answered = { outcome: event.outcome, role: event.role }
    const isNextAsked = reserve !== undefined && event.role === 'primary' && (event.outcome.type === 'unreachable' || event.outcome.type === 'uncertain')
    return isNextAsked ? [{ type: 'take_units', key: '1', attempt: 2, ...ASK, role: 'reserve' }] : []
  }, createSystemClock())
  const allotments = registerAllotments({ loop, port: AWAY, logger: SILENT, own: { instanceId: 'entry-1', address: '127.0.0.1:0' }, bounds: { windowMs: 8_000, overShare: 0, slackUnits: 0 }, customers: () => new Map() })
  allotments.learn(Object.entries(keepers).map(([role, { address }]) => ({ key: keyOfRole(role as AllotmentRole), value: encodeKeeper({ instanceId: `entry-${role}`, address }), revision: 1, leaseId: '' })), [])
  loop.dispatch({ type: 'time_passed' })
  await sleep(Math.max(primary.answerMs, reserve?.answerMs ?? 0) + 300)
  allotments.close()
  for (const keeper of Object.values(keepers)) await keeper.close()
  return { ...answered, givenBack }
}

async function askKeeper (answerMs: number): Promise<Omit<AskOutcome, 'role'>> {
  const { givenBack, outcome } = await askKeepers({ answerMs, answer: REFUSES })
  return { outcome, givenBack }
}

test('the answer of a keeper is taken', async () => {
  assert.equal(await askKeeper(0), { outcome: { type: 'refused', retryAfterMs: 500 }, givenBack: 0 })
})

// The keeper may have refused: units that were never taken would be granted beyond the limit.
test('what a keeper that answers late may have granted is not given back', async () => {
  assert.equal(await askKeeper(300), { outcome: { type: 'unreachable' }, givenBack: 0 })
})

test('a keeper that answers after 150 ms is waited for where no other can be asked', async () => {
  assert.equal(await askKeeper(150), { outcome: { type: 'refused', retryAfterMs: 500 }, givenBack: 0 })
})

test('a late grant of the primary is used where the reserve can\'t tell', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: GRANTS }, { answerMs: 0, answer: DOUBTS }), { outcome: { type: 'granted' }, role: 'primary', givenBack: 0 })
})

test('a late grant of the primary is given back where the reserve granted meanwhile', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: GRANTS }, { answerMs: 0, answer: GRANTS }), { outcome: { type: 'granted' }, role: 'reserve', givenBack: 1 })
})

test.run()
