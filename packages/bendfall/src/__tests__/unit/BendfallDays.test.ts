import { readdirSync, readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const FOLDER = new URL('../../../../../deploy/days/', import.meta.url)

/** Placeholders that are replaced by names of the deployment on which a scenario runs. */
const PLACEHOLDERS: ReadonlySet<unknown> = new Set(['@c0', '@s0', '@z0'])
const DEPLOYMENT_FIELDS = ['service', 'class', 'zone', 'to_zone', 'region'] as const

interface Step {
  readonly kind: string
  readonly at: number
  readonly [field: string]: unknown
}

interface Day {
  readonly name: string
  readonly plan: readonly Step[]
  readonly faults: readonly Step[]
}

const files = readdirSync(FOLDER).filter((file) => file.endsWith('.toml'))

test('there are at least eight scenario files', () => {
  assert.ok(files.length >= 8)
})

for (const file of files) {
  const text = readFileSync(new URL(file, FOLDER), 'utf8')

  test(`${file} parses and states what it guards against`, () => {
    const day = parse(text) as unknown as Day
    assert.match(text, /^# Guards: /)
    assert.is(`${day.name}.toml`, file)
    for (const step of [...day.plan, ...day.faults]) {
      assert.type(step.kind, 'string')
      assert.type(step.at, 'number')
    }
  })

  test(`${file} uses placeholders instead of deployment names`, () => {
    const day = parse(text) as unknown as Day
    for (const step of [...day.plan, ...day.faults]) {
      const named = DEPLOYMENT_FIELDS.map((field) => step[field]).filter((name) => name !== undefined)
      assert.ok(named.every((name) => PLACEHOLDERS.has(name)), JSON.stringify(step))
    }
  })
}

test.run()
