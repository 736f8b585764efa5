/**
 * Switches of the mechanisms that decide about requests. Each mechanism can be disabled by a
 * setting so that its effect can be measured; production deployments run the defaults.
 *
 * @module
 */

/** Every mechanism with its alternatives; the first is the default. */
export const DECISION_CHOICES = {
  /** Where a prompt is prefilled: at a prefill replica, or at the decode replica when that is forecast to be sooner. */
  read: ['by_forecast', 'apart', 'in_place'],
  /** Whether decode memory is booked before the prompt is prefilled. */
  reserve: ['before_prefill', 'none'],
  /** Whether booked memory must be free at the replica before a request is sent there. */
  confirm: ['before_send', 'none'],
  /** Whether requests queue for a busy prefill replica before they book memory. */
  prefillSlots: ['queued', 'none'],
  /** Order of the requests of one priority that wait for a replica: by when they are due, or by arrival. */
  queueOrder: ['due_first', 'arrival'],
  /** Whether requests that can't meet the latency target of their route any more wait behind those of their priority that can. */
  late: ['behind', 'among'],
  /** How the output length is predicted. */
  outputs: ['learned', 'hinted'],
  /** Whether memory for the growth of running requests is kept free. */
  room: ['forecast', 'free_now'],
  /** Whether replicas are moved between the pools. */
  pools: ['balanced', 'as_found'],
  /** Whether replicas that failed are avoided for a time. */
  suspicion: ['on', 'off'],
  /** Whether a broken stream is resumed on another replica. */
  resume: ['elsewhere', 'none'],
  /** Whether a request is retried after a failure. */
  retries: ['budgeted', 'none'],
  /** Whether requests that crash the replicas running them are rejected. */
  crashes: ['refused', 'served'],
  /** Whether an entry reports that it has served what others suspect of crashing replicas. */
  suspectReports: ['answered', 'unanswered'],
  /** Whether the memory that an entry buffers for callers is bounded, where the settings give the memory of the process. */
  memory: ['bounded', 'unbounded'],
  /** Which replica serves a request. */
  replica: ['best', 'random'],
  /** Whether a call that plain replicas have no room for waits in the entry, by limits learned from refusals. */
  plainOverload: ['queued', 'immediate'],
  /** When the timeout of a try aborts a repeatable plain call: only while another replica has a place, or in any case. */
  plainTimeout: ['with_place', 'always'],
  /** Whether a plain replica that came back or lost a connection is tried with few calls first, while others of its service have a place. */
  plainReturn: ['few_first', 'all_at_once'],
  /** Whether the measured speeds of replicas are weighed in the choice: output rates of decode replicas, and the age of the time factors of prefill replicas. */
  speeds: ['weighed', 'ignored'],
  /** Which registrations are used when several have the same address. */
  addresses: ['latest', 'all'],
  /** Whether a prefill replica in the decode replica's availability zone is preferred. */
  zones: ['near', 'any'],
  /** How the retry delay returned to a rejected caller is chosen. */
  retryAfter: ['slots', 'spread', 'forecast', 'fixed'],
  /** Whether model replicas are told how urgent a request is, at services whose requests have different priorities. */
  urgency: ['sent', 'none'],
  /** Whether further ledgers are queried while a request waits for capacity, or before it is refused for lack of it. */
  widening: ['other_ledgers', 'none'],
  /** Whether a request that waits at one ledger moves to a replica that has capacity. */
  waiting: ['moves', 'stays'],
  /** Which of the waiting requests count when a ledger judges whether a new one can be served in time. */
  admission: ['those_ahead', 'all_waiting'],
  /** Whether waiting requests that can no longer be served in their callers' time are rejected at once. */
  behind: ['refused', 'hold'],
  /** Whether less urgent requests get a small share of the memory while urgent ones take all of it. */
  floor: ['share', 'none'],
  /** Whether requests of customers that were lately granted much more than their share wait behind those of the others of their priority. */
  fairShares: ['behind', 'none'],
  /** Whether less urgent requests leave the memory free that urgent ones lately used. */
  urgentReserve: ['recent_use', 'none'],
  /** Whether small requests may pass a large one for which there is no memory yet. */
  passing: ['few', 'none'],
  /** When another entry replaces a leader of the allotments that is lost: once a refused connection proves that its process has ended, or after its lease. */
  allotmentTakeover: ['on_proof', 'after_lease'],
  /** Whether one entry grants part of the units beyond the allotments while no leader can grant. */
  allotmentInterim: ['granted', 'none'],
  /** Whether sends wait, while the event loop of the entry is late, until the closes of callers have been read. */
  closedCallers: ['read_first', 'ignored'],
  /** Whether the interim role has further parts, which are claimed when the holder of the latest is gone. */
  allotmentParts: ['repeated', 'once'],
  /** Whether entries with little processor time leave vacant duties to larger ones for a moment. */
  allotmentLeader: ['large_first', 'any'],
  /** Whether a repeatable run that a replica answered with an error is run elsewhere, and the replica is avoided at once. */
  failedRuns: ['elsewhere', 'delivered'],
  /** Whether prefill replicas whose results are lost before they can be used are avoided for a while. */
  lostResults: ['avoided', 'ignored']
} as const

/** Name of a mechanism. */
export type DecisionName = keyof typeof DECISION_CHOICES

/** The selected alternative of each mechanism. */
export type RouterDecisions = { readonly [N in DecisionName]: (typeof DECISION_CHOICES)[N][number] }

/** Default alternative of each mechanism. */
export const DEFAULT_DECISIONS = Object.fromEntries(Object.entries(DECISION_CHOICES).map(([name, [first]]) => [name, first])) as unknown as RouterDecisions

/** JSON Schema of the `decisions` section of the settings. */
export const DECISIONS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: Object.fromEntries(Object.entries(DECISION_CHOICES).map(([name, choices]) => [name, { type: 'string', enum: [...choices] }]))
}
