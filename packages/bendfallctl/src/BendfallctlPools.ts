/**
 * Plans and confirms the intent for the sizes of the prefill and decode pools.
 *
 * @module
 */
import { writeFile } from 'node:fs/promises'
import { readDocument } from 'bendfall-node/settings'
import { balancePools, confirmedIntent, digestPoolIntent, POOL_DOCUMENT_SCHEMA } from 'bendfall-router'
import type { PoolDocument, PoolMember } from 'bendfall-router'
import type { CommandResult } from './BendfallctlExit.js'
import { findingsResult } from './BendfallctlIntentFile.js'

/** Number of replicas in each pool, actual or expected. */
export interface PoolCounts {
  readonly prefills: number
  readonly decodes: number
}

/**
 * Shows how many replicas an intent would move between the pools.
 *
 * @param path - path of the file with the intent
 * @param counts - replicas of each pool before the change
 * @returns the moves and the digest to confirm, or findings about the file
 */
export async function planPools (path: string, counts: PoolCounts): Promise<CommandResult> {
  const read = await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
  if (read.isErr()) return findingsResult(read.error)
  const { intent } = read.value
  const digest = digestPoolIntent(intent)
  const changes = balancePools(createMembers(counts), { prefill: 0, decode: 0 }, intent)
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
 * Confirms an intent by writing its digest into its file. Processes that start
 * afterwards apply it.
 *
 * @param path - path of the file with the intent
 * @param digest - digest of the intent that the operator reviewed
 * @returns what was done; exit `conflict` with no change if the intent has changed since
 */
export async function confirmPools (path: string, digest: string): Promise<CommandResult> {
  const read = await readDocument<PoolDocument>(POOL_DOCUMENT_SCHEMA, path)
  if (read.isErr()) return findingsResult(read.error)
  const { intent } = read.value
  const currentDigest = digestPoolIntent(intent)
  if (currentDigest !== digest) {
    return { exit: 'conflict', text: `The intent has changed since the plan; its digest is ${currentDigest}. Nothing was confirmed.`, json: { digest: currentDigest, isConfirmed: false } }
  }
  await writeFile(path, `${JSON.stringify({ intent, confirmedDigest: digest }, null, 2)}\n`)
  return { exit: 'done', text: `Confirmed ${digest} in ${path}.`, json: { digest, isConfirmed: true } }
}

function createMembers ({ decodes, prefills }: PoolCounts): PoolMember[] {
  const createStage = (count: number, stage: 'prefill' | 'decode'): PoolMember[] =>
    Array.from({ length: count }, (_, index) => ({ replicaId: `${stage}-${index}`, availabilityZone: '', softwareVersion: '', stage, isServing: true, isLeaving: false }))
  return [...createStage(prefills, 'prefill'), ...createStage(decodes, 'decode')]
}
