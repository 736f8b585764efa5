/**
 * Prompt parts of the soak: parts that requests share, parts that crash each replica which begins to
 * respond to them, and the check that entries stop sending requests with those.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createDraw } from '../../BendfallFakesClusterFaults.js'
import type { Draw } from '../../BendfallFakesClusterFaults.js'
import type { SeenRequest } from '../BendfallFakesFleetReplica.js'
import { call } from './BendfallFakesFleetCaller.js'
import type { CallRecord } from './BendfallFakesFleetCaller.js'
import type { NoticeEvidence } from './BendfallFakesSoakNotices.js'
import type { SoakFleet } from './BendfallFakesSoakFleet.js'

/** Prefix of the ids of parts that crash replicas. */
const BAD_PREFIX = 'bad'

/** Prefix of the ids of requests with such a part, which may be refused as the cause of crashes. */
const CRASHING_PREFIX = 'poison-parts'

const FIRST_PARTS = ['a0', 'a1'] as const
const SESSIONS = Array.from({ length: 30 }, (_, index) => `c${index.toString(16).padStart(2, '0')}`)

/** Time before the first storm, in which entries serve the parts that regular requests share. */
const WARM_UP_MS = 1_500
const SEND_PAUSE_MS = 350
/** Time for which requests with a bad part come, and the pause until they come again. */
const STORM_MS = [2_000, 4_000, 8_000] as const
const STORM_PAUSES_MS = [0, 500, 1_500] as const

/** Crashes of one part after which the time limit for the entries starts. */
const BOUND_CRASHES = 5
/** Time in which all entries learn of a crash. */
const PROPAGATION_MS = 3_000
/** Tolerance for scheduling delays on a busy machine. */
const SLACK_MS = 300
/** Sends that may still follow once all entries know. */
const ALLOWED_LATE_SENDS = 3
/** Runs with a bad part that reach one replica within this time end with the same crash. */
const SAME_CRASH_MS = 50

/**
 * Draws the parts of a prompt that crashes no replica.
 *
 * @param draw - seeded random choice
 * @param requestId - id of the request, whose last part is its own
 * @returns ids of the parts in order
 */
export function drawRegularParts (draw: Draw, requestId: string): readonly string[] {
  return [draw(FIRST_PARTS), draw(SESSIONS), Buffer.from(requestId).toString('hex')]
}

/**
 * Checks whether a request has a part that crashes replicas.
 *
 * @param request - request that arrived at a replica
 * @returns true for bad parts
 */
export function hasBadPart (request: SeenRequest): boolean {
  return partsOf(request).some(isBad)
}

function isBad (part: string): boolean {
  return part.startsWith(BAD_PREFIX)
}

function partsOf ({ headers }: SeenRequest): string[] {
  return String(headers['x-prompt-prefix'] ?? '').split(',').map((entry) => entry.split(':')[0] ?? '')
}

/**
 * Sends requests with one bad part, no two alike, in storms that come and go.
 *
 * @param fleet - fleet that receives them
 * @param name - distinguishes the parts and requests of several senders
 * @param seed - seed of the random choices
 * @param records - receives the calls
 * @param isOver - whether no more requests are sent
 */
export async function sendBadPart (fleet: SoakFleet, name: number, seed: number, records: CallRecord[], isOver: () => boolean): Promise<void> {
  const draw = createDraw(seed * 31 + name)
  const part = `${BAD_PREFIX}${name}`
  await sleep(WARM_UP_MS)
  for (let storm = 0; !isOver(); storm++) {
    const endsAtMs = performance.now() + draw(STORM_MS)
    for (let i = 0; !isOver() && performance.now() < endsAtMs; i++) {
      const requestId = `${CRASHING_PREFIX}-${seed}-${name}-${storm}-${i}`
      const regular = drawRegularParts(draw, requestId)
      const place = draw([0, 1, 2])
      const partIds = [...regular.slice(0, place), part, ...regular.slice(place)]
      const kind = draw(['brief', 'summary'] as const)
      records.push(await call(draw(fleet.entries), fleet.host, { kind, path: `/${kind}/${requestId}`, requestId, partIds }))
      await sleep(SEND_PAUSE_MS)
    }
    await sleep(draw(STORM_PAUSES_MS))
  }
}

/**
 * Finds sends of bad parts after all entries know of their fifth crash.
 *
 * @param evidence - observations of the soak
 * @returns one line per violation
 */
export function findPartViolations ({ fleet, isUndisturbed }: NoticeEvidence): string[] {
  const bad = new Set(fleet.models.flatMap(({ replica }) => replica.seen.flatMap((request) => partsOf(request).filter(isBad))))
  return [...bad].flatMap((part) => findLateSends(fleet, part, isUndisturbed))
}

function findLateSends ({ models }: SoakFleet, part: string, isUndisturbed: NoticeEvidence['isUndisturbed']): string[] {
  const sendsByReplica = models.map(({ replica }) => replica.seen.filter((request) => partsOf(request).includes(part)))
  const crashesAtMs = sendsByReplica.flatMap((sends) => sends.filter(isNewCrash).map(({ atMs }) => atMs)).sort((one, other) => one - other)
  const knownAtMs = (crashesAtMs[BOUND_CRASHES - 1] ?? Infinity) + PROPAGATION_MS + SLACK_MS
  const late = sendsByReplica.flat().filter(({ atMs }) => atMs > knownAtMs && isUndisturbed(atMs))
  return late.length <= ALLOWED_LATE_SENDS ? [] : [`${late[0]?.requestId}: ${late.length} sends with ${part} more than ${PROPAGATION_MS} ms after its fifth crash, ${crashesAtMs.length} in all`]
}

function isNewCrash ({ atMs, kind }: SeenRequest, index: number, sends: readonly SeenRequest[]): boolean {
  if (kind !== 'run') return false
  return !sends.slice(0, index).some((earlier) => earlier.kind === 'run' && atMs - earlier.atMs < SAME_CRASH_MS)
}
