/**
 * Frame of a script: temporary folder, clean-up, record and exit status.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createRecord } from './record.mjs'

const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2

/**
 * Runs a script and ends the process with its status.
 *
 * @param {URL} recordUrl - file that the record is written to
 * @param {(context: object) => Promise<boolean>} play - returns whether the rule was broken
 */
export async function runScript (recordUrl, play) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const record = createRecord(fileURLToPath(recordUrl))
  const cleanUps = []
  let status = COULD_NOT_RUN
  try {
    const isBroken = await play({ folder, record, hasTrouble: process.env.TROUBLE !== '0', onEnd: (cleanUp) => cleanUps.push(cleanUp) })
    status = isBroken ? BROKEN : HELD
  } catch (error) {
    record.add('failed', { error: JSON.stringify(String(error.stack ?? error)) })
  }
  for (const cleanUp of cleanUps.reverse()) {
    try {
      await cleanUp()
    } catch (error) {
      record.add('clean_up_failed', { error: JSON.stringify(String(error)) })
    }
  }
  record.add('exit', { status })
  record.write()
  rmSync(folder, { recursive: true, force: true })
  process.exit(status)
}
