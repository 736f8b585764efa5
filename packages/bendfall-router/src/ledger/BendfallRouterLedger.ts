/**
 * The ledger of one replica's decode memory: who holds what, who waits, and
 * what the replica itself reports. One reducer; the sidecar beside the replica
 * runs it.
 *
 * @module
 */
import type { ReplicaLoad, ReplicaStage } from '../BendfallRouterTypes.js'
import type { Forecast, Occupant } from './BendfallRouterForecast.js'
import { delayUntilFit, fits, roomByHorizon } from './BendfallRouterForecast.js'
import type { OutputModel } from './BendfallRouterOutputModel.js'
import { createOutputModel, expectOutput, learnOutput } from './BendfallRouterOutputModel.js'

/** A request that the replica reports. */
export interface ReportedRun {
  readonly requestId: string
  readonly tokensInMemory: number
  readonly eventsMade: number
}

/** What the replica reports of itself. */
export interface ReplicaReport {
  readonly stage: ReplicaStage
  /** Memory that is occupied and can't yield. */
  readonly usedTokens: number
  readonly capacityTokens: number
  readonly queued: number
  readonly active: number
  readonly isSwitching: boolean
  readonly runs: readonly ReportedRun[]
}

/** A booking that an entry asks for. */
export interface MemoryAsk {
  readonly bookingId: string
  readonly requestId: string
  readonly promptTokens: number
  /** The caller's estimate of the answer, or the longest answer when it gave none. */
  readonly hintTokens: number
  readonly maxOutputTokens: number
  /** Between the grant and the first use of the memory. */
  readonly leadMs: number
  readonly maxWaitMs: number
  readonly priority: number
  /** From the ask until an answer is on time. */
  readonly targetMs: number
}

interface Waiting extends MemoryAsk {
  readonly askedAtMs: number
}

interface Booking extends MemoryAsk {
  readonly grantedAtMs: number
  /** Set while its entry waits for the memory to be free. */
  confirm?: { readonly askedAtMs: number, readonly untilMs: number }
  /** When its entry was told that the memory is free. */
  confirmedAtMs?: number
  /** When the replica first reported the run. */
  seenAtMs?: number
}

/** State of the ledger. */
export interface LedgerState {
  report?: ReplicaReport
  isHealthy: boolean
  readonly bookings: Map<string, Booking>
  waiting: Waiting[]
  /** Length of answers, learned from runs that ended. */
  output: OutputModel
  /** Output of one request, learned from the growth of runs. */
  tokensPerMs: number
  /** Number of the load as last told. */
  loadNumber: number
  lastRuns: ReadonlyMap<string, ReportedRun>
  lastReportAtMs: number
}

/** Events of the ledger. */
export type LedgerEvent = { readonly atMs: number } & (
  /** @param askedAtMs - when the replica was asked; what it tells is not older */
  | { readonly type: 'report_read', readonly report: ReplicaReport, readonly askedAtMs: number }
  | { readonly type: 'report_failed' }
  | { readonly type: 'memory_asked', readonly ask: MemoryAsk }
  | { readonly type: 'ask_withdrawn', readonly bookingId: string }
  | { readonly type: 'confirm_asked', readonly bookingId: string, readonly maxWaitMs: number }
  | { readonly type: 'released', readonly bookingId: string }
  | { readonly type: 'time_passed' }
)

/** Effects of the ledger. */
export type LedgerEffect =
  | { readonly type: 'answer', readonly bookingId: string, readonly isGranted: boolean, readonly retryAfterMs: number }
  | { readonly type: 'confirmed', readonly bookingId: string, readonly isFree: boolean }
  /** A confirmation waits for a fresh report. */
  | { readonly type: 'read_report' }
  | { readonly type: 'load_changed' }

/** A booking whose run the replica does not report is dropped this long after its memory was due: its entry is gone. */
const UNSEEN_MS = 1_500

/** Output speed before any was measured: steps of 4 ms. */
const FIRST_TOKENS_PER_MS = 0.25

/** Weight of the newest reading in the learned speed. */
const SPEED_WEIGHT = 0.1

