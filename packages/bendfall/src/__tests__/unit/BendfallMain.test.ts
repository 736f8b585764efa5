import { execFile, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const MAIN = fileURLToPath(new URL('../../BendfallMain.js', import.meta.url))
const SETTINGS = {
  role: 'entry',
  instanceId: 'entry-1',
  availabilityZone: 'levis',
  listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0' },
  platform: { keyValueUrl: 'http://127.0.0.1:1', instanceListUrl: 'http://127.0.0.1:1' }
}

async function run (args: readonly string[]): Promise<{ code: number, stdout: string, stderr: string }> {
  return await new Promise((resolve) => {
    const child = execFile(process.execPath, [MAIN, ...args], (_, stdout, stderr) => resolve({ code: child.exitCode ?? -1, stdout, stderr }))
  })
}

async function withFile (value: unknown, use: (path: string) => Promise<void>): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'bendfall-'))
  const path = join(directory, 'settings.json')
  await writeFile(path, JSON.stringify(value))
  await use(path).finally(async () => await rm(directory, { recursive: true }))
}

test('check accepts valid settings', async () => {
  await withFile(SETTINGS, async (path) => {
    assert.equal(await run(['check', path]), { code: 0, stdout: `${path}: no findings\n`, stderr: '' })
  })
})

test('check reports all findings on the error output and exits with 2', async () => {
  await withFile({ ...SETTINGS, instanceId: '', extra: 1 }, async (path) => {
    const { code, stderr, stdout } = await run(['check', path])
    assert.is(code, 2)
    assert.is(stdout, '')
    assert.is(stderr.trim().split('\n').length, 2)
    assert.match(stderr, `${path}#/instanceId`)
    assert.match(stderr, `${path}#/extra`)
  })
})

test('a role rejects the settings of the other role', async () => {
  await withFile(SETTINGS, async (path) => {
    assert.equal(await run(['sidecar', '--settings', path]), { code: 2, stdout: '', stderr: `${path}#/role: expected "sidecar", found "entry"\n` })
  })
})

test('a process that cannot bind its address exits with 1', async () => {
  await withFile({ ...SETTINGS, listen: { ...SETTINGS.listen, callers: '192.0.2.1:0' } }, async (path) => {
    const { code, stderr } = await run(['entry', '--settings', path])
    assert.is(code, 1)
    assert.match(stderr, /^bendfall: .*EADDRNOTAVAIL/)
  })
})

test('an entry listens, and exits with 0 on SIGTERM', async () => {
  await withFile(SETTINGS, async (path) => {
    const child = spawn(process.execPath, [MAIN, 'entry', '--settings', path])
    for await (const line of createInterface(child.stdout)) {
      if (line.includes('event=listening')) child.kill('SIGTERM')
    }
    if (child.exitCode === null) await once(child, 'exit')
    assert.is(child.exitCode, 0)
  })
})

test.run()
