import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CANCEL_RETRY_MS, PROGRESS_DEADLINE_MS, PROGRESS_LOOK_MS, holdsRequest } from '../../index.js'
import type { Effect } from '../../index.js'
import { SidecarHarness, all, decodeAsk, only } from './BendfallCoreSidecarHarness.js'

const ref = { requestId: 'r1', attempt: 1 }

function failureOf (effects: readonly Effect[]): string {
  const { end } = only(effects, 'relay_end')
  return end.type === 'failed' ? `${end.reason} ${end.kvLost}` : end.type
}

test('a reservation goes through import and decode and gives its memory back', () => {
  const sidecar = new SidecarHarness('decodes').start()
  const grant = sidecar.reserve('r1')
  assert.is(grant.type === 'granted' && grant.readyInMs, 0)
  assert.is(sidecar.held, 400)
  only(sidecar.send({ type: 'decode_asked', ask: decodeAsk('r1') }), 'engine_import')
  assert.is(only(sidecar.send({ type: 'engine_import_progressed', ...ref, transferredBytes: 5 }), 'relay_transfer').transferredBytes, 5)
  only(sidecar.send({ type: 'engine_import_ended', ...ref, result: { type: 'done' } }), 'engine_decode')
  assert.equal(only(sidecar.send({ type: 'engine_tokens', ...ref, index: 0, tokens: ['a'] }), 'relay_tokens').tokens, ['a'])
  const end = only(sidecar.send({ type: 'engine_decode_ended', ...ref, result: { type: 'finished', tokenCount: 1 } }), 'relay_end').end
  assert.is(end.type, 'finished')
  assert.is(sidecar.held, 0)
  assert.not.ok(holdsRequest(sidecar.state, 'r1'))
})

/** Lets the process run for a time, with a look at the transfer at each step and at the end. */
function lookOn (sidecar: SidecarHarness, forMs: number): readonly Effect[] {
  const effects: Effect[] = []
  for (let leftMs = forMs; leftMs > 0;) {
    const stepMs = Math.min(PROGRESS_LOOK_MS, leftMs)
    leftMs -= stepMs
    sidecar.atMs += stepMs
    effects.push(...sidecar.fire('transfer_progress', 'r1'))
  }
  return effects
}

test('a transfer is stalled when its bytes stop, not when they are slow', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.reserve('r1')
  sidecar.send({ type: 'decode_asked', ask: decodeAsk('r1') })
  const progress = (): void => { sidecar.send({ type: 'engine_import_progressed', ...ref, transferredBytes: 5 }) }
  assert.equal(all(lookOn(sidecar, PROGRESS_DEADLINE_MS - 1), 'relay_end'), [])
  progress()
  assert.equal(all(lookOn(sidecar, PROGRESS_DEADLINE_MS - 1), 'relay_end'), [])
  // No byte more is no progress.
  progress()
  const stalled = lookOn(sidecar, 1)
  assert.is(failureOf(stalled), 'transfer_stalled false')
  only(stalled, 'engine_cancel')
  assert.is(sidecar.held, 400)
  assert.is(all(sidecar.send({ type: 'engine_import_ended', ...ref, result: { type: 'done' } }), 'engine_decode').length, 0)
})

/** Fires the timer of a transfer again and again until it is stalled; the clock goes as told. */
function fireUntilStalled (sidecar: SidecarHarness, effects: readonly Effect[], firesAtMs: (dueAtMs: number) => number): number {
  for (let last = effects; all(last, 'relay_end').length === 0;) {
    sidecar.atMs = firesAtMs(only(last, 'set_timer').atMs)
    last = sidecar.fire('transfer_progress', 'r1')
  }
  return sidecar.atMs
}

function startTransfer (): { readonly sidecar: SidecarHarness, readonly effects: readonly Effect[] } {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.reserve('r1')
  return { sidecar, effects: sidecar.send({ type: 'decode_asked', ask: decodeAsk('r1') }) }
}

// Beside 24 busy processes transfers were given up as stalled 300 to 474 ms after their start,
// without a byte, and their retries found the result evicted. The time without progress was
// taken from the clock, also where the process stood still and could not have read a byte. That
// is a part of it only: an engine that gets no processor is not seen by the sidecar's clock.
for (const standstillMs of [250, 60_000]) {
  test(`a transfer is not stalled by ${standstillMs} ms in which the process stands still`, () => {
    const { effects, sidecar } = startTransfer()
    sidecar.atMs = only(effects, 'set_timer').atMs + standstillMs
    sidecar.atMs = Math.max(sidecar.atMs, 1000 + PROGRESS_DEADLINE_MS + standstillMs)
    const thawed = sidecar.fire('transfer_progress', 'r1')
    assert.equal(all(thawed, 'relay_end'), [])
    sidecar.atMs += 10
    only(sidecar.send({ type: 'engine_import_progressed', ...ref, transferredBytes: 5 }), 'relay_transfer')
    only(sidecar.send({ type: 'engine_import_ended', ...ref, result: { type: 'done' } }), 'engine_decode')
  })
}

