/**
 * Lists the requests and prompt parts suspected of crashing replicas, from the crash reports that entries
 * publish in the key-value service, and clears those suspicions on all entries.
 *
 * @module
 */
import { digestJson } from 'bendfall-core'
import { CRASH_PREFIX, CRASHES_CLEARED_KEY, decodeCrashReport } from 'bendfall-edge'
import type { KeyValueEntry, KeyValuePort } from 'bendfall-platform'
import { createCrashRecords, mergeCrashReport } from 'bendfall-router'
import type { CrashRecords } from 'bendfall-router'
import type { CommandResult } from './BendfallctlExit.js'
import { formatTable } from './BendfallctlTable.js'

/** A trait of requests and the replica processes that crashed while serving them. */
export interface CrashSuspect {
  /** Fingerprint of a request, or `part:SERVICE/ID` of a prompt part. */
  readonly fingerprint: string
  readonly processes: readonly string[]
  /** Entries that observed at least one of the crashes. */
  readonly seenBy: readonly string[]
}

interface StoredCrashes {
  readonly suspects: readonly CrashSuspect[]
  readonly digest: string
  /** Reasons why reports could not be decoded, one for each such report. */
  readonly unread: readonly string[]
}

type CrashesReadResult = { readonly type: 'read', readonly crashes: StoredCrashes } | { readonly type: 'outage', readonly detail: string }

/**
 * Lists the suspected requests.
 *
 * @param port - key-value service that the entries use
 * @returns the suspects and the digest that {@link clearCrashes} expects
 */
export async function listCrashes (port: KeyValuePort): Promise<CommandResult> {
  const read = await readCrashes(port)
  if (read.type === 'outage') return outage(read.detail)
  const { crashes } = read
  const rows = crashes.suspects.map(({ fingerprint, processes, seenBy }) => [fingerprint, String(processes.length), processes.join(' '), seenBy.join(' ')])
  const text = [
    rows.length === 0 ? 'No request is suspected.' : formatTable(['request or prompt part', 'crashes', 'processes', 'seen by'], rows),
    ...crashes.unread.map((detail) => `not read: ${detail}`),
    ...(rows.length === 0 ? [] : [`Forget all with: bendfallctl crashes-clear --digest ${crashes.digest}`])
  ].join('\n')
  return { exit: crashes.unread.length > 0 ? 'findings' : 'done', text, json: crashes }
}

/**
 * Makes all entries discard all recorded crashes.
 *
 * @param port - key-value service that the entries use
 * @param digest - digest of the list that the operator reviewed
 * @param now - identifies this clear operation; must differ for each call
 * @returns what was done; exit `conflict` with no change if the list has changed since
 */
export async function clearCrashes (port: KeyValuePort, digest: string, now: Date): Promise<CommandResult> {
  const read = await readCrashes(port)
  if (read.type === 'outage') return outage(read.detail)
  const { crashes } = read
  if (crashes.digest !== digest) return { exit: 'conflict', text: `The list has changed; its digest is ${crashes.digest}. Nothing was forgotten.`, json: { digest: crashes.digest, isCleared: false } }
  const previous = await port.get(CRASHES_CLEARED_KEY)
  if (previous.type === 'unavailable') return outage(previous.detail)
  const expectedRevision = previous.type === 'found' ? previous.entry.revision : 0
  const written = await port.compareAndSwap({ key: CRASHES_CLEARED_KEY, expectedRevision, value: now.toISOString(), leaseId: '' })
  if (written.type === 'applied') return { exit: 'done', text: 'All entries forget all crashes.', json: { digest, isCleared: true } }
  if (written.type === 'conflict') return { exit: 'conflict', text: 'Another operator cleared the list at the same time.', json: { digest, isCleared: false } }
  return outage(written.detail)
}

function outage (detail: string): CommandResult {
  return { exit: 'outage', text: `The key-value service gave no answer: ${detail}`, json: { detail } }
}

async function readCrashes (port: KeyValuePort): Promise<CrashesReadResult> {
  const listed = await port.list(CRASH_PREFIX)
  if (listed.type === 'unavailable') return { type: 'outage', detail: listed.detail }
  const cleared = await port.get(CRASHES_CLEARED_KEY)
  if (cleared.type === 'unavailable') return { type: 'outage', detail: cleared.detail }
  const sinceRevision = cleared.type === 'found' ? cleared.entry.revision : 0
  return { type: 'read', crashes: mergeReports(listed.entries.filter(({ revision }) => revision > sinceRevision)) }
}

function mergeReports (entries: readonly KeyValueEntry[]): StoredCrashes {
  const records = createCrashRecords()
  const seenBy = new Map<string, string[]>()
  const unread: string[] = []
  for (const { key, value } of entries) {
    const report = decodeCrashReport(value, key)
    if (report.isErr()) {
      unread.push(report.error)
      continue
    }
    mergeCrashReport(records, report.value, false, 0)
    for (const { fingerprint } of report.value.suspects) seenBy.set(fingerprint, [...seenBy.get(fingerprint) ?? [], key.slice(CRASH_PREFIX.length)])
  }
  const suspects = listSuspects(records, seenBy)
  return { suspects, digest: digestJson(suspects), unread }
}

function listSuspects ({ suspects }: CrashRecords, seenBy: ReadonlyMap<string, readonly string[]>): CrashSuspect[] {
  const all = [...suspects].map(([fingerprint, times]) => ({ fingerprint, processes: [...times.keys()].sort(), seenBy: [...seenBy.get(fingerprint) ?? []].sort() }))
  return all.filter(({ processes }) => processes.length > 0).sort((one, other) => other.processes.length - one.processes.length || (one.fingerprint < other.fingerprint ? -1 : 1))
}
