import { execFileSync, spawn, spawnSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parse } from 'smol-toml'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const ROOT = new URL('../..', import.meta.url).pathname
const START_TIMEOUT_MS = 30_000
const ip = `127.${1 + process.pid % 250}.${1 + Math.floor(process.pid / 250) % 250}.7`
const outDir = mkdtempSync(join(tmpdir(), 'bendfall-bundle-'))
const settingsPath = join(outDir, 'settings.json')
const { roles } = parse(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))

let warnings = ''

test.before(() => {
  const { status, stderr } = spawnSync(process.execPath, [join(ROOT, 'scripts', 'bundle.mjs'), outDir], { encoding: 'utf8' })
  assert.is(status, 0, stderr)
  warnings = stderr
  writeFileSync(settingsPath, JSON.stringify({ instanceId: 'i1', availabilityZone: 'a', ip, callersListen: `${ip}:0`, readyListen: `${ip}:0`, replicaAddress: `${ip}:1`, peerPorts: [17_380, 17_389], keyValueAddress: `${ip}:1`, stopGraceS: 1 }))
})

test.after(() => rmSync(outDir, { recursive: true }))

/** Starts a role as the deploy file does; returns its log up to the line "started". */
function startRole (role, settings = settingsPath, run = roles[role].run) {
  const args = run.split(' ').slice(1).map((word) => word.replace('target/', `${outDir}/`))
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, args, { cwd: ROOT, env: { ...process.env, BENDFALL_BOOT: settings } })
    const timer = setTimeout(() => child.kill('SIGKILL'), START_TIMEOUT_MS)
    let output = ''
    let errors = ''
    child.stderr.on('data', (chunk) => { errors += chunk })
    child.stdout.on('data', (chunk) => {
      output += chunk
      if (output.includes('event=started')) child.kill('SIGKILL')
    })
    child.once('error', reject)
    child.once('close', () => {
      clearTimeout(timer)
      resolve({ output, errors })
    })
  })
}

// Guards against code caches without the functions that serve, because a role or the stand-ins did not answer.
test('the build serves requests of each kind and leaves only its results', () => {
  assert.is(warnings, '')
  const names = ['bendfall.mjs', 'bendfallCodeCache.mjs', 'bendfallService.cjs', 'bendfallService.cjs.map', 'bendfallService.entry.cache', 'bendfallService.sidecar.cache']
  assert.equal(readdirSync(outDir).filter((name) => name !== 'settings.json').sort(), names)
})

// Guards against plugins of the bundler that resolve the same file in two ways, of which one wins by chance.
test('two builds make the same scripts', () => {
  const otherDir = mkdtempSync(join(tmpdir(), 'bendfall-bundle-'))
  execFileSync(process.execPath, [join(ROOT, 'scripts', 'bundle.mjs'), otherDir], { stdio: ['ignore', 'ignore', 'inherit'] })
  const scripts = readdirSync(outDir).filter((name) => /\.(cjs|mjs|map)$/.test(name))
  assert.ok(scripts.length >= 3)
  for (const name of scripts) assert.ok(readFileSync(join(outDir, name)).equals(readFileSync(join(otherDir, name))), name)
  rmSync(otherDir, { recursive: true })
})

// Guards against assertions whose failure makes Node.js parse lines of the bundle without end, and against libraries
// that call functions which the replacement of the module lacks.
test('no assertion of the bundle is one of Node.js', () => {
  for (const name of ['bendfall.mjs', 'bendfallService.cjs']) {
    const script = readFileSync(join(outDir, name), 'utf8')
    assert.not.match(script, /["'](node:)?assert(\/strict)?["']/, name)
    assert.not.match(script, /\bassert\d*\.(?!ok\b)\w+\(/, name)
  }
})

for (const role of ['entry', 'sidecar']) {
  // Guards against caches that V8 rejects because they were made with other options than the deploy file's.
  test(`the ${role} starts with the code cache of the build`, async () => {
    const { errors, output } = await startRole(role)
    assert.match(output, 'event=started')
    assert.not.match(output, 'code_cache_unused')
    assert.is(errors, '')
  })
}

// Guards against a bundled loader without the call that restores the options: the bundler left its module out once.
test('the entry starts with its code cache under other limits of memory', async () => {
  const { output } = await startRole('entry', settingsPath, roles.entry.run.replace(/=120 /, '=110 '))
  assert.match(output, 'event=started')
  assert.not.match(output, 'code_cache_unused')
})

test('the entry starts without its code cache, with one line in its log', async () => {
  const cachePath = join(outDir, 'bendfallService.entry.cache')
  const content = readFileSync(cachePath)
  rmSync(cachePath)
  const { output } = await startRole('entry')
  writeFileSync(cachePath, content)
  assert.match(output, 'event=started')
  assert.is(output.match(/event=code_cache_unused role=entry reason=missing/g)?.length, 1)
})

// Guards against validators of the build that differ from those compiled at run time.
test('the bundle reports the findings of a settings file', async () => {
  const path = join(outDir, 'bad.json')
  writeFileSync(path, JSON.stringify({ instanceId: 3, availabilityZone: 'a', ip, peerPorts: [1, 70_000], keyValueAddress: 'store:1', stopGraceS: 'x' }))
  const { errors } = await startRole('sidecar', path)
  const findings = errors.trim().split('\n').map((line) => line.replace(`${path}#`, '')).sort()
  assert.equal(findings, ['/instanceId: expected string, found 3', '/keyValueAddress: expected "ip:port" with an IP number, no host name, found "store:1"', '/peerPorts/1: expected <= 65535, found 70000', '/stopGraceS: expected number, found "x"'])
})

test.run()
