import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createOutputModel, delayUntilFit, predictOutput, findRoute, fits, learnOutput, pickService, roomByHorizon } from '../../index.js'
import { configOf, plainRoute, summaryRoute } from './RouterSimulation.js'

test('the prediction shrinks extreme estimates toward the mean', () => {
  const model = createOutputModel()
  assert.ok(predictOutput(model, 70, 2_000, 0) > 100)
  assert.ok(predictOutput(model, 2_000, 2_000, 0) < 1_800)
})

test('a prediction is at most the allowed output and at least the output produced so far', () => {
  const model = createOutputModel()
  assert.is(predictOutput(model, 2_000, 500, 0), 500)
  assert.is(predictOutput(model, 100, 2_000, 1_900), 2_000)
})

test('the model learns that outputs are twice as long as their estimates', () => {
  let model = createOutputModel()
  for (let i = 0; i < 200; i++) model = learnOutput(model, 400 + 10 * (i % 40), 2 * (400 + 10 * (i % 40)))
  const expected = predictOutput(model, 600, 5_000, 0)
  assert.ok(expected > 1_100 && expected < 1_500, String(expected))
})

const BUSY = { nowMs: 0, capacityTokens: 1_000, allocations: [{ startMs: 0, endMs: 100, startTokens: 500, endTokens: 600 }] }

test('memory counts as used until its allocation ends', () => {
  const added = { startMs: 0, endMs: 300, startTokens: 450, endTokens: 500 }
  assert.is(fits(BUSY, added), false)
  assert.is(delayUntilFit(BUSY, added), 101)
})

test('an allocation larger than the capacity has an infinite delay', () => {
  assert.is(delayUntilFit(BUSY, { startMs: 0, endMs: 300, startTokens: 2_000, endTokens: 2_100 }), Infinity)
})

test('free memory grows with the horizon as allocations end', () => {
  const rooms = roomByHorizon(BUSY, 300)
  assert.is(rooms[0], 300)
  assert.is(rooms[2], 900)
})

test('the longest matching path prefix of the host selects the route', () => {
  const config = configOf(1, [plainRoute({ name: 'short', pathPrefix: '/a/' }), plainRoute({ name: 'long', pathPrefix: '/a/b/' }), summaryRoute({ name: 'other', host: 'x.example', pathPrefix: '/a/b/c/' })])
  assert.is(findRoute(config, 'Quotes.Example:80', '/a/b/c/1?x=/')?.name, 'long')
  assert.is(findRoute(config, 'quotes.example', '/a')?.name, undefined)
})

test('services are chosen by weight', () => {
  const services = [{ service: 'one', weight: 9 }, { service: 'two', weight: 1 }]
  assert.is(pickService(services, 0.89), 'one')
  assert.is(pickService(services, 0.91), 'two')
})

test.run()