test('a transfer without a byte is stalled at its deadline when the process runs', () => {
  const { effects, sidecar } = startTransfer()
  const startedAtMs = sidecar.atMs
  assert.is(fireUntilStalled(sidecar, effects, (dueAtMs) => dueAtMs) - startedAtMs, PROGRESS_DEADLINE_MS)
})

test('a transfer without a byte is stalled after its deadline and what the process stood still', () => {
  const { effects, sidecar } = startTransfer()
  const startedAtMs = sidecar.atMs
  let standstillMs = 0
  const stalledAtMs = fireUntilStalled(sidecar, effects, (dueAtMs) => {
    standstillMs += 40
    return dueAtMs + 40
  })
  assert.is(stalledAtMs - startedAtMs, PROGRESS_DEADLINE_MS + standstillMs)
})

test('a decode whose turn has not come waits for memory, up to its eviction', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.decode('r1', { kvBytes: 900 })
  for (const requestId of ['r2', 'r3']) {
    const grant = sidecar.reserve(requestId, { neededInMs: 5000 })
    sidecar.send({ type: 'decode_asked', ask: decodeAsk(requestId, { fencingToken: grant.type === 'granted' ? grant.fencingToken : 0, evictsInMs: requestId === 'r2' ? 700 : 500 }) })
  }
  sidecar.atMs += 500
  assert.is(failureOf(sidecar.fire('transfer_progress', 'r3')), 'prefill_lost true')
  const next = sidecar.send({ type: 'engine_decode_ended', ...ref, result: { type: 'finished', tokenCount: 9 } })
  assert.is(only(next, 'engine_import').ask.requestId, 'r2')
})

test('a decode that asks early keeps its turn', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.decode('r1', { kvBytes: 900 })
  sidecar.reserve('r2', { maxReadyInMs: 2000, neededInMs: 5000 })
  sidecar.send({ type: 'decode_asked', ask: decodeAsk('r2', { fencingToken: 2, evictsInMs: 9000 }) })
  sidecar.reserve('r3', { maxReadyInMs: 5000, neededInMs: 5000 })
  assert.equal(sidecar.state.sidecar!.queue.summary.map(({ requestId }) => requestId), ['r2', 'r3'])
})

test('a cancel keeps the memory counted until the engine confirmed, and is sent again until then', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.decode('r1')
  const cancelled = sidecar.send({ type: 'cancel_asked', ...ref })
  only(cancelled, 'engine_cancel')
  assert.is(failureOf(cancelled), 'caller_left false')
  assert.is(all(sidecar.send({ type: 'cancel_asked', ...ref }), 'engine_cancel').length, 0)
  assert.is(sidecar.held, 400)
  const retry = only(sidecar.send({ type: 'engine_cancelled', ...ref, confirmed: false }), 'set_timer')
  assert.is(retry.atMs, sidecar.atMs + CANCEL_RETRY_MS)
  only(sidecar.fire('retry', retry.timer.id), 'engine_cancel')
  sidecar.send({ type: 'engine_cancelled', ...ref, confirmed: true })
  assert.is(sidecar.held, 0)
  assert.is(sidecar.fire('retry', retry.timer.id).length, 0)
})

test('a cancel that overtakes its reserve has the late reserve and decode refused', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.send({ type: 'cancel_asked', ...ref })
  const reply = sidecar.reserve('r1')
  assert.is(reply.type === 'refused' && reply.reason, 'caller_left')
  assert.is(failureOf(sidecar.send({ type: 'decode_asked', ask: decodeAsk('r1') })), 'caller_left false')
  assert.is(sidecar.reserve('r1', { attempt: 2 }).type, 'granted')
})

test('late events of an attempt that is no longer held change nothing', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.decode('r1')
  sidecar.send({ type: 'cancel_asked', ...ref })
  sidecar.send({ type: 'engine_cancelled', ...ref, confirmed: true })
  sidecar.decode('r1', { attempt: 2 })
  const before = sidecar.state
  const late = [
    sidecar.send({ type: 'engine_import_progressed', ...ref, transferredBytes: 9 }),
    sidecar.send({ type: 'engine_import_ended', ...ref, result: { type: 'done' } }),
    sidecar.send({ type: 'engine_tokens', ...ref, index: 0, tokens: ['x'] }),
    sidecar.send({ type: 'engine_decode_ended', ...ref, result: { type: 'finished', tokenCount: 1 } }),
    sidecar.send({ type: 'engine_cancelled', ...ref, confirmed: true })
  ]
  assert.equal(late.flat(), [])
  assert.is(sidecar.state, before)
})

test('a decode that the engine failed is cancelled there before its memory counts as free', () => {
  const sidecar = new SidecarHarness('decodes').start()
  sidecar.decode('r1')
  const effects = sidecar.send({ type: 'engine_decode_ended', ...ref, result: { type: 'failed', reason: 'upstream_failed' } })
  assert.is(failureOf(effects), 'upstream_failed true')
  only(effects, 'engine_cancel')
  assert.is(sidecar.held, 400)
})

test.run()
