/**
 * Plans and confirms the intent for the pools of model replicas.
 *
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { readDocument } from 'bendfall-node/settings'
import { balancePools, confirmedIntent, digestPoolIntent, POOL_DOCUMENT_SCHEMA } from 'bendfall-router'
import type { PoolDocument, PoolMember } from 'bendfall-router'
import type { CommandResult } from './BendfallctlExit.js'
import { findingsResult } from './BendfallctlIntentFile.js'

/** Pools as they are, or as they are expected. */
export interface PoolCounts {
  readonly prefills: number
  readonly decodes: number
}

/**
 * Shows what an intent would change.
 *
 * @param path - file with the intent
 * @param counts - replicas of each pool
 * @returns plan and digest, or findings
 */
export async function planPools (path: string, counts: PoolCounts): Promise<CommandResult> {
  const read = await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
  if (read.isErr()) return findingsResult(read.error)
  const { intent } = read.value
  const digest = digestPoolIntent(intent)
  const changes = balancePools(membersOf(counts), { prefill: 0, decode: 0 }, intent)
  const toDecode = changes.filter(({ stage }) => stage === 'decode').length
  const isConfirmed = confirmedIntent(read.value) !== undefined
  const text = [
    `Plan for ${counts.prefills} prefill and ${counts.decodes} decode replicas without load`,
    `  to decode  ${toDecode}`,
    `  to prefill ${changes.length - toDecode}`,
    `Under load one replica changes at a time, between ${intent.leastPrefillShare} and ${intent.mostPrefillShare} of the replicas for prefill.`,
    isConfirmed ? `This intent is confirmed (${digest}).` : `Confirm with: bendfallctl pools-confirm --file ${path} --digest ${digest}`
  ].join('\n')
  return { exit: 'done', text, json: { digest, isConfirmed, toDecode, toPrefill: changes.length - toDecode } }
}

/**
 * Confirms an intent: processes that start from then on act on it.
 *
 * @param path - file with the intent
 * @param digest - digest that the plan showed
 * @returns what was done; nothing when the intent is another one by now
 */
export async function confirmPools (path: string, digest: string): Promise<CommandResult> {
  const read = await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
  if (read.isErr()) return findingsResult(read.error)
  const { intent } = read.value
  const present = digestPoolIntent(intent)
  if (present !== digest) {
    return { exit: 'conflict', text: `The intent has changed since the plan; its digest is ${present}. Nothing was confirmed.`, json: { digest: present, isConfirmed: false } }
  }
  await writeFile(path, `${JSON.stringify({ intent, confirmedDigest: digest }, null, 2)}\n`)
  return { exit: 'done', text: `Confirmed ${digest} in ${path}.`, json: { digest, isConfirmed: true } }
}

function membersOf ({ decodes, prefills }: PoolCounts): PoolMember[] {
  const make = (count: number, stage: 'prefill' | 'decode'): PoolMember[] =>
    Array.from({ length: count }, (_, index) => ({ replicaId: `${stage}-${index}`, availabilityZone: '', stage, isServing: true, isLeaving: false }))
  return [...make(prefills, 'prefill'), ...make(decodes, 'decode')]
}