/** A request is reported this soon after it was sent: network, transfer and one step. */
const ON_THE_WAY_MS = 150

/** Growth of the other requests until a request arrives: a block for each of a dozen runs. */
const GROWTH_TOKENS = 192

/** Growth of the running answers for which room is kept: within it one of a dozen answers of three seconds ends. */
const HEADROOM_MS = 400

/** A request that would be on time by less than this counts as late: first event, network, and a prefill that takes longer than foreseen. */
const LATE_MARGIN_MS = 100

/** Share of memory that is kept free for answers longer than expected. */
const MARGIN_SHARE = 0.03

/** Output that a run without a booking is given on top of what it has. */
const UNKNOWN_TOKENS = 300

/**
 * Makes an empty ledger.
 *
 * @param loadNumber - number of the first load
 * @returns the state
 */
export function createLedgerState (loadNumber: number): LedgerState {
  return { isHealthy: false, bookings: new Map(), waiting: [], output: createOutputModel(), tokensPerMs: FIRST_TOKENS_PER_MS, loadNumber, lastRuns: new Map(), lastReportAtMs: 0 }
}

type EventOf<T extends LedgerEvent['type']> = Extract<LedgerEvent, { readonly type: T }>
type Handler<T extends LedgerEvent['type']> = (state: LedgerState, event: EventOf<T>, effects: LedgerEffect[]) => void

const HANDLERS: { readonly [T in LedgerEvent['type']]: Handler<T> } = {
  ask_withdrawn: (state, event) => {
    state.waiting = state.waiting.filter(({ bookingId }) => bookingId !== event.bookingId)
    state.bookings.delete(event.bookingId)
  },
  confirm_asked: (state, event, effects) => {
    const booking = state.bookings.get(event.bookingId)
    if (booking === undefined) {
      effects.push({ type: 'confirmed', bookingId: event.bookingId, isFree: false })
      return
    }
    booking.confirm = { askedAtMs: event.atMs, untilMs: event.atMs + event.maxWaitMs }
    effects.push({ type: 'read_report' })
  },
  memory_asked: (state, event, effects) => takeAsk(state, event.ask, event.atMs, effects),
  released: (state, event) => { state.bookings.delete(event.bookingId) },
  report_failed: (state) => { state.isHealthy = false },
  report_read: (state, event, effects) => {
    takeReport(state, event.report, event.atMs)
    confirmWaiting(state, event.askedAtMs, event.atMs, effects)
  },
  time_passed: () => {}
}

/**
 * Reduces one event.
 *
 * @param state - changed in place; nothing else may change it
 * @param event - what happened
 * @returns effects in order
 */
export function reduceLedger (state: LedgerState, event: LedgerEvent): LedgerEffect[] {
  const effects: LedgerEffect[] = []
  const handle = HANDLERS[event.type] as Handler<LedgerEvent['type']>
  handle(state, event, effects)
  dropUnseen(state, event.atMs)
  grantWaiting(state, event.atMs, effects)
  state.loadNumber = (state.loadNumber + 1) >>> 0
  effects.push({ type: 'load_changed' })
  return effects
}

/**
 * Load as entries see it.
 *
 * @param state - of the ledger
 * @param replicaId - id that the asker knows the replica by
 * @param nowMs - the time
 * @returns the load
 */
export function loadOf (state: LedgerState, replicaId: string, nowMs: number): ReplicaLoad {
  const forecast = forecastOf(state, nowMs)
  const waitingTokens = state.waiting.reduce((sum, ask) => sum + ask.promptTokens + expectedOutput(state, ask, 0), 0)
  return {
    replicaId,
    stage: state.report?.isSwitching === true ? undefined : state.report?.stage,
    isHealthy: state.isHealthy && state.report?.isSwitching !== true,
    capacityTokens: forecast.capacityTokens,
    roomTokens: roomByHorizon(forecast, freeTokens(state, nowMs)).map((room) => Math.floor(room - waitingTokens)),
    backlogTokens: isPrefill(state) ? [...state.bookings.values()].reduce((sum, booking) => sum + booking.promptTokens, 0) : 0
  }
}

