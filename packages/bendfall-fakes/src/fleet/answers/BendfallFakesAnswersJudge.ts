/**
 * Checks the entry's guarantees: compares what callers received with what replicas received and sent.
 *
 * @module
 */
import { STREAM_EVENTS } from './BendfallFakesAnswersReplica.js'
import type { AnswersCall, CallOutcome } from './BendfallFakesAnswersCaller.js'
import { isRefusal, NOTE_VALUES } from './BendfallFakesAnswersEncode.js'
import type { ReceivedResponse } from './BendfallFakesAnswersResponses.js'
import type { AnswersKind } from './BendfallFakesAnswersEntry.js'
import { isCloseDelimited } from './BendfallFakesAnswersScript.js'
import type { AnswersTruth, Arrival } from './BendfallFakesAnswersTruth.js'
import { digestOf } from './BendfallFakesAnswersTruth.js'

/** Guarantee that was violated. */
export type ViolationType =
  | 'changed_header' | 'close_delimited' | 'crash' | 'cut_looks_complete' | 'foreign_answer' | 'foreign_handle' | 'foreign_hold' | 'handle_reused' | 'other_request_sent' | 'other_stamp' | 'other_status'
  | 'ran_twice' | 'refused_and_ran' | 'reset_looks_complete' | 'silent' | 'stream_pieces' | 'stream_tail_dropped' | 'unasked_answer' | 'unsigned'

/** A violated guarantee and its evidence. */
export interface Violation {
  readonly type: ViolationType
  readonly requestId: string
  readonly detail: string
}

/** A call and its outcome. */
export interface CallRecord {
  readonly kind: AnswersKind
  readonly call: AnswersCall
  readonly outcome: CallOutcome
}

/** Kinds of calls that run at most once. */
const AT_MOST_ONCE: ReadonlySet<AnswersKind> = new Set(['booking', 'summary'])
const STREAMS: ReadonlySet<AnswersKind> = new Set(['brief', 'summary'])

/** Statuses that guarantee that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Finds violated guarantees.
 *
 * @param records - calls with their outcomes
 * @param truth - observations of the replicas
 * @returns the violations
 */
export function findViolations (records: readonly CallRecord[], truth: AnswersTruth): readonly Violation[] {
  const byRequest = new Map<string, Arrival[]>()
  for (const arrival of truth.arrivals) byRequest.set(arrival.requestId, [...byRequest.get(arrival.requestId) ?? [], arrival])
  return [
    ...records.flatMap((record) => checkCall(record, byRequest.get(record.call.requestId) ?? [])),
    ...checkMemory(truth),
    ...truth.garbage.map((detail) => ({ type: 'other_request_sent' as const, requestId: '', detail }))
  ]
}

function checkCall ({ call, kind, outcome }: CallRecord, arrivals: readonly Arrival[]): Violation[] {
  const { answer, end } = outcome
  const found: Array<readonly [ViolationType, string]> = []
  const runs = arrivals.filter(({ hasRun }) => hasRun)
  if (end === 'silent') found.push(['silent', `status ${answer.status}, ${answer.body.length} bytes`])
  if (AT_MOST_ONCE.has(kind) && runs.length > 1) found.push(['ran_twice', `${runs.length} times`])
  if (AT_MOST_ONCE.has(kind) && NOT_RUN_STATUSES.has(answer.status) && runs.length > 0) found.push(['refused_and_ran', `status ${answer.status}`])
  found.push(...checkForwardedRequest(call, arrivals), ...checkResponse(call, answer, arrivals))
  if (STREAMS.has(kind) && answer.status === 200) found.push(...checkEvents(call, answer, arrivals))
  return found.map(([type, detail]) => ({ type, requestId: call.requestId, detail: `${kind} ${detail}; ${answer.framing} ${end}; arrivals: ${arrivals.map(describeArrival).join(' | ')}` }))
}

function describeArrival ({ answer, asked, atMs, connection, hasRun, replicaId, script }: Arrival): string {
  return `${asked} at ${replicaId}/${connection} ${Math.round(atMs)} ${hasRun ? 'ran' : ''} ${answer.body} ${script}`
}

function checkForwardedRequest ({ body, method, path }: AnswersCall, arrivals: readonly Arrival[]): Array<readonly [ViolationType, string]> {
  const sent = digestOf(body)
  return arrivals
    .filter((arrival) => arrival.method !== method || arrival.path !== path || (arrival.sentRequest ?? sent) !== sent)
    .map((arrival) => ['other_request_sent', `${arrival.method} ${arrival.path} ${arrival.sentRequest} for ${method} ${path} ${sent}`] as const)
}

