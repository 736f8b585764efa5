import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const MAIN = new URL('../../BendfallFakesMain.js', import.meta.url).pathname

for (const kind of ['engine', 'instances', 'key-value', 'service', 'weight-store']) {
  test(`a ${kind} process prints its address and stops on SIGTERM`, async () => {
    const child = spawn(process.execPath, [MAIN, kind, '{"port":0}'])
    const exited = once(child, 'exit')
    const [line] = await once(createInterface(child.stdout), 'line') as [string]
    const url = new RegExp(`^event=listening kind=${kind} url=(http://127\\.0\\.0\\.1:\\d+)$`).exec(line)?.[1]
    const answer = await fetch(`${url}/control/reset`, { method: 'POST' })
    assert.is(answer.status, 200)
    child.kill('SIGTERM')
    assert.equal(await exited, [0, null])
  })
}

test('a process of an unknown kind exits with status 2', async () => {
  const child = spawn(process.execPath, [MAIN, 'tide'])
  assert.equal(await once(child, 'exit'), [2, null])
})

test.run()
