/**
 * Loads of model replicas, asked for when a request needs them. Only a few replicas
 * are asked, so that the cost follows the requests of an entry and not the fleet:
 * an entry that followed the loads of 24 replicas made 215 calls a second for one
 * stream a second, nearly all of them for loads that no request used.
 *
 * @module
 */
import { usableReplicas } from './BendfallRouterBelief.js'
import type { RouterContext } from './BendfallRouterContext.js'
import { draw } from './BendfallRouterContext.js'
import type { LoadStep, RequestState } from './BendfallRouterRequest.js'
import type { ReplicaBelief } from './BendfallRouterState.js'

/** Pool of replicas with a model. */
type ModelStage = 'prefill' | 'decode'

/** A load as young as this is not asked for again: a prompt or a step of a dozen answers takes longer. */
const FRESH_LOAD_MS = 40

/** A load older than this decides nothing while a younger one is known: a prefill replica reads two prompts in it. */
const VALID_LOAD_MS = 200

/**
 * Replicas of each pool that are asked for one request. The best of a few that are drawn
 * is nearly as good as the best of all, and all entries don't meet at the same one.
 */
const SAMPLES: Readonly<Record<ModelStage, number>> = { prefill: 3, decode: 4 }

/** Pools whose loads decide a step. */
const POOLS_OF_STEP: Readonly<Record<LoadStep, readonly ModelStage[]>> = {
  queue: ['prefill', 'decode'],
  reserve: ['prefill', 'decode'],
  prefill: ['prefill']
}

/** Longest wait for the answers; a ledger answers in 5 ms, also over a connection that is opened for it. */
const LONGEST_WAIT_MS = 60

/**
 * Asks for the loads that a step of a request needs, unless they are known.
 *
 * @param context - of the event
 * @param request - the request, with a prompt
 * @param step - step that follows once they are answered
 * @returns whether the request waits for them
 */
export function askLoads (context: RouterContext, request: RequestState, step: LoadStep): boolean {
  const { nowMs } = context
  if (nowMs - request.loadsAskedAtMs < VALID_LOAD_MS) return false
  const asked = POOLS_OF_STEP[step].flatMap((stage) => sample(context, request, stage)).filter((belief) => isWorthAsking(belief, nowMs))
  if (asked.length === 0) return false
  request.loadsAskedAtMs = nowMs
  request.phase = 'loads'
  request.afterLoads = step
  request.attempt += 1
  context.effects.push({
    type: 'ask_loads',
    request: { key: request.key, attempt: request.attempt, maxWaitMs: LONGEST_WAIT_MS },
    replicaIds: asked.map(({ replica }) => replica.replicaId)
  })
  return true
}

/**
 * Replicas that a request may be sent to, those whose load is known if there are any.
 *
 * @param context - of the event
 * @param request - the request
 * @param stage - pool that is needed
 * @returns beliefs about the replicas
 */
export function knownReplicas (context: RouterContext, request: RequestState, stage: ModelStage): ReplicaBelief[] {
  const usable = usableReplicas(context, request, stage)
  const known = usable.filter(({ load, loadAtMs }) => load !== undefined && context.nowMs - loadAtMs < VALID_LOAD_MS)
  return known.length > 0 ? known : usable
}

function sample (context: RouterContext, request: RequestState, stage: ModelStage): ReplicaBelief[] {
  const left = usableReplicas(context, request, stage)
  const drawn: ReplicaBelief[] = []
  while (drawn.length < SAMPLES[stage] && left.length > 0) {
    drawn.push(...left.splice(Math.floor(draw(context.state) * left.length), 1))
  }
  return drawn
}

function isWorthAsking ({ ledgerDownUntilMs, loadAtMs }: ReplicaBelief, nowMs: number): boolean {
  return ledgerDownUntilMs <= nowMs && nowMs - loadAtMs > FRESH_LOAD_MS
}
