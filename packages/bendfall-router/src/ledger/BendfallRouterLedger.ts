/**
 * The ledger of one replica's decode memory: who holds what, who waits, and
 * what the replica itself reports. One reducer; the sidecar beside the replica
 * runs it.
 *
 * @module
 */
import { DEFAULT_DECISIONS } from '../BendfallRouterDecisions.js'
import type { RouterDecisions } from '../BendfallRouterDecisions.js'
import type { ReplicaLoad } from '../BendfallRouterTypes.js'
import { delayUntilFit, fits, roomByHorizon } from './BendfallRouterForecast.js'
import { expectedOutput, forecastOf, forecastWithWaiting, freeTokens, toOccupant } from './BendfallRouterLedgerMemory.js'
import type { Booking, LedgerEffect, LedgerEvent, LedgerState, MemoryAsk, ReplicaReport, ReportedRun, Waiting } from './BendfallRouterLedgerState.js'
import { createOutputModel, learnOutput } from './BendfallRouterOutputModel.js'

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

/**
 * Prompts that a prefill replica is given at once: two and a half of the users'
 * mean prompt. More wait in the ledger, where the order is by due time: in bursts
 * of a calm day four lay at each replica, 600 ms each, with their decode memory
 * booked and unused.
 */
const PREFILL_SLOT_TOKENS = 8_000

/**
 * Prompts that a decode replica reads itself at once. It reads them one after the
 * other, so that a second one only keeps memory that nobody uses yet.
 */
const IN_PLACE_TOKENS = 4_000

/** A slot at a prefill replica is kept this long for a request that books its memory: a call between instances and a margin. */
const SLOT_KEPT_MS = 60

/** Time to read a prompt token with all that comes with a prompt: 140 ms for 3,200 tokens at a busy replica. */
const READ_MS_PER_TOKEN = 0.045

/**
 * Those that can be on time take all the room of a replica for which they have
 * waited this long: late ones are refused then, not held. With twice the load that
 * memory can bear this served 80 of 180 streams on time instead of 51 (virtual time);
 * 400 ms did the same, 600 ms half of it.
 */
const CROWDED_MS = 200

/** It is crowded until none of them has waited or been refused for this long; from 200 ms to 1 s made little difference. */
const CALM_MS = 400

/** A request that would be on time by less than this counts as late: first event, network, and a prefill that takes longer than foreseen. */
const LATE_MARGIN_MS = 100

/**
 * Makes an empty ledger.
 *
 * @param loadNumber - number of the first load
 * @param decisions - switches of its mechanisms
 * @returns the state
 */
export function createLedgerState (loadNumber: number, decisions: RouterDecisions = DEFAULT_DECISIONS): LedgerState {
  return { decisions, isHealthy: false, bookings: new Map(), waiting: [], lastWaitAtMs: -Infinity, output: createOutputModel(), tokensPerMs: FIRST_TOKENS_PER_MS, loadNumber, lastRuns: new Map(), lastReportAtMs: 0 }
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
  report_failed: (state, _event, effects) => {
    state.isHealthy = false
    giveUpWaiting(state, effects)
  },
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
    backlogTokens: isPrefill(state) ? bookedTokens(state) + aheadTokens(state, nowMs) : readingTokens(state)
  }
}

// Late requests wait behind a new one.
function aheadTokens ({ waiting }: LedgerState, nowMs: number): number {
  return waiting.reduce((sum, ask) => isLate(ask, nowMs) ? sum : sum + ask.promptTokens, 0)
}

function takeAsk (state: LedgerState, ask: MemoryAsk, nowMs: number, effects: LedgerEffect[]): void {
  const known = state.bookings.get(ask.bookingId)
  if (known !== undefined) {
    state.bookings.set(ask.bookingId, { ...known, grantedAtMs: nowMs, slotUntilMs: undefined })
    effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  if (state.report !== undefined && !state.isHealthy) {
    effects.push({ type: 'replica_lost', bookingId: ask.bookingId })
    return
  }
  if (isPrefill(state)) {
    takePrefillAsk(state, ask, nowMs, effects)
    return
  }
  const delayMs = delayUntilFit(forecastWithWaiting(state, nowMs), toOccupant(state, ask, nowMs))
  if (delayMs > longestDelayMs(state, ask, nowMs)) effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: false, retryAfterMs: retryAfterMs(state, delayMs, nowMs) })
  else state.waiting.push({ ...ask, askedAtMs: nowMs })
}

// Those that wait for a replica that is gone would be held for nothing.
function giveUpWaiting (state: LedgerState, effects: LedgerEffect[]): void {
  for (const { bookingId } of state.waiting) effects.push({ type: 'replica_lost', bookingId })
  state.waiting = []
  for (const booking of state.bookings.values()) {
    if (booking.confirm === undefined) continue
    booking.confirm = undefined
    effects.push({ type: 'confirmed', bookingId: booking.bookingId, isFree: false })
  }
}

// Without a wait the prompt is read already: the booking only shows it to other entries.
function takePrefillAsk (state: LedgerState, ask: MemoryAsk, nowMs: number, effects: LedgerEffect[]): void {
  if (ask.maxWaitMs === 0) {
    state.bookings.set(ask.bookingId, { ...ask, grantedAtMs: nowMs })
    effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    return
  }
  const waitingTokens = state.waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
  const delayMs = Math.max(0, bookedTokens(state) + waitingTokens - PREFILL_SLOT_TOKENS) * READ_MS_PER_TOKEN
  if (delayMs > longestDelayMs(state, ask, nowMs)) effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: false, retryAfterMs: retryAfterMs(state, delayMs, nowMs) })
  else state.waiting.push({ ...ask, askedAtMs: nowMs })
}

