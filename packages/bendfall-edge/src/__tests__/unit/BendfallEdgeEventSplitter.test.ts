import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventSplitter } from '../../replica/BendfallEdgeEventSplitter.js'

test('only whole events go on, whatever the chunks', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c'
  for (const size of [1, 3, 7, 100]) {
    const splitter = createEventSplitter()
    let passed = ''
    let lastEventId: string | undefined
    let count = 0
    for (let at = 0; at < text.length; at += size) {
      const whole = splitter.push(Buffer.from(text.slice(at, at + size)))
      passed += whole.bytes.toString()
      lastEventId = whole.lastEventId
      count = whole.count
    }
    assert.is(passed, 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n')
    assert.is(lastEventId, '2')
    assert.is(count, 2)
    assert.is(splitter.tail().toString(), 'id: 3\ndata: c')
  }
})

for (const [name, lineEnd] of [['LF', '\n'], ['CR LF', '\r\n'], ['CR', '\r']] as const) {
  test(`each event goes on as soon as its empty line is there, with lines ended by ${name}`, () => {
    const text = [1, 2, 3].map((id) => `id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`).join('')
    for (const size of [1, 2, 3, 7, 100]) {
      const splitter = createEventSplitter()
      let passed = ''
      for (let at = 0; at < text.length; at += size) {
        const whole = splitter.push(Buffer.from(text.slice(at, at + size)))
        passed += whole.bytes.toString()
        if (at + size < text.length) continue
        assert.is(whole.count, 3, `pieces of ${size}`)
        assert.is(whole.lastEventId, '3')
      }
      assert.is(passed + splitter.tail().toString(), text)
      assert.is(splitter.isWithinEvent(), false)
    }
  })
}

test.run()
