/**
 * Switches of the mechanisms that decide about requests. Each can be turned off
 * by a setting, so that what it is worth can be measured; users run the defaults.
 *
 * @module
 */

/** Every mechanism with its alternatives; the first is the default. */
export const DECISION_CHOICES = {
  /** Where a prompt is read: at a prefill replica, or at the decode replica when that is sooner. */
  read: ['by_forecast', 'apart', 'in_place'],
  /** Whether decode memory is booked before a prompt is read. */
  reserve: ['before_prefill', 'none'],
  /** Whether booked memory must be free at the replica before a request is sent there. */
  confirm: ['before_send', 'none'],
  /** Whether requests wait for a busy prefill replica before they book memory. */
  prefillSlots: ['queued', 'none'],
  /** Order of those that wait for a replica. */
  queueOrder: ['due_first', 'arrival'],
  /** Whether those that can't be on time wait behind the others. */
  late: ['behind', 'equal'],
  /** Whether those that can't be on time are refused while others wait for the same replica. */
  crowd: ['refuse_late', 'hold'],
  /** From when the target of a caller counts that was refused and returns: from its first try, by the usual or by the longest wait of its route's callers, or from each try. */
  returning: ['usual_wait', 'first_try', 'each_try'],
  /** How long an answer is expected to be. */
  outputs: ['learned', 'hinted'],
  /** Whether memory that running answers will need is kept for them. */
  room: ['forecast', 'free_now'],
  /** Whether replicas change between the pools. */
  pools: ['balanced', 'as_found'],
  /** Whether replicas that failed are left alone for a time. */
  suspicion: ['on', 'off'],
  /** Whether a broken stream goes on at another replica. */
  resume: ['elsewhere', 'none'],
  /** Whether a request is sent again after a failure. */
  retries: ['budgeted', 'none'],
  /** Whether requests that crash the replicas which run them are refused. */
  crashes: ['refused', 'served'],
  /** Which replica serves a request. */
  replica: ['best', 'random'],
  /** Which registrations at one address count. */
  addresses: ['latest', 'all'],
  /** Whether a prefill replica in the decode replica's availability zone is preferred. */
  zones: ['near', 'any'],
  /** What a refused caller is told. */
  retryAfter: ['forecast', 'fixed']
} as const

/** Name of a mechanism. */
export type DecisionName = keyof typeof DECISION_CHOICES

/** Choice for each mechanism. */
export type RouterDecisions = { readonly [N in DecisionName]: (typeof DECISION_CHOICES)[N][number] }

/** What users run. */
export const DEFAULT_DECISIONS = Object.fromEntries(Object.entries(DECISION_CHOICES).map(([name, [first]]) => [name, first])) as unknown as RouterDecisions

/** Schema of the section of the settings; see JSON Schema. */
export const DECISIONS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: Object.fromEntries(Object.entries(DECISION_CHOICES).map(([name, choices]) => [name, { type: 'string', enum: [...choices] }]))
}
