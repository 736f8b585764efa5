import { readdirSync, readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const FOLDER = new URL('../../../../../deploy/days/', import.meta.url)

/** Names that stand for something on any deployment. */
const PLACEHOLDERS: ReadonlySet<unknown> = new Set(['@c0', '@s0', '@z0'])
const PLACES = ['service', 'class', 'zone', 'to_zone', 'region'] as const

interface Step {
  readonly kind: string
  readonly at: number
  readonly [place: string]: unknown
}

interface Day {
  readonly name: string
  readonly plan: readonly Step[]
  readonly faults: readonly Step[]
}

const files = readdirSync(FOLDER).filter((file) => file.endsWith('.toml'))

test('there are days to play', () => {
  assert.ok(files.length >= 8)
})

for (const file of files) {
  const text = readFileSync(new URL(file, FOLDER), 'utf8')

  test(`${file} says what it guards and parses`, () => {
    const day = parse(text) as unknown as Day
    assert.match(text, /^# Guards: /)
    assert.is(`${day.name}.toml`, file)
    for (const step of [...day.plan, ...day.faults]) {
      assert.type(step.kind, 'string')
      assert.type(step.at, 'number')
    }
  })

  test(`${file} names no deployment`, () => {
    const day = parse(text) as unknown as Day
    for (const step of [...day.plan, ...day.faults]) {
      const named = PLACES.map((place) => step[place]).filter((name) => name !== undefined)
      assert.ok(named.every((name) => PLACEHOLDERS.has(name)), JSON.stringify(step))
    }
  })
}

test.run()
