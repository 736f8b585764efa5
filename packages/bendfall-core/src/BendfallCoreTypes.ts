/**
 * Identifiers and closed vocabularies that every package shares.
 *
 * @module
 */

/** Identifies one request for its whole life, over all attempts. */
export type RequestId = string

/** Identifies one instance of the platform. */
export type InstanceId = string

/** Name of an availability zone. */
export type AvailabilityZone = string

/** Identifies the account on whose behalf a request is made. */
export type ClientId = string

/** Name of a model in the configuration. */
export type ModelName = string

/** Name of a pool of upstreams in the configuration. */
export type PoolName = string

/** Latency class of a request. */
export type TrafficClass = 'interactive' | 'summary'

/** What the upstreams of a pool do. */
export type PoolRole = 'prefill' | 'decode' | 'service'

/** Life of an instance as this process sees it. */
export type InstanceState = 'live' | 'suspected' | 'leaving' | 'gone'

/** How a request ended. Exactly one holds for every request that ended. */
export type Outcome = 'answered' | 'not_run' | 'unknown' | 'cancelled'

/** Why a request was refused or an attempt was given up. */
export type RefusalReason =
  | 'bad_request'
  | 'caller_left'
  | 'capacity'
  | 'client_share'
  | 'config_invalid'
  | 'config_missing'
  | 'deadline'
  | 'draining'
  | 'duplicate_running'
  | 'home_moved'
  | 'key_conflict'
  | 'key_too_old'
  | 'lease_lapsed'
  | 'model_unknown'
  | 'no_upstream'
  | 'prefill_lost'
  | 'retry_budget'
  | 'route_unknown'
  | 'slow_reader'
  | 'transfer_stalled'
  | 'upstream_failed'
  | 'upstream_unreachable'
