import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findRoute } from '../../index.js'
import { configOf, plainRoute } from './RouterSimulation.js'

const CONFIG = configOf(1, [
  plainRoute({ name: 'all', pathPrefix: '/' }),
  plainRoute({ name: 'a', pathPrefix: '/a/' }),
  plainRoute({ name: 'ab', pathPrefix: '/a/b/' }),
  plainRoute({ name: 'again', pathPrefix: '/a/b/' }),
  plainRoute({ name: 'other', host: 'Other.example', pathPrefix: '/x/' })
])

const PATHS: ReadonlyArray<readonly [string, string, string | undefined]> = [
  ['quotes.example', '/', 'all'],
  ['quotes.example', '/a', 'all'],
  ['quotes.example', '/a/', 'a'],
  ['quotes.example', '/a/b', 'a'],
  ['quotes.example', '/a/b/c/d?x=/a/', 'ab'],
  ['QUOTES.example:8080', '/a/b/', 'ab'],
  ['quotes.example', '//a/', 'all'],
  ['other.example', '/x/y', 'other'],
  ['other.example', '/y?q=/x/', undefined],
  ['none.example', '/a/', undefined],
  ['quotes.example', '', undefined]
]
for (const [host, path, name] of PATHS) {
  test(`${host}${path} matches ${name ?? 'no route'}`, () => {
    assert.is(findRoute(CONFIG, host, path)?.name, name)
  })
}

test('routes are found quickly among thousands', () => {
  const config = configOf(2, Array.from({ length: 5_000 }, (_, i) => plainRoute({ name: `r${i}`, pathPrefix: `/p${i}/` })))
  findRoute(config, 'quotes.example', '/p0/x')
  const startedMs = performance.now()
  for (let i = 0; i < 5_000; i++) assert.is(findRoute(config, 'quotes.example', `/p${i}/x`)?.name, `r${i}`)
  assert.ok(performance.now() - startedMs < 250, `${performance.now() - startedMs} ms`)
})

test.run()