function checkResponse ({ requestId }: AnswersCall, answer: ReceivedResponse, arrivals: readonly Arrival[]): Array<readonly [ViolationType, string]> {
  if (answer.status === 0) return []
  const found: Array<readonly [ViolationType, string]> = []
  const ids = answer.headers.get('x-request-id') ?? []
  const isSigned = answer.headers.has('x-response-stamp')
  const stamps = answer.headers.get('x-response-stamp') ?? []
  if (stamps.some((stamp) => !/^i-[a-z]$/.test(stamp))) found.push(['other_stamp', stamps.join(', ')])
  // The kernel would end such a response gracefully, too, if the entry were killed.
  if (answer.framing === 'connection' && hasBody(answer)) found.push(['close_delimited', `status ${answer.status}`])
  if (ids.some((id) => id !== requestId)) found.push(['foreign_answer', `carries the id ${ids.join(', ')}`])
  if (answer.status < 300 && !isSigned) found.push(['unsigned', `status ${answer.status}`])
  if ((answer.headers.get('x-note') ?? []).some((note) => !NOTE_VALUES.has(note))) found.push(['changed_header', `note ${answer.headers.get('x-note')}`])
  if (!isSigned) return found
  const sameStatus = arrivals.filter(({ answer: sent, asked }) => asked === 'run' && sent.status === answer.status && !isRefusal(sent.status))
  if (sameStatus.length === 0) found.push(['other_status', `signed ${answer.status}`])
  else if (answer.isComplete && !sameStatus.some(({ answer: sent }) => isSameBody(answer, sent))) found.push([classifyTruncation(sameStatus), `received ${digestOf(answer.body)}`])
  return found
}

// A stream resumed at another replica equals a stream of one replica, since each run uses the same format.
// A close-delimited response that its replica ended by an orderly close may be any part of the intended body.
function isSameBody (answer: ReceivedResponse, sent: Arrival['answer']): boolean {
  const got = digestOf(answer.body)
  return got === sent.body || got === sent.sentBody
}

function classifyTruncation (arrivals: readonly Arrival[]): ViolationType {
  if (arrivals.some(({ answer }) => answer.isReset && isCloseDelimited(answer.framing))) return 'reset_looks_complete'
  return arrivals.some(({ isStream }) => isStream) ? 'stream_tail_dropped' : 'cut_looks_complete'
}

function checkEvents ({ requestId }: AnswersCall, { body, isComplete }: ReceivedResponse, arrivals: readonly Arrival[]): Array<readonly [ViolationType, string]> {
  const text = body.toString('utf8').replaceAll('\r\n', '\n').replaceAll('\r', '\n')
  const ids = [...text.matchAll(/^id: (\d+)\ndata: (\S+) piece/gm)].map((match) => ({ id: Number(match[1]), of: match[2] }))
  const receivedIds = ids.map(({ id }) => id).join(' ')
  if (ids.some(({ of }) => of !== requestId)) return [['foreign_answer', `events of ${ids.map(({ of }) => of).join(' ')}`]]
  if (ids.some(({ id }, index) => id !== index + 1)) return [['stream_pieces', `events ${receivedIds}`]]
  const isEndedByReplica = arrivals.some(({ answer: { sentBody } }) => sentBody === digestOf(body))
  const isTruncated = isComplete && !isEndedByReplica && ids.length !== STREAM_EVENTS
  return isTruncated ? [['stream_pieces', `complete after events ${receivedIds}`]] : []
}

function hasBody ({ status }: ReceivedResponse): boolean {
  return status !== 204 && status !== 304
}

// A handle or hold may only be used by the request for which it was issued.
function checkMemory ({ arrivals }: AnswersTruth): Violation[] {
  const prefills = new Map(arrivals.filter(({ asked }) => asked === 'prefill').map((arrival) => [arrival.issued ?? '', arrival]))
  const holds = new Set(arrivals.filter(({ asked }) => asked === 'hold').map(({ issued }) => issued))
  const lastUsers = new Map<string, Arrival>()
  const found: Violation[] = []
  for (const arrival of arrivals) {
    const { hold, requestId, source } = arrival
    const handle = source?.slice(source.indexOf('/') + 1)
    const prefill = prefills.get(handle ?? '')
    const report = (type: ViolationType, detail: string): void => { found.push({ type, requestId, detail: `${detail}; ${describeArrival(arrival)}` }) }
    if (handle !== undefined && prefill?.requestId !== requestId) report('foreign_handle', `${handle} belongs to ${prefill?.requestId}: ${prefill === undefined ? '' : describeArrival(prefill)}`)
    if (hold !== undefined && !holds.has(hold)) report('foreign_hold', `${hold} was never issued`)
    for (const memory of [handle, hold]) {
      if (memory === undefined) continue
      const lastUser = lastUsers.get(memory)
      if (lastUser !== undefined && lastUser.requestId !== requestId) report(memory === hold ? 'foreign_hold' : 'handle_reused', `${memory} was used by ${lastUser.requestId}`)
      lastUsers.set(memory, arrival)
    }
  }
  return found
}
