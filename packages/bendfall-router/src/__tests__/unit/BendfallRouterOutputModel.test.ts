import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createOutputModel, delayUntilFit, predictOutput, findRoute, fits, learnOutput, pickService, roomByHorizon } from '../../index.js'
import { configOf, plainRoute, summaryRoute } from './RouterWorld.js'

test('an extreme estimate is taken for less than it says', () => {
  const model = createOutputModel()
  assert.ok(predictOutput(model, 70, 2_000, 0) > 100)
  assert.ok(predictOutput(model, 2_000, 2_000, 0) < 1_800)
})

test('an answer is never expected to be longer than allowed or shorter than it is', () => {
  const model = createOutputModel()
  assert.is(predictOutput(model, 2_000, 500, 0), 500)
  assert.is(predictOutput(model, 100, 2_000, 1_900), 2_000)
})

test('answers that are twice their estimates are learned', () => {
  let model = createOutputModel()
  for (let i = 0; i < 200; i++) model = learnOutput(model, 400 + 10 * (i % 40), 2 * (400 + 10 * (i % 40)))
  const expected = predictOutput(model, 600, 5_000, 0)
  assert.ok(expected > 1_100 && expected < 1_500, String(expected))
})

const BUSY = { nowMs: 0, capacityTokens: 1_000, allocations: [{ startMs: 0, endMs: 100, startTokens: 500, endTokens: 600 }] }

test('memory is counted up to the end of its occupant', () => {
  const added = { startMs: 0, endMs: 300, startTokens: 450, endTokens: 500 }
  assert.is(fits(BUSY, added), false)
  assert.is(delayUntilFit(BUSY, added), 101)
})

test('what never fits waits for ever', () => {
  assert.is(delayUntilFit(BUSY, { startMs: 0, endMs: 300, startTokens: 2_000, endTokens: 2_100 }), Infinity)
})

test('room grows with the horizon as occupants end', () => {
  const rooms = roomByHorizon(BUSY, 300)
  assert.is(rooms[0], 300)
  assert.is(rooms[2], 900)
})

test('the longest prefix of the host wins', () => {
  const config = configOf(1, [plainRoute({ name: 'short', pathPrefix: '/a/' }), plainRoute({ name: 'long', pathPrefix: '/a/b/' }), summaryRoute({ name: 'other', host: 'x.example', pathPrefix: '/a/b/c/' })])
  assert.is(findRoute(config, 'Quotes.Example:80', '/a/b/c/1?x=/')?.name, 'long')
  assert.is(findRoute(config, 'quotes.example', '/a')?.name, undefined)
})

test('services are picked by weight', () => {
  const services = [{ service: 'one', weight: 9 }, { service: 'two', weight: 1 }]
  assert.is(pickService(services, 0.89), 'one')
  assert.is(pickService(services, 0.91), 'two')
})

test.run()
