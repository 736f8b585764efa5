import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { inEndsScene, readAnswers, until } from './EndsScene.js'
import type { EndsScene, RawCaller } from './EndsScene.js'

// A caller got an answer that was not whole. The replica passed on a stream that has neither
// a length nor chunks, whose end only its connection tells; before its end the process of the
// entry ended, and the kernel closed the connections of its callers in order, so that what
// had come until then looked like the whole answer. Each way in which a process ends by
// itself is played here with a real one; a caller at its socket tells a reset from an end.

const SEEN_BYTES = 400

/** Callers of half-delivered streams, in each framing and with an old protocol version. */
async function startStreams (scene: EndsScene): Promise<RawCaller[]> {
  const callers = [
    scene.call([{ path: '/stream/unframed/1' }]),
    scene.call([{ path: '/stream/unframed/2' }]),
    scene.call([{ path: '/stream/chunked/3' }]),
    scene.call([{ path: '/stream/chunked/4', version: '1.0' }]),
    scene.call([{ path: '/stream/unframed/5', version: '1.0' }])
  ]
  await until(() => callers.every(({ text }) => text().length > SEEN_BYTES))
  return callers
}

async function assertNoneLooksComplete (callers: readonly RawCaller[]): Promise<void> {
  for (const caller of callers) {
    const end = await caller.ended
    const [answer, ...others] = readAnswers(caller.text(), end)
    assert.is(answer?.status, 200)
    assert.ok(answer !== undefined && !answer.looksComplete, `${answer?.framing} ${end} ${answer?.body.slice(-40)}`)
    assert.is(others.length, 0)
  }
}

test('streams that outlast the grace time do not look complete', async () => {
  await inEndsScene({}, async (scene) => {
    const callers = await startStreams(scene)
    scene.process.signal('SIGTERM')
    assert.is(await scene.process.exited, 0)
    await assertNoneLooksComplete(callers)
  })
})

test('streams do not look complete when an error ends the process', async () => {
  await inEndsScene({ preload: 'process.on("SIGUSR2",()=>{throw new Error("nobody catches it")})' }, async (scene) => {
    const callers = await startStreams(scene)
    process.kill(scene.process.pid, 'SIGUSR2')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
    assert.ok(scene.process.lines.some((line) => line.includes('event=process_failed') && line.includes('nobody catches it')))
  })
})

test('streams do not look complete when a rejection ends the process', async () => {
  await inEndsScene({ preload: 'process.on("SIGUSR2",()=>{Promise.reject(new Error("nobody catches it"))})' }, async (scene) => {
    const callers = await startStreams(scene)
    process.kill(scene.process.pid, 'SIGUSR2')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
  })
})

test('streams do not look complete when the stop fails', async () => {
  await inEndsScene({ preload: 'import{Server}from"node:http";Server.prototype.close=()=>{throw new Error("close")}' }, async (scene) => {
    const callers = await startStreams(scene)
    scene.process.signal('SIGTERM')
    assert.is(await scene.process.exited, 1)
    await assertNoneLooksComplete(callers)
    assert.ok(scene.process.lines.some((line) => line.includes('event=stop_failed')))
  })
})

test('further signals do not end a process that stops', async () => {
  await inEndsScene({ stopGraceS: 6 }, async (scene) => {
    const late = scene.call([{ path: '/call/1500/late' }])
    await until(() => scene.reached.length === 1)
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGTERM'] as const) {
      if (scene.process.isRunning()) process.kill(scene.process.pid, signal)
      await sleep(100)
    }
    const end = await late.ended
    const [answer] = readAnswers(late.text(), end)
    assert.is(answer?.body, 'answer to /call/1500/late')
    assert.is(answer.looksComplete, true)
    assert.is(await scene.process.exited, 0)
  })
})

test.run()
