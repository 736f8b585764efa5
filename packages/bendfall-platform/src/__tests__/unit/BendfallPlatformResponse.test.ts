import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { isArrayOf, isNumber, isObjectOf, isString, parseResponse } from '../../BendfallPlatformResponse.js'

const SHAPES = { listed: { items: isArrayOf(isObjectOf({ name: isString, size: isNumber })) }, empty: {} }
const read = (text: string): boolean => parseResponse(text, SHAPES).isOk()

test('a response is accepted only if its type is known and its fields are valid', () => {
  assert.is(read('{"type":"empty"}'), true)
  assert.is(read('{"type":"listed","items":[{"name":"a","size":1}]}'), true)
  assert.is(read('{"type":"listed","items":[{"name":"a","size":"1"}]}'), false)
  assert.is(read('{"type":"listed"}'), false)
  assert.is(read('{"type":"constructor"}'), false)
  assert.is(read('[]'), false)
  assert.is(read(''), false)
})

test('no response makes the parser throw', () => {
  fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => typeof read(text) === 'boolean'))
})

test.run()
