/**
 * Seeded arrivals of a deployment: language requests and plain calls.
 *
 * @module
 */
import type { LanguageRequest, ServiceRequest } from 'bendfall-core'
import { CALL_ANSWER_MS, DOCUMENT_SKEW, LEAVER_SHARE, OUTPUT_SHARE, PREFIX_BLOCK_TOKENS, SERVICE_MEAN_MS, WALL_START_MS } from './BendfallBenchDeployment.js'
import type { Deployment, RequestShape } from './BendfallBenchDeployment.js'
import { createRandom } from './BendfallBenchRandom.js'
import type { Random } from './BendfallBenchRandom.js'

/** A language request with what only the workload knows of it. */
export interface LanguageArrival {
  readonly kind: 'language'
  readonly atMs: number
  readonly request: LanguageRequest
  /** Tokens that the engine will really produce. */
  readonly outputTokens: number
  /** When the caller leaves, from arrival; absent: stays for the answer. */
  readonly leavesAfterMs?: number
  readonly isReturn: boolean
}

/** A plain call with what only the workload knows of it. */
export interface CallArrival {
  readonly kind: 'call'
  readonly atMs: number
  readonly request: ServiceRequest
  readonly serviceMs: number
  readonly isReturn: boolean
}

/** An arrival at an entry. */
export type Arrival = LanguageArrival | CallArrival

/** Traffic to make. */
export interface Traffic {
  readonly deployment: Deployment
  readonly seed: number
  readonly languagePerSecond: number
  readonly callsPerSecond: number
  readonly endMs: number
  /** A client that sends so many times its share in the burst. */
  readonly burst?: { readonly clientId: string, readonly factor: number, readonly fromMs: number, readonly toMs: number }
}

interface Document {
  readonly name: string
  readonly tokens: number
  readonly weight: number
}

/** Longest time after which a leaver leaves: in the middle of most answers. */
const LEAVE_MS = { from: 200, to: 12_000 }

/**
 * Makes the arrivals of a run, in the order of their times.
 *
 * @param traffic - what to make
 * @returns the arrivals; the same traffic gives the same arrivals
 */
export function createArrivals (traffic: Traffic): Arrival[] {
  const language = poisson(traffic, 'language', traffic.languagePerSecond)
  const calls = poisson(traffic, 'calls', traffic.callsPerSecond)
  const makeLanguage = createLanguageMaker(traffic)
  const makeCall = createCallMaker(traffic)
  const arrivals = [
    ...language.map((arrival, index) => makeLanguage(arrival, `l${index}`)),
    ...calls.map((arrival, index) => makeCall(arrival, `c${index}`))
  ]
  return arrivals.sort((one, other) => one.atMs - other.atMs)
}

interface Moment {
  readonly atMs: number
  readonly clientId: string
}

function poisson (traffic: Traffic, purpose: string, perSecond: number): Moment[] {
  const random = createRandom(traffic.seed, `${traffic.deployment.name}/${purpose}`)
  const clients = Object.keys(traffic.deployment.clientShares)
  const shares = Object.values(traffic.deployment.clientShares)
  const moments: Moment[] = []
  let atMs = random.exponential(1000 / perSecond)
  while (atMs < traffic.endMs) {
    moments.push({ atMs, clientId: clients[random.index(shares)] })
    atMs += random.exponential(1000 / perSecond)
  }
  return purpose === 'language' ? addBurst(traffic, moments, perSecond) : moments
}

function addBurst (traffic: Traffic, moments: Moment[], perSecond: number): Moment[] {
  const { burst, deployment } = traffic
  if (burst === undefined) return moments
  const random = createRandom(traffic.seed, `${deployment.name}/burst`)
  const total = Object.values(deployment.clientShares).reduce((sum, share) => sum + share, 0)
  const extraPerSecond = perSecond * (burst.factor - 1) * deployment.clientShares[burst.clientId] / total
  const extra: Moment[] = []
  for (let atMs = burst.fromMs; atMs < burst.toMs; atMs += random.exponential(1000 / extraPerSecond)) {
    extra.push({ atMs, clientId: burst.clientId })
  }
  return [...moments, ...extra].sort((one, other) => one.atMs - other.atMs)
}

