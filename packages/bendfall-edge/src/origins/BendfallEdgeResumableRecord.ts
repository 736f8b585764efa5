/**
 * Reads and writes the record of resumable software. A write applies only to the version of the record that it was worked
 * out from, so that no entry removes what another one has just added.
 *
 * @module
 */
import type { Logger, Teardown, UpdateLoop } from 'bendfall-node'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import type { ResumableSoftware, RouterEffect, RouterEvent } from 'bendfall-router'
import { decodeResumable, encodeResumable, RESUMABLE_KEY } from './BendfallEdgeResumableDocument.js'

/** Dependencies of the record. */
export interface ResumableRecordOptions {
  readonly loop: UpdateLoop<RouterEvent, RouterEffect>
  readonly port: KeyValuePort
  readonly logger: Logger
}

/** The record as a running entry knows it. */
export interface ResumableRecord {
  /** Applies an update from the watch on the key-value service. */
  readonly applyUpdate: (entries: readonly KeyValueEntry[], removedKeys: readonly string[]) => void
  readonly close: Teardown
}

const NO_REVISION = 0

/**
 * Registers the effect `record_resumable_software`.
 *
 * @param options - update loop, key-value service and logger
 * @returns the record
 */
export function registerResumableRecord ({ logger, loop, port }: ResumableRecordOptions): ResumableRecord {
  let revision = NO_REVISION
  let isWriting = false

  function learn (newRevision: number, software: ResumableSoftware | undefined): void {
    revision = newRevision
    loop.dispatch({ type: 'resumable_software_learned', software })
  }

  // A write that fails or conflicts is made again after the next review, from what is known then.
  async function write (software: ResumableSoftware): Promise<void> {
    const outcome = await port.compareAndSwap({ key: RESUMABLE_KEY, expectedRevision: revision, value: encodeResumable(software), leaseId: '' })
    if (outcome.type !== 'applied') return logger.debug('resumable_software_not_recorded', { outcome: outcome.type })
    logger.info('resumable_software_recorded', { routes: software.size, revision: outcome.revision })
    learn(outcome.revision, software)
  }

  function applyEntry ({ revision: newRevision, value }: KeyValueEntry): void {
    // The watch may lag behind this entry's own write.
    if (newRevision <= revision) return
    const software = decodeResumable(value)
    if (software.isErr()) logger.warn('resumable_software_unreadable', { key: RESUMABLE_KEY, revision: newRevision, detail: software.error })
    learn(newRevision, software.isOk() ? software.value : undefined)
  }

  return {
    applyUpdate: (entries, removedKeys) => {
      if (removedKeys.includes(RESUMABLE_KEY)) learn(NO_REVISION, undefined)
      const entry = entries.find(({ key }) => key === RESUMABLE_KEY)
      if (entry !== undefined) applyEntry(entry)
    },
    close: loop.registerEffect('record_resumable_software', ({ software }) => {
      if (isWriting) return
      isWriting = true
      write(software)
        .catch((error: unknown) => logger.error('resumable_software_not_recorded', { error }))
        .finally(() => { isWriting = false })
    })
  }
}
