import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventSplitter } from '../../replica/BendfallEdgeEventSplitter.js'

test('only complete events are forwarded, independently of the chunk boundaries', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c'
  for (const size of [1, 3, 7, 100]) {
    const splitter = createEventSplitter()
    let forwarded = ''
    let lastEventId: string | undefined
    let count = 0
    for (let at = 0; at < text.length; at += size) {
      const complete = splitter.push(Buffer.from(text.slice(at, at + size)))
      forwarded += complete.bytes.toString()
      lastEventId = complete.lastEventId
      count = complete.count
    }
    assert.is(forwarded, 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n')
    assert.is(lastEventId, '2')
    assert.is(count, 2)
    assert.is(splitter.tail().toString(), 'id: 3\ndata: c')
  }
})

for (const [name, lineEnd] of [['LF', '\n'], ['CR LF', '\r\n'], ['CR', '\r']] as const) {
  test(`each event is forwarded as soon as its empty line has arrived, with line ending ${name}`, () => {
    const text = [1, 2, 3].map((id) => `id: ${id}${lineEnd}data: a${lineEnd}${lineEnd}`).join('')
    for (const size of [1, 2, 3, 7, 100]) {
      const splitter = createEventSplitter()
      let forwarded = ''
      for (let at = 0; at < text.length; at += size) {
        const complete = splitter.push(Buffer.from(text.slice(at, at + size)))
        forwarded += complete.bytes.toString()
        if (at + size < text.length) continue
        assert.is(complete.count, 3, `chunks of ${size} bytes`)
        assert.is(complete.lastEventId, '3')
      }
      assert.is(forwarded + splitter.tail().toString(), text)
      assert.is(splitter.isWithinEvent(), false)
    }
  })
}

test.run()
