import { createLogger } from 'bendfall-node'
import type { UnitsOutcome } from 'bendfall-router'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createAllotmentClient } from '../../allotments/BendfallEdgeAllotmentClient.js'
import type { RoleOutcome } from '../../allotments/BendfallEdgeAllotmentClient.js'
import type { LeaderClient } from '../../peer/BendfallEdgeLeaderClient.js'
import { createVirtualClock } from './VirtualClock.js'
import type { VirtualClock } from './VirtualClock.js'

const ASK = { customer: 'acme', units: 200 }
const REFUSES = { certain: true, granted: false, retryAfterMs: 500 }
const GRANTS = { certain: true, granted: true, retryAfterMs: 0 }
const DOUBTS = { certain: false, granted: false, retryAfterMs: 0 }

/** How a keeper answers, and after which time. */
interface PlayedKeeper {
  readonly answerMs: number
  readonly answer: typeof GRANTS
}

function createClient (clock: VirtualClock, keeper: PlayedKeeper | undefined): LeaderClient {
  return {
    endpoint: () => keeper === undefined ? undefined : { instanceId: 'other', address: '127.0.0.1:1' },
    applyUpdate: () => false,
    request: async <T>(_call: unknown, { timeoutMs = 80 }: { readonly timeoutMs?: number } = {}): Promise<T | undefined> => {
      if (keeper === undefined) return undefined
      const isInTime = keeper.answerMs <= timeoutMs
      await new Promise<void>((resolve) => { clock.callAt(clock.nowMs() + Math.min(keeper.answerMs, timeoutMs), resolve) })
      return isInTime ? keeper.answer as T : undefined
    },
    notify: () => {},
    close: () => {}
  }
}

interface AskOutcome extends RoleOutcome {
  readonly givenBack: number
  readonly tookMs: number
}

const isUndecided = ({ type }: UnitsOutcome): boolean => type === 'unreachable' || type === 'uncertain'

/** A request that asks the primary, and the reserve when the primary tells nothing. */
async function askKeepers (primary: PlayedKeeper, reserve?: PlayedKeeper): Promise<AskOutcome> {
  const clock = createVirtualClock()
  let givenBack = 0
  let tookMs = Infinity
  const asks = createAllotmentClient({
    clock,
    logger: createLogger({ level: 'error', write: () => {} }),
    clients: { primary: createClient(clock, primary), reserve: createClient(clock, reserve) },
    takeLocally: () => undefined,
    giveBack: () => { givenBack += 1 }
  })
  const asked = (async () => {
    const first = await asks.take('1', { ...ASK, role: 'primary' })
    const last = reserve !== undefined && isUndecided(first.outcome) ? await asks.take('1', { ...ASK, role: 'reserve' }) : first
    tookMs = clock.nowMs()
    return last
  })()
  await clock.advance(2_000)
  return { ...await asked, givenBack, tookMs }
}

test('a keeper that answers after 150 ms is waited for where no other can be asked', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: REFUSES }), { role: 'primary', outcome: { type: 'refused', retryAfterMs: 500 }, givenBack: 0, tookMs: 150 })
})

test('the reserve is asked when the primary has not answered within 80 ms', async () => {
  assert.equal(await askKeepers({ answerMs: 300, answer: GRANTS }, { answerMs: 5, answer: GRANTS }), { role: 'reserve', outcome: { type: 'granted' }, givenBack: 0, tookMs: 85 })
})

test('a late grant of the primary is used where the reserve can\'t tell', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: GRANTS }, { answerMs: 5, answer: DOUBTS }), { role: 'primary', outcome: { type: 'granted' }, givenBack: 0, tookMs: 150 })
})

test('a late refusal of the primary counts where the reserve can\'t tell', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: REFUSES }, { answerMs: 5, answer: DOUBTS }), { role: 'primary', outcome: { type: 'refused', retryAfterMs: 500 }, givenBack: 0, tookMs: 150 })
})

test('a late grant of the primary is given back where the reserve granted meanwhile', async () => {
  assert.equal(await askKeepers({ answerMs: 150, answer: GRANTS }, { answerMs: 5, answer: GRANTS }), { role: 'reserve', outcome: { type: 'granted' }, givenBack: 1, tookMs: 85 })
})

test('what a primary without an answer may have granted is not given back', async () => {
  assert.is((await askKeepers({ answerMs: 300, answer: GRANTS }, { answerMs: 5, answer: GRANTS })).givenBack, 0)
})

test('without an answer of either keeper nothing is told of the units', async () => {
  const { outcome, role } = await askKeepers({ answerMs: 300, answer: GRANTS }, { answerMs: 300, answer: GRANTS })
  assert.equal({ role, outcome }, { role: 'reserve', outcome: { type: 'unreachable' } })
})

test.run()