function takeAsk (state: LedgerState, ask: MemoryAsk, nowMs: number, effects: LedgerEffect[]): void {
  if (state.bookings.has(ask.bookingId)) {
    effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  if (isPrefill(state)) {
    // A prefill replica's memory does not bind: the booking only shows its backlog to others.
    state.bookings.set(ask.bookingId, { ...ask, grantedAtMs: nowMs })
    effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  const delayMs = delayUntilFit(forecastWithWaiting(state, nowMs), toOccupant(state, ask, nowMs))
  if (delayMs > ask.maxWaitMs) effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: false, retryAfterMs: Math.min(delayMs, ask.maxWaitMs * 4) })
  else state.waiting.push({ ...ask, askedAtMs: nowMs })
}

// The most important first; then those that can still be on time, the one that
// is due first before the others; then those that are late, in their order.
function grantWaiting (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  if (state.waiting.length === 0) return
  const left: Waiting[] = []
  const isLate = (ask: Waiting): number => dueMs(ask) < nowMs + ask.leadMs + LATE_MARGIN_MS ? 1 : 0
  const inOrder = [...state.waiting].sort((a, b) => a.priority - b.priority || isLate(a) - isLate(b) || dueMs(a) - dueMs(b))
  for (const ask of inOrder) {
    const isBlocked = left.length > 0
    if (!isBlocked && freeTokens(state, nowMs) >= ask.promptTokens && fits(forecastOf(state, nowMs), toOccupant(state, ask, nowMs))) {
      state.bookings.set(ask.bookingId, { ...ask, grantedAtMs: nowMs })
      effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    } else if (nowMs >= ask.askedAtMs + ask.maxWaitMs) {
      effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: false, retryAfterMs: ask.maxWaitMs })
    } else {
      left.push(ask)
    }
  }
  state.waiting = left
}

const isPrefill = ({ report }: LedgerState): boolean => report?.stage === 'prefill'

const dueMs = ({ askedAtMs, targetMs }: Waiting): number => askedAtMs + targetMs

function dropUnseen (state: LedgerState, nowMs: number): void {
  for (const booking of state.bookings.values()) {
    const dueAtMs = booking.confirmedAtMs ?? booking.grantedAtMs + booking.leadMs
    if (nowMs > dueAtMs + UNSEEN_MS && booking.seenAtMs === undefined && booking.confirm === undefined) state.bookings.delete(booking.bookingId)
  }
}

function takeReport (state: LedgerState, report: ReplicaReport, nowMs: number): void {
  const runs = new Map(report.runs.map((run) => [run.requestId, run]))
  learnSpeed(state, runs, nowMs)
  for (const booking of state.bookings.values()) {
    if (runs.has(booking.requestId)) booking.seenAtMs ??= nowMs
    else if (booking.seenAtMs !== undefined) endBooking(state, booking)
  }
  state.report = report
  state.isHealthy = true
  state.lastRuns = runs
  state.lastReportAtMs = nowMs
}

function endBooking (state: LedgerState, booking: Booking): void {
  const last = state.lastRuns.get(booking.requestId)
  // What the replica reported last is short of the end by a report's age at most.
  if (last !== undefined) state.output = learnOutput(state.output, booking.hintTokens, last.tokensInMemory - booking.promptTokens)
  state.bookings.delete(booking.bookingId)
}

function expectedOutput (state: LedgerState, ask: MemoryAsk, madeTokens: number): number {
  return expectOutput(state.output, ask.hintTokens, ask.maxOutputTokens, madeTokens)
}

function learnSpeed (state: LedgerState, runs: ReadonlyMap<string, ReportedRun>, nowMs: number): void {
  const elapsedMs = nowMs - state.lastReportAtMs
  for (const [requestId, run] of runs) {
    const before = state.lastRuns.get(requestId)
    if (before === undefined || before.eventsMade === 0 || elapsedMs <= 0) continue
    const grown = run.tokensInMemory - before.tokensInMemory
    if (grown > 0) state.tokensPerMs += SPEED_WEIGHT * (grown / elapsedMs - state.tokensPerMs)
  }
}