// The most important first; then those that can still be on time, the one that
// is due first before the others; then those that are late, in their order.
function grantWaiting (state: LedgerState, nowMs: number, effects: LedgerEffect[]): void {
  if (nowMs - state.lastWaitAtMs > CALM_MS) state.crowdedSinceMs = undefined
  if (state.waiting.length === 0) return
  const left: Waiting[] = []
  const lateRank = (ask: Waiting): number => state.decisions.late === 'behind' && isLate(ask, nowMs) ? 1 : 0
  const orderMs = state.decisions.queueOrder === 'due_first' ? dueMs : ({ askedAtMs }: Waiting) => askedAtMs
  const inOrder = [...state.waiting].sort((a, b) => a.priority - b.priority || lateRank(a) - lateRank(b) || orderMs(a) - orderMs(b))
  for (const ask of inOrder) {
    const isBlocked = left.length > 0
    if (!isBlocked && hasRoom(state, ask, nowMs)) {
      state.bookings.set(ask.bookingId, { ...ask, grantedAtMs: nowMs, slotUntilMs: isPrefill(state) ? nowMs + SLOT_KEPT_MS : undefined })
      effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: true, retryAfterMs: 0 })
    } else if (nowMs >= ask.askedAtMs + ask.maxWaitMs || (isCrowded(state, nowMs) && isLate(ask, nowMs))) {
      effects.push({ type: 'answer', bookingId: ask.bookingId, isGranted: false, retryAfterMs: retryAfterMs(state, 0, nowMs) })
    } else {
      left.push(ask)
    }
  }
  state.waiting = left
  if (left.some((ask) => !isLate(ask, nowMs))) noteCrowd(state, nowMs)
}

function noteCrowd (state: LedgerState, nowMs: number): void {
  state.crowdedSinceMs ??= nowMs
  state.lastWaitAtMs = nowMs
}

function isCrowded ({ crowdedSinceMs, decisions }: LedgerState, nowMs: number): boolean {
  return decisions.crowd === 'refuse_late' && crowdedSinceMs !== undefined && nowMs - crowdedSinceMs > CROWDED_MS
}

// At a crowded replica only those are held that can be on time.
function longestDelayMs (state: LedgerState, ask: MemoryAsk, nowMs: number): number {
  if (ask.targetMs > ask.leadMs + LATE_MARGIN_MS && state.crowdedSinceMs !== undefined) state.lastWaitAtMs = nowMs
  if (!isCrowded(state, nowMs)) return ask.maxWaitMs
  return Math.min(ask.maxWaitMs, ask.targetMs - ask.leadMs - LATE_MARGIN_MS)
}

// The longer a replica has been crowded, the longer it is likely to stay so.
function retryAfterMs ({ crowdedSinceMs }: LedgerState, delayMs: number, nowMs: number): number {
  const crowdedMs = crowdedSinceMs === undefined ? 0 : nowMs - crowdedSinceMs
  return Math.max(delayMs, 2 * crowdedMs)
}

function hasRoom (state: LedgerState, ask: Waiting, nowMs: number): boolean {
  if (isPrefill(state)) return state.bookings.size === 0 || bookedTokens(state) + ask.promptTokens <= PREFILL_SLOT_TOKENS
  if (ask.readsInPlace && !canRead(state, ask)) return false
  return freeTokens(state, nowMs) >= ask.promptTokens && (state.decisions.room === 'free_now' || fits(forecastOf(state, nowMs), toOccupant(state, ask, nowMs)))
}

function canRead (state: LedgerState, { promptTokens }: MemoryAsk): boolean {
  const underWayTokens = readingTokens(state)
  return underWayTokens === 0 || underWayTokens + promptTokens <= IN_PLACE_TOKENS
}

// A prompt is read when its request has made an event.
function readingTokens ({ bookings, lastRuns }: LedgerState): number {
  let tokens = 0
  for (const { promptTokens, readsInPlace, requestId } of bookings.values()) {
    if (readsInPlace && (lastRuns.get(requestId)?.eventsMade ?? 0) === 0) tokens += promptTokens
  }
  return tokens
}

function bookedTokens ({ bookings }: LedgerState): number {
  let tokens = 0
  for (const { promptTokens } of bookings.values()) tokens += promptTokens
  return tokens
}

const isLate = (ask: Waiting, nowMs: number): boolean => dueMs(ask) < nowMs + ask.leadMs + LATE_MARGIN_MS

const isPrefill = ({ report }: LedgerState): boolean => report?.stage === 'prefill'

const dueMs = ({ askedAtMs, targetMs }: Waiting): number => askedAtMs + targetMs

function dropUnseen (state: LedgerState, nowMs: number): void {
  for (const booking of state.bookings.values()) {
    if (booking.slotUntilMs !== undefined && nowMs > booking.slotUntilMs) state.bookings.delete(booking.bookingId)
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

function learnSpeed (state: LedgerState, runs: ReadonlyMap<string, ReportedRun>, nowMs: number): void {
  const elapsedMs = nowMs - state.lastReportAtMs
  for (const [requestId, run] of runs) {
    const before = state.lastRuns.get(requestId)
    if (before === undefined || before.eventsMade === 0 || elapsedMs <= 0) continue
    const grown = run.tokensInMemory - before.tokensInMemory
    if (grown > 0) state.tokensPerMs += SPEED_WEIGHT * (grown / elapsedMs - state.tokensPerMs)
  }
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
