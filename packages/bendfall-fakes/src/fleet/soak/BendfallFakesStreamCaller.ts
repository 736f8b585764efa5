/**
 * Caller of streams that breaks off and resumes at other entries, as callers do whose connection ends.
 *
 * @module
 */
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** A stream as its caller received it, over all requests for it. */
export interface CallerStream {
  /** Id of the request that brought the first event, or of the last one. */
  readonly requestId: string
  readonly eventIds: readonly number[]
  /** Software versions named by its events. */
  readonly softwareVersions: ReadonlySet<string>
  readonly isBegun: boolean
  readonly isComplete: boolean
  /** Whether the caller resumed it at an entry that it reached. */
  readonly isResumed: boolean
  /** Whether a resumed stream brought at least one more event. */
  readonly hasGoneOn: boolean
  /** Refusals of resumptions: status, and time from the request to the response. */
  readonly refusals: ReadonlyArray<{ readonly status: number, readonly afterMs: number }>
}

/** Behavior of a caller. */
export interface CallerOptions {
  /** Host of the route. */
  readonly host: string
  /** API key; absent where callers need none. */
  readonly key?: string
  /** Prefix of the request ids. */
  readonly name: string
  /** `ip:port` of the entries, tried in turn from the first on. */
  readonly entries: readonly string[]
  /** Events after which the caller closes the connection of its first request and resumes elsewhere. */
  readonly leavesAfter?: number
  /** Whether the caller names the request that began a stream when it resumes it; default: true. */
  readonly namesFirstRequest?: boolean
  /** Called with 1 when a response brings its first data, and with -1 when that response ends. */
  readonly onReceiving?: (change: 1 | -1) => void
}

interface Attempt {
  status: number
  retryAfterMs: number
  isComplete: boolean
  text: string
  readonly startedAtMs: number
  headAtMs: number
}

const DEADLINE_MS = 5_000

/** Requests that entries answer; while an entry restarts, others are tried. */
const MAX_ANSWERED_TRIES = 5
const RETRY_MS = 20

/** Pause after a connection that brought nothing: the entry is restarting. */
const REFUSED_RETRY_MS = 150
const MS_PER_SECOND = 1_000

/**
 * Requests one stream, and resumes it until it is complete or the tries are used up.
 *
 * @param options - entries, names, and whether the caller breaks off
 * @returns the stream
 */
export async function callStream ({ entries, host, key, leavesAfter, name, namesFirstRequest = true, onReceiving }: CallerOptions): Promise<CallerStream> {
  const deadlineAtMs = performance.now() + DEADLINE_MS
  const versions = new Set<string>()
  const eventIds: number[] = []
  const refusals: Array<{ status: number, afterMs: number }> = []
  let firstRequestId: string | undefined
  let requestId = name
  let isResumed = false
  let hasGoneOn = false
  let isComplete = false
  let answeredTries = 0
  for (let tried = 0; answeredTries < MAX_ANSWERED_TRIES && !isComplete && performance.now() < deadlineAtMs; tried += 1) {
    requestId = `${name}/${tried}`
    const resumes: Record<string, string> = firstRequestId === undefined ? {} : { 'last-event-id': String(eventIds.at(-1)), ...(namesFirstRequest && { resumes: firstRequestId }) }
    const attempt = await send(entries[tried % entries.length] as string, { host, 'x-request-id': requestId, 'x-deadline-ms': String(Math.round(deadlineAtMs - performance.now())), ...(key !== undefined && { 'x-api-key': key }), ...resumes }, tried === 0 ? leavesAfter : undefined, onReceiving)
    if (attempt.status !== 0) answeredTries += 1
    const events = [...attempt.text.matchAll(/^id: (\d+)\ndata: piece \d+ by (\S+)\n\n/gm)]
    for (const [, id, version] of events) {
      eventIds.push(Number(id))
      versions.add(version as string)
    }
    if (firstRequestId !== undefined && attempt.status !== 0) {
      isResumed = true
      hasGoneOn ||= events.length > 0
      if (events.length === 0 && attempt.status !== 200) refusals.push({ status: attempt.status, afterMs: attempt.headAtMs - attempt.startedAtMs })
    }
    if (events.length > 0) firstRequestId ??= requestId
    isComplete = attempt.status === 200 && attempt.isComplete
    if (!isComplete) await sleep(attempt.status === 0 ? REFUSED_RETRY_MS : attempt.retryAfterMs)
  }
  return { requestId: firstRequestId ?? requestId, eventIds, softwareVersions: versions, isBegun: firstRequestId !== undefined, isComplete, isResumed, hasGoneOn, refusals }
}

function send (address: string, headers: Readonly<Record<string, string>>, leavesAfter: number | undefined, onReceiving: CallerOptions['onReceiving']): Promise<Attempt> {
  const [ip = '', port = ''] = address.split(':')
  let hasLeft = false
  const attempt: Attempt = { status: 0, retryAfterMs: RETRY_MS, isComplete: false, text: '', startedAtMs: performance.now(), headAtMs: 0 }
  return new Promise((resolve) => {
    const request = httpRequest({ host: ip, port: Number(port), path: '/brief/1', method: 'POST', agent: false, headers: { 'x-token-counts': '1500,200', ...headers }, timeout: DEADLINE_MS }, (response) => {
      attempt.status = response.statusCode ?? 0
      attempt.headAtMs = performance.now()
      const retryAfterS = Number(response.headers['retry-after'] ?? NaN)
      if (Number.isFinite(retryAfterS)) attempt.retryAfterMs = retryAfterS * MS_PER_SECOND
      response.setEncoding('utf8')
      response.once('data', () => {
        onReceiving?.(1)
        response.once('close', () => onReceiving?.(-1))
      })
      response.on('data', (chunk: string) => {
        attempt.text += chunk
        if (leavesAfter === undefined || attempt.text.split('\n\n').length <= leavesAfter) return
        hasLeft = true
        request.destroy()
      })
      response.on('end', () => { attempt.isComplete = response.complete && !hasLeft })
      response.on('error', () => resolve(attempt))
      response.on('close', () => resolve(attempt))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(attempt))
    request.end()
  })
}

/**
 * Checks a stream as its caller received it, over all requests for it.
 *
 * @param stream - stream to check
 * @param events - number of events in a complete stream
 * @returns a description of the violation; undefined when there is none
 */
export function findStreamViolation ({ eventIds, isComplete, requestId, softwareVersions }: CallerStream, events: number): string | undefined {
  if (softwareVersions.size > 1) return `${requestId}: events of the software versions ${[...softwareVersions].join(', ')}`
  if (eventIds.some((id, index) => id !== index + 1)) return `${requestId}: events missing, duplicated or merged: ${eventIds.join(' ')}`
  return isComplete && eventIds.length !== events ? `${requestId}: reported as complete after ${eventIds.length} of ${events} events` : undefined
}

/**
 * Compares the streams that went on after they were resumed with the new ones that began.
 *
 * @param streams - streams of all callers
 * @returns share of the resumed streams that went on, divided by the share of new streams that began
 */
export function shareGoneOn (streams: readonly CallerStream[]): number {
  const resumed = streams.filter(({ isResumed }) => isResumed)
  const begun = streams.filter(({ isBegun }) => isBegun)
  const goneOn = resumed.filter(({ hasGoneOn }) => hasGoneOn)
  return (goneOn.length / Math.max(1, resumed.length)) / (begun.length / Math.max(1, streams.length))
}
