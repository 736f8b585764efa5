// Guards against slow start-up. Every command used to load the modules of all commands, including the runtime
// of entries. On a machine with few processors that took seconds before the first step of a command, and once
// longer than the time limit of the process tests.
import { execFile } from 'node:child_process'
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const MAIN_MODULE = fileURLToPath(new URL('../../BendfallctlMain.js', import.meta.url))

/** Runs a command and returns the URLs of the scripts that it loaded, from the coverage report that V8 writes at exit. */
async function loadedScripts (...args: readonly string[]): Promise<string[]> {
  const directory = await mkdtemp(join(tmpdir(), 'bendfallctl-start-'))
  try {
    const env = { ...process.env, NODE_V8_COVERAGE: directory }
    await new Promise<void>((resolve) => { execFile(process.execPath, [MAIN_MODULE, ...args], { env }, () => resolve()) })
    const reports = await Promise.all((await readdir(directory)).map(async (name) => await readFile(join(directory, name), 'utf8')))
    return reports.flatMap((text) => (JSON.parse(text) as { readonly result: ReadonlyArray<{ readonly url: string }> }).result.map(({ url }) => url))
  } finally {
    await rm(directory, { recursive: true })
  }
}

const TARGET = ['--intent', 'missing.json', '--key-value', 'http://127.0.0.1:9', '--instances', 'http://127.0.0.1:9']

for (const command of ['plan', 'confirm']) {
  test(`${command} loads neither the runtime of entries nor the protocol between processes`, async () => {
    const scripts = await loadedScripts(command, ...TARGET, ...(command === 'confirm' ? ['--digest', 'd'] : []))
    assert.ok(scripts.some((url) => url.includes('BendfallctlPlanCommands.js')), 'the command was loaded')
    assert.equal(scripts.filter((url) => /@connectrpc|bendfall-(edge|protocol|router)|bendfall-node\/dist\/(edge|transport)/.test(url)), [])
  })
}

test.run()
