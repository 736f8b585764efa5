import type { RouterEffect, RouterState } from '../../index.js'
import type { LoadScenario } from './LoadScenario.js'
import type { VirtualTime } from './VirtualTime.js'

/** Effects that send one message to a ledger or a replica. */
const MESSAGES: ReadonlySet<RouterEffect['type']> = new Set(['announce_prefill', 'confirm', 'queue_prefill', 'release', 'reserve', 'send_prefill', 'send_run', 'take_hold', 'drop_hold'])

/**
 * Processor time of simulated entries: each message that a small entry sends or receives takes time, in
 * which its other events wait. Events of other entries are handled at once.
 */
export class LoadProcessors {
  private readonly busyUntilMs = new Map<RouterState, number>()

  constructor (private readonly time: VirtualTime, private readonly load: LoadScenario, private readonly entries: readonly RouterState[]) {}

  /** Handles an event once the entry has time for it. */
  run (entry: RouterState, handle: () => void): void {
    const messageMs = this.messageMsOf(entry)
    if (messageMs === 0) return handle()
    const startMs = Math.max(this.time.nowMs, this.busyUntilMs.get(entry) ?? 0)
    this.busyUntilMs.set(entry, startMs + messageMs)
    this.time.at(startMs + messageMs, handle)
  }

  /** Counts the messages of an effect, and returns when they have been sent. */
  sentAtMs (entry: RouterState, effect: RouterEffect): number {
    const messages = effect.type === 'ask_loads' ? effect.replicaIds.length : MESSAGES.has(effect.type) ? 1 : 0
    const sentAtMs = Math.max(this.time.nowMs, this.busyUntilMs.get(entry) ?? 0) + messages * this.messageMsOf(entry)
    if (messages > 0) this.busyUntilMs.set(entry, sentAtMs)
    return sentAtMs
  }

  /** Returns whether the ledgers do not answer this entry now. */
  isCut (entry: RouterState): boolean {
    const { cut } = this.load
    return cut !== undefined && this.entries.indexOf(entry) < cut.entries && this.time.nowMs >= cut.fromMs && this.time.nowMs < cut.untilMs
  }

  private messageMsOf (entry: RouterState): number {
    const { small } = this.load
    return small !== undefined && this.entries.indexOf(entry) < small.entries ? small.messageMs : 0
  }
}
