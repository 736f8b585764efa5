// Guards against responses with damaged heads that stop or end a bundled process, or reach callers with a status that
// is not one of HTTP.
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRandom } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import type { Random } from '../../fleet/answers/BendfallFakesAnswersRandom.js'
import { startBundleFleet } from './BundledEntry.js'
import type { BundledEntry, BundleFleet } from './BundledEntry.js'

const SEEDS = [1, 2, 3]
const RESPONSES_PER_SEED = 40

/** Share of the damage that is within the status line. */
const STATUS_LINE_SHARE = 0.6

const STATUS_OFFSET = 'HTTP/1.1 '.length
const STATUS_BYTES = 3

type Damage = (bytes: Buffer, offset: number, random: Random) => Buffer

/** Returns the bytes with some of them replaced. */
function replaceBytes (bytes: Buffer, offset: number, count: number, inserted: Buffer): Buffer {
  return Buffer.concat([bytes.subarray(0, offset), inserted, bytes.subarray(offset + count)])
}

/** Ways to damage a head at an offset. */
const DAMAGES: readonly Damage[] = [
  // A bit is flipped.
  (bytes, offset, random) => replaceBytes(bytes, offset, 1, Buffer.from([bytes.readUInt8(offset) ^ (1 << random.integer(8))])),
  // A byte is lost.
  (bytes, offset) => replaceBytes(bytes, offset, 1, Buffer.alloc(0)),
  // A byte is added.
  (bytes, offset, random) => replaceBytes(bytes, offset, 0, Buffer.from([random.integer(256)])),
  // The response starts twice.
  (bytes, offset) => replaceBytes(bytes, 0, 0, bytes.subarray(0, offset)),
  // The response is truncated.
  (bytes, offset) => bytes.subarray(0, offset),
  // The status is another number.
  (bytes, _, random) => replaceBytes(bytes, STATUS_OFFSET, STATUS_BYTES, Buffer.from(String(random.integer(1_000)).padStart(STATUS_BYTES, '0')))
]

function damageHead (bytes: Buffer, random: Random): Buffer {
  const end = bytes.indexOf(random.chance(STATUS_LINE_SHARE) ? '\r\n' : '\r\n\r\n')
  return random.pick(DAMAGES)(bytes, random.integer(Math.max(1, end)), random)
}

let fleet: BundleFleet
let entry: BundledEntry

test.before(async () => { fleet = await startBundleFleet() })

test.before.each(async () => { entry = await fleet.startEntry() })

test.after.each(async () => {
  fleet.replicaProxy.spoilWith(undefined)
  await entry.kill()
})

test.after(() => fleet.close())

for (const seed of SEEDS) {
  test(`damaged response heads of seed ${seed} fail only their own requests`, async () => {
    const random = createRandom(seed)
    for (let i = 0; i < RESPONSES_PER_SEED; i++) {
      let sent = ''
      fleet.replicaProxy.spoilWith((bytes) => {
        const damaged = damageHead(bytes, random)
        sent = damaged.toString('latin1').slice(0, 80)
        return damaged
      })
      const outcome = await entry.book()
      assert.ok(typeof outcome === 'number' && outcome >= 200 && outcome <= 599, `${outcome} after ${JSON.stringify(sent)}`)
    }
    fleet.replicaProxy.spoilWith(undefined)
    await entry.assertServes(`seed ${seed}`)
  })
}

test.run()
