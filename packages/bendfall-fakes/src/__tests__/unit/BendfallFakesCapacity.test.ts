import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { readEntryConstants } from '../../capacity/BendfallFakesCapacityEntry.js'
import { exactly, fitLine, medianOf, plus, times } from '../../capacity/BendfallFakesCapacityFit.js'
import { judge, judgeRow, createRowFactory, sumRows } from '../../capacity/BendfallFakesCapacityRow.js'
import { DERIVED, OPEN_PER_NODE, expectedOccupiedBins } from '../../capacity/BendfallFakesCapacitySize.js'
import { round } from '../../capacity/BendfallFakesCapacityTable.js'

function assertNear (actual: number, expected: number, tolerance = 1e-9): void {
  assert.ok(Math.abs(actual - expected) <= tolerance, `${actual} is not ${expected}`)
}

test('points on a line are fitted without error', () => {
  const line = fitLine([{ size: 1, value: 5 }, { size: 2, value: 7 }, { size: 4, value: 11 }])
  assertNear(line.slope.value, 2)
  assertNear(line.intercept, 3)
  assertNear(line.slope.error, 0)
  assertNear(line.at(10).value, 23)
})

test('slope and error match a manual calculation for scattered points', () => {
  // Means 2 and 3; Sxx 2, Sxy 3, so slope 1.5 and intercept 0. The residuals
  // are 0.5, -1 and 0.5: variance 1.5 over one degree of freedom.
  const line = fitLine([{ size: 1, value: 2 }, { size: 2, value: 2 }, { size: 3, value: 5 }])
  assertNear(line.slope.value, 1.5)
  assertNear(line.intercept, 0)
  assertNear(line.slope.error, Math.sqrt(1.5 / 2))
  // At size 4: 1.5 * (1/3 + 2 ** 2 / 2).
  assertNear(line.at(4).value, 6)
  assertNear(line.at(4).error, Math.sqrt(3.5))
})

test('a line is not fitted to too few points or to points of the same size', () => {
  assert.throws(() => fitLine([{ size: 1, value: 1 }, { size: 2, value: 2 }]), /2 points/)
  assert.throws(() => fitLine([1, 2, 3].map((value) => ({ size: 5, value }))), /same size/)
})

test('the error of a product scales with its factor, and errors in a sum add in quadrature', () => {
  assert.equal(times({ value: 4, error: 3 }, -2), { value: -8, error: 6 })
  assert.equal(plus({ value: 1, error: 3 }, { value: 2, error: 4 }, exactly(10)), { value: 13, error: 5 })
})

test('the median does not depend on the order of values', () => {
  assert.is(medianOf([9, 1, 5]), 5)
  assert.is(medianOf([4, 1, 3, 2]), 3)
})

test('an estimate close to its limit is judged uncertain', () => {
  assert.is(judge({ value: 4, error: 0.5 }, 5), 'fits')
  assert.is(judge({ value: 4.5, error: 0.5 }, 5), 'uncertain')
  assert.is(judge({ value: 5.5, error: 0.5 }, 5), 'uncertain')
  assert.is(judge({ value: 6.5, error: 0.5 }, 5), 'DOES NOT FIT')
})

test('rows are summed by role, path and resource, without rows of faults', () => {
  const control = createRowFactory('entry', 'control')
  const rows = [
    control('traffic', 'a', { value: 2_000, error: 30 }),
    control('traffic', 'b', { value: 4_000, error: 40 }),
    { ...control('traffic', 'c', 9_000), isFault: true },
    createRowFactory('entry', 'data')('cpu', 'd', 0.9),
    createRowFactory('entry', 'data')('traffic', 'e', 1e9)
  ]
  const sums = sumRows(rows)
  assert.equal(sums.map(({ path, resource, estimate }) => [path, resource, estimate]), [
    ['control', 'traffic', { value: 6_000, error: 50 }],
    ['data', 'cpu', { value: 0.9, error: 0 }]
  ])
  assert.equal(rows.map(judgeRow), ['fits', 'fits', 'DOES NOT FIT', 'fits', 'no limit'])
  assert.equal(sums.map(judgeRow), ['DOES NOT FIT', 'fits'])
})

test('the rates derived from the target size match a manual calculation', () => {
  assertNear(DERIVED.requestsPerNode, 27.381, 1e-3)
  assertNear(DERIVED.tokensPerNode, 13_095.238, 1e-3)
  assertNear(DERIVED.tokensPerRequest, 478.261, 1e-3)
  // 1.1 s to the first token, 478.26 steps of 30 ms.
  assertNear(DERIVED.openSeconds, 15.4478, 1e-3)
  assertNear(OPEN_PER_NODE, 422.98, 1e-1)
  assert.is(DERIVED.promptTokens, 2_174)
  assert.is(DERIVED.replicasPerPool, 600)
})

test('items placed at random occupy fewer bins than there are', () => {
  assertNear(expectedOccupiedBins(240, 240), 240 * (1 - 1 / Math.E))
  assertNear(expectedOccupiedBins(1, 1_000_000), 1, 1e-6)
})

test('the constants of an entry are derived from its behaviour', () => {
  const { renewalMs, subsetSize } = readEntryConstants()
  assert.ok(Number.isFinite(renewalMs) && subsetSize > 0, `${renewalMs} ${subsetSize}`)
})

test('figures are rounded to three significant digits', () => {
  assert.equal([0, 0.012345, 1.5, 12_345, -1_174].map(round), ['0', '0.0123', '1.5', '12,300', '-1,170'])
})

test.run()
