import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

/** Host of the route. */
export const VERSION_HOST = 'versions.example'

/** Number of events in a complete stream. */
export const VERSION_EVENTS = 14

/** A stream as its caller received it, over all requests for it. */
export interface CallerStream {
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
  /** `ip:port` of the entries, tried in turn from the first on. */
  readonly entries: readonly string[]
  /** Events after which the caller closes the connection of its first request and resumes elsewhere. */
  readonly leavesAfter?: number
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
const MAX_TRIES = 10
const RETRY_MS = 20

/** Pause after a connection that brought nothing: the entry is restarting. */
const REFUSED_RETRY_MS = 150
const MS_PER_SECOND = 1_000

let nextId = 1

/**
 * Requests one stream, and resumes it until it is complete or the tries are used up.
 *
 * @param options - entries, and whether the caller breaks off
 * @returns the stream
 */
export async function callStream ({ entries, leavesAfter }: CallerOptions): Promise<CallerStream> {
  const deadlineAtMs = performance.now() + DEADLINE_MS
  const versions = new Set<string>()
  const refusals: Array<{ status: number, afterMs: number }> = []
  let firstRequestId: string | undefined
  let lastEventId = 0
  let isResumed = false
  let hasGoneOn = false
  let isComplete = false
  for (let tried = 0; tried < MAX_TRIES && !isComplete && performance.now() < deadlineAtMs; tried += 1) {
    const requestId = `caller-${process.pid}-${nextId++}`
    const resumes: Record<string, string> = firstRequestId === undefined ? {} : { 'last-event-id': String(lastEventId), resumes: firstRequestId }
    const attempt = await send(entries[tried % entries.length] as string, { 'x-request-id': requestId, 'x-deadline-ms': String(Math.round(deadlineAtMs - performance.now())), ...resumes }, tried === 0 ? leavesAfter : undefined)
    const events = [...attempt.text.matchAll(/^id: (\d+)\ndata: piece \d+ by (\S+)\n\n/gm)]
    for (const [, id, version] of events) {
      lastEventId = Number(id)
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
  return { softwareVersions: versions, isBegun: firstRequestId !== undefined, isComplete, isResumed, hasGoneOn, refusals }
}

function send (address: string, headers: Readonly<Record<string, string>>, leavesAfter: number | undefined): Promise<Attempt> {
  const [host = '', port = ''] = address.split(':')
  const attempt: Attempt = { status: 0, retryAfterMs: RETRY_MS, isComplete: false, text: '', startedAtMs: performance.now(), headAtMs: 0 }
  return new Promise((resolve) => {
    const request = httpRequest({ host, port: Number(port), path: '/brief/1', method: 'POST', agent: false, headers: { host: VERSION_HOST, 'x-token-counts': '1500,200', ...headers }, timeout: DEADLINE_MS }, (response) => {
      attempt.status = response.statusCode ?? 0
      attempt.headAtMs = performance.now()
      const retryAfterS = Number(response.headers['retry-after'] ?? NaN)
      if (Number.isFinite(retryAfterS)) attempt.retryAfterMs = retryAfterS * MS_PER_SECOND
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => {
        attempt.text += chunk
        if (leavesAfter !== undefined && attempt.text.split('\n\n').length > leavesAfter) request.destroy()
      })
      response.on('end', () => { attempt.isComplete = response.complete })
      response.on('error', () => resolve(attempt))
      response.on('close', () => resolve(attempt))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(attempt))
    request.end()
  })
}