function createLanguageMaker (traffic: Traffic): (moment: Moment, requestId: string) => LanguageArrival {
  const { deployment, seed } = traffic
  const random = createRandom(seed, `${deployment.name}/shapes`)
  const documents = createDocuments(deployment, seed)
  const shares = deployment.shapes.map((shape) => shape.share)
  return ({ atMs, clientId }, requestId) => {
    const shape = deployment.shapes[random.index(shares)]
    const document = pickDocument(shape, documents, random)
    const promptTokens = random.integer(shape.ownTokens) + (document?.tokens ?? 0)
    const maxOutputTokens = random.integer(shape.maxOutputTokens)
    const outputShare = OUTPUT_SHARE.from + random.next() * (OUTPUT_SHARE.to - OUTPUT_SHARE.from)
    const leaves = random.next() < LEAVER_SHARE
    const leavesAfterMs = random.integer(LEAVE_MS)
    return {
      kind: 'language',
      atMs,
      outputTokens: Math.ceil(maxOutputTokens * outputShare),
      leavesAfterMs: leaves ? leavesAfterMs : undefined,
      isReturn: false,
      request: {
        requestId,
        clientId,
        model: deployment.model,
        trafficClass: shape.trafficClass,
        prompt: requestId,
        promptTokens,
        maxOutputTokens,
        prefixHashes: hashPrefixes(requestId, promptTokens, document),
        firstOutputMs: deployment.targets[shape.trafficClass].firstOutputMs,
        idempotencyKey: '',
        keyIssuedAtMs: 0,
        bodyDigest: requestId
      }
    }
  }
}

function createDocuments (deployment: Deployment, seed: number): Document[] {
  const random = createRandom(seed, `${deployment.name}/documents`)
  return Array.from({ length: deployment.documentCount }, (_, rank) => ({
    name: `d${rank}`,
    tokens: random.integer(deployment.documentTokens),
    weight: 1 / (rank + 1) ** DOCUMENT_SKEW
  }))
}

function pickDocument (shape: RequestShape, documents: readonly Document[], random: Random): Document | undefined {
  const isShared = random.next() < shape.sharedProbability
  // Drawn in any case: the next request must not depend on this one's kind.
  const document = documents[random.index(documents.map((one) => one.weight))]
  if (shape.sharedProbability === 0) return undefined
  return isShared ? document : { ...document, name: `u${Math.floor(random.next() * Number.MAX_SAFE_INTEGER)}` }
}

function hashPrefixes (requestId: string, promptTokens: number, document?: Document): string[] {
  const blocks = Math.floor(promptTokens / PREFIX_BLOCK_TOKENS)
  const shared = Math.floor((document?.tokens ?? 0) / PREFIX_BLOCK_TOKENS)
  return Array.from({ length: blocks }, (_, block) => `${block < shared ? document?.name : requestId}/${block}`)
}

function createCallMaker (traffic: Traffic): (moment: Moment, requestId: string) => CallArrival {
  const { deployment, seed } = traffic
  const random = createRandom(seed, `${deployment.name}/call-shapes`)
  const body = new Uint8Array(0)
  return ({ atMs, clientId }, requestId) => {
    const once = random.next() < deployment.onceShare
    return {
      kind: 'call',
      atMs,
      serviceMs: random.exponential(SERVICE_MEAN_MS),
      isReturn: false,
      request: {
        requestId,
        clientId,
        trafficClass: 'interactive',
        pool: deployment.servicePool,
        method: once ? 'POST' : 'GET',
        path: '/',
        contentType: 'application/json',
        body,
        repeatable: !once,
        idempotencyKey: once ? `key-${requestId}` : '',
        keyIssuedAtMs: WALL_START_MS + atMs,
        bodyDigest: requestId,
        answerMs: CALL_ANSWER_MS
      }
    }
  }
}
