// Guards against a record that loses what another entry has just added: a write that is based on an older version of it,
// or a late watch, would leave out software that streams still run on.
import { setImmediate as turn } from 'node:timers/promises'
import { createLogger, createSystemClock, createUpdateLoop } from 'bendfall-node'
import type { CompareAndSwap, KeyValuePort, WriteOutcome } from 'bendfall-platform'
import type { ResumableSoftware, RouterEffect, RouterEvent } from 'bendfall-router'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { encodeResumable, RESUMABLE_KEY } from '../../origins/BendfallEdgeResumableDocument.js'
import { registerResumableRecord } from '../../origins/BendfallEdgeResumableRecord.js'
import type { ResumableRecord } from '../../origins/BendfallEdgeResumableRecord.js'

const ONE: ResumableSoftware = new Map([['summary', [11]]])
const BOTH: ResumableSoftware = new Map([['summary', [11, 12]]])

interface Scene {
  readonly record: ResumableRecord
  readonly writes: readonly CompareAndSwap[]
  readonly learned: ReadonlyArray<ResumableSoftware | undefined>
  /** Executes the effect and lets the write end with an outcome. */
  readonly write: (software: ResumableSoftware, outcome: WriteOutcome) => Promise<void>
  readonly read: (revision: number, value: string) => void
}

function createScene (): Scene {
  const writes: CompareAndSwap[] = []
  const learned: Array<ResumableSoftware | undefined> = []
  const effects: RouterEffect[] = []
  let outcome: WriteOutcome = { type: 'unavailable', detail: '' }
  const loop = createUpdateLoop<RouterEvent, RouterEffect>((event) => {
    if (event.type === 'resumable_software_learned') learned.push(event.software)
    return effects.splice(0)
  }, createSystemClock())
  const compareAndSwap = async (write: CompareAndSwap): Promise<WriteOutcome> => {
    writes.push(write)
    return outcome
  }
  const record = registerResumableRecord({ loop, port: { compareAndSwap } as unknown as KeyValuePort, logger: createLogger({ level: 'error', write: () => {} }) })
  return {
    record,
    writes,
    learned,
    write: async (software, writeOutcome) => {
      outcome = writeOutcome
      effects.push({ type: 'record_resumable_software', software })
      loop.dispatch({ type: 'time_passed' })
      await turn()
    },
    read: (revision, value) => record.applyUpdate([{ key: RESUMABLE_KEY, value, revision, leaseId: '' }], [])
  }
}

test('a write applies only to the version of the record that was read last', async () => {
  const { learned, read, write, writes } = createScene()
  await write(ONE, { type: 'conflict', currentRevision: 7 })
  assert.equal([writes.length, learned.length], [1, 0])
  read(7, encodeResumable(BOTH))
  await write(ONE, { type: 'applied', revision: 9 })
  assert.equal(writes.map(({ expectedRevision }) => expectedRevision), [0, 7])
  assert.equal(learned, [BOTH, ONE])
})

test('a watch that lags behind the own write is ignored', async () => {
  const { learned, read, write } = createScene()
  await write(BOTH, { type: 'applied', revision: 9 })
  read(8, encodeResumable(ONE))
  assert.equal(learned, [BOTH])
})

test('nothing is known after the record has been removed or is unreadable, and it can be written again', async () => {
  const { learned, read, record, write, writes } = createScene()
  read(3, encodeResumable(ONE))
  read(4, '{"routes":[{"route":"summary"}]}')
  record.applyUpdate([], [RESUMABLE_KEY])
  assert.equal(learned, [ONE, undefined, undefined])
  await write(BOTH, { type: 'applied', revision: 6 })
  assert.equal(writes.map(({ expectedRevision }) => expectedRevision), [0])
})

test.run()