// Memory that is free already and promised to nobody. When a running answer
// will end is too uncertain to read a prompt for the memory that it will free:
// of 640 prompts read on such a promise 113 found the memory occupied when
// their result lapsed, on a calm day near full load.
function freeTokens (state: LedgerState, nowMs: number): number {
  const { report } = state
  if (report === undefined) return 0
  const growth = state.lastRuns.size * state.tokensPerMs * (nowMs - state.lastReportAtMs + HEADROOM_MS)
  let promised = 0
  for (const { promptTokens, requestId } of state.bookings.values()) {
    if (!state.lastRuns.has(requestId)) promised += promptTokens
  }
  return report.capacityTokens - report.usedTokens - promised - growth
}

// In the order in which memory was granted. Only a report that was asked for
// after the confirmation shows what is free then.
function confirmWaiting (state: LedgerState, reportAskedAtMs: number, nowMs: number, effects: LedgerEffect[]): void {
  const { report } = state
  if (report === undefined) return
  let freeTokens = report.capacityTokens - report.usedTokens - onTheWayTokens(state, nowMs)
  for (const booking of state.bookings.values()) {
    const { confirm } = booking
    if (confirm === undefined) continue
    const isFree = confirm.askedAtMs <= reportAskedAtMs && freeTokens >= booking.promptTokens + GROWTH_TOKENS
    if (!isFree && nowMs < confirm.untilMs) {
      freeTokens -= booking.promptTokens
      continue
    }
    booking.confirm = undefined
    if (isFree) {
      booking.confirmedAtMs = nowMs
      freeTokens -= booking.promptTokens
    }
    effects.push({ type: 'confirmed', bookingId: booking.bookingId, isFree })
  }
}

// Memory of requests that were sent and that the replica does not report yet.
function onTheWayTokens (state: LedgerState, nowMs: number): number {
  let tokens = 0
  for (const { confirmedAtMs, promptTokens, requestId } of state.bookings.values()) {
    const isOnTheWay = confirmedAtMs !== undefined && nowMs - confirmedAtMs < ON_THE_WAY_MS && !state.lastRuns.has(requestId)
    if (isOnTheWay) tokens += promptTokens
  }
  return tokens
}

function forecastWithWaiting (state: LedgerState, nowMs: number): Forecast {
  const forecast = forecastOf(state, nowMs)
  return { ...forecast, occupants: [...forecast.occupants, ...state.waiting.map((ask) => toOccupant(state, ask, nowMs))] }
}

function forecastOf (state: LedgerState, nowMs: number): Forecast {
  const capacityTokens = Math.floor((state.report?.capacityTokens ?? 0) * (1 - MARGIN_SHARE))
  const bookings = [...state.bookings.values()]
  const byRequest = new Map(bookings.map((booking) => [booking.requestId, booking]))
  const runs = [...state.lastRuns.values()].map((run) => runOccupant(state, run, byRequest.get(run.requestId)))
  const expected = bookings
    .filter(({ requestId }) => !state.lastRuns.has(requestId))
    .map((booking) => toOccupant(state, booking, Math.max(nowMs - booking.leadMs, booking.grantedAtMs)))
  return { nowMs, capacityTokens, occupants: [...runs, ...expected] }
}

function runOccupant (state: LedgerState, run: ReportedRun, booking: Booking | undefined): Occupant {
  const endTokens = booking === undefined
    ? run.tokensInMemory + UNKNOWN_TOKENS
    : booking.promptTokens + expectedOutput(state, booking, run.tokensInMemory - booking.promptTokens)
  const endMs = state.lastReportAtMs + (endTokens - run.tokensInMemory) / state.tokensPerMs
  return { startMs: state.lastReportAtMs, endMs, startTokens: run.tokensInMemory, endTokens }
}

function toOccupant (state: LedgerState, ask: MemoryAsk, fromMs: number): Occupant {
  const startMs = fromMs + ask.leadMs
  const outputTokens = expectedOutput(state, ask, 0)
  return { startMs, endMs: startMs + outputTokens / state.tokensPerMs, startTokens: ask.promptTokens, endTokens: ask.promptTokens + outputTokens }
}
