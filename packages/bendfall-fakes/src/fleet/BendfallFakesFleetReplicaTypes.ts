/**
 * Options of the stand-in for a replica on the users' platform, and what tests observe of it.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http'
import type { FleetServer } from './BendfallFakesFleetServer.js'

/** Identity and behavior of a replica. */
export interface FleetReplicaOptions {
  readonly host: string
  readonly replicaId: string
  readonly stage?: 'prefill' | 'decode'
  /** Version of its software, which each event of a stream names; absent: events name none. */
  readonly softwareVersion?: string
  readonly memoryTokens?: number
  /** Number of events in a streamed response. */
  readonly events?: number
  readonly eventMs?: number
  /** Delay of the response to a call without a prompt. */
  readonly responseDelayMs?: number
  /** Returns whether a request crashes the process shortly after it started to run. */
  readonly crashesOn?: (request: SeenRequest) => boolean
  /** What a request that crashes the process gets before. */
  readonly responseBeforeCrash?: ResponseBeforeCrash
  /** Whether streams have neither a length nor chunked coding, and connections end gracefully with the process. */
  readonly isCloseDelimited?: boolean
  /** Returns whether the stream of a request is broken off halfway. */
  readonly breaksOff?: (request: SeenRequest) => boolean
  /** Called after the simulated process has crashed. */
  readonly onCrash?: () => void
  /** Whether the process restarts under the same id immediately after a crash. */
  readonly restartsAfterCrash?: boolean
  /** Requests that run at once; others wait. Default: unlimited. */
  readonly slots?: number
  /** Requests that may wait; further ones are refused as not run. Default: unlimited. */
  readonly maxQueued?: number
  /**
   * Whether requests without memory wait instead of being refused, the most urgent one (`X-Request-Urgency`)
   * first, and the newest of the least urgent is preempted when streams outgrow the memory.
   */
  readonly ordersByUrgency?: boolean
  /** Factor on the times of its prefills, events and responses; default 1. */
  readonly timeFactor?: number
  /** Time after which a response of which something always remained unread is cut; default: never. */
  readonly unreadTimeoutMs?: number
  /** Returns the bytes by which each event of a request's stream is padded. */
  readonly eventPaddingBytes?: (request: SeenRequest) => number
}

/** Part of a response that precedes a crash. */
export type ResponseBeforeCrash = 'nothing' | 'head' | 'event'

/** How a replica fails its next request. */
export type FleetReplicaFault = 'not_run' | 'reset' | 'garbled' | 'other_request' | 'unsigned' | 'break_off'

/** A request that arrived at a replica. */
export interface SeenRequest {
  readonly requestId: string
  /** Monotonic time of arrival. */
  readonly atMs: number
  readonly kind: 'prefill' | 'run'
  readonly headers: IncomingMessage['headers']
  readonly path: string
  readonly body: string
  isAborted: boolean
  /** Whether the replica responded that it did not run the request. */
  isRefused: boolean
  /** Handle of the processed prompt. */
  handle?: string
}

/** A received order to change the stage. */
export interface SeenOrder {
  /** Monotonic time of arrival. */
  readonly atMs: number
  readonly fence: number
  readonly holder: string
  readonly stage: 'prefill' | 'decode'
}

/** A limit on the total request rate of all entries, with the time for which the replica advertised it. */
export interface AdvertisedLimit {
  readonly perS: number
  /** Monotonic time. */
  readonly fromMs: number
  /** Monotonic time; absent while the limit is advertised. */
  untilMs?: number
}

/** The stand-in. */
export interface FleetReplica extends FleetServer {
  /** Limits in the order in which the replica advertised them. */
  readonly limits: readonly AdvertisedLimit[]
  /** Monotonic times of the routers' control calls other than report polls. */
  readonly controlCallsAtMs: readonly number[]
  /** Advertises this limit, in requests per second, in each further response; undefined lifts it. */
  readonly advertiseLimit: (perS: number | undefined) => void
  /** Sets the raw value of the limit header of each further response; undefined removes the header. */
  readonly setLimitHeader: (text: string | undefined) => void
  /** All orders, including those rejected because their fencing token is lower than one received before. */
  readonly orders: readonly SeenOrder[]
  readonly seen: readonly SeenRequest[]
  /** Injects a fault into the next run request. */
  readonly failNext: (fault: FleetReplicaFault) => void
  /**
   * Sends each further response other than a stream a second time: when the next request arrives on
   * the connection, before its response.
   */
  readonly duplicateResponses: () => void
  /** Reports in each further response that the replica is leaving. */
  readonly advertiseLeaving: () => void
  /** Refuses all requests as not run, with a backoff of this many seconds in `Retry-After`; 0 ends it. */
  readonly requestBackoff: (seconds: number) => void
  /** Discards pending faults, duplicated responses, the backoff, the advertised limit and a changed time factor. */
  readonly clearFaults: () => void
  readonly stage: () => string | undefined
  /** Start time of the simulated process, Unix milliseconds. */
  readonly startedAtMs: () => number
  /** Restarts the process under the same id and address: its state is lost and its connections are reset. */
  readonly restart: () => void
  /** Replaces the process at its address by one with another id and software version. */
  readonly replace: (replicaId: string, softwareVersion: string) => void
  /** Crashes the process: connections are reset and, unless it restarts, new ones are refused. */
  readonly crash: () => void
  /** @returns the number of streams in progress */
  readonly running: () => number
  /** Changes the factor on its times; `clearFaults` restores the initial one. */
  readonly setTimeFactor: (factor: number) => void
  /** @returns the number of streams that were preempted */
  readonly preemptions: () => number
}
