/**
 * Chooses the processes that remember the origin of a stream for the others. The place is computed
 * from the stream's id by rendezvous hashing, so that nobody has to be searched; the idea is from
 * "Proxy Caching with Hash Functions" (Baboescu, 2001).
 *
 * @module
 */
import { hashText, mixBits } from 'bendfall-core'

/** Processes of one kind that remember origins. */
export interface OriginHolders {
  readonly members: Map<string, OriginHolder>
  /** The members that are used; undefined after a change of the members. */
  chosen?: readonly OriginHolder[]
}

/** A process that remembers origins. */
export interface OriginHolder {
  /** `ip:port`. */
  readonly address: string
  readonly hash: number
  /** Whether it is expected to stay. */
  isActive: boolean
  /** When it was last listed, unless it still is. */
  goneAtMs?: number
}

/** Members of one kind that are used at most, which bounds the connections of each process. */
const MAX_HOLDERS = 200

/** Holders of each kind that are asked, of the active ones and of all. */
const ASKED_HOLDERS = 2

/** Time for which a process that is no longer listed is still asked: it may serve on, and other processes may list it. */
const LINGER_MS = 20_000

/** @returns holders without members */
export function createOriginHolders (): OriginHolders {
  return { members: new Map() }
}

/**
 * Sets the processes that are listed now.
 *
 * @param holders - changed in place
 * @param listed - whether each process is expected to stay, by address
 * @param nowMs - current time
 */
export function updateOriginHolders (holders: OriginHolders, listed: ReadonlyMap<string, boolean>, nowMs: number): void {
  for (const [address, isActive] of listed) {
    const known = holders.members.get(address)
    if (known === undefined) {
      holders.members.set(address, { address, hash: hashText(address), isActive })
      holders.chosen = undefined
    } else {
      known.isActive = isActive
      known.goneAtMs = undefined
    }
  }
  for (const member of holders.members.values()) {
    if (listed.has(member.address)) continue
    member.isActive = false
    member.goneAtMs ??= nowMs
    if (nowMs - member.goneAtMs <= LINGER_MS) continue
    holders.members.delete(member.address)
    holders.chosen = undefined
  }
}

/**
 * Ranks the holders to which the origin of a stream is written.
 *
 * @param holders - processes of one kind
 * @param requestId - id of the request that brought the first event
 * @param own - address of this process, which needs no call
 * @returns addresses; the second one is used when the first one can't be reached
 */
export function holdersToTell (holders: OriginHolders, requestId: string, own: string): readonly string[] {
  return rank(chosenOf(holders).filter(({ address, isActive }) => isActive && address !== own), requestId, ASKED_HOLDERS)
}

/**
 * Returns the holders that may know the origin of a stream. Those that are leaving may have been
 * active when it was written, and those that just joined may not have been members.
 *
 * @param holders - processes of one kind
 * @param requestId - id of the request that brought the first event
 * @param own - address of this process, which needs no call
 * @returns addresses
 */
export function holdersToAsk (holders: OriginHolders, requestId: string, own: string): readonly string[] {
  const others = chosenOf(holders).filter(({ address }) => address !== own)
  return [...new Set([...rank(others.filter(({ isActive }) => isActive), requestId, ASKED_HOLDERS), ...rank(others, requestId, ASKED_HOLDERS)])]
}

// All processes choose the same members, so that a stream has the same holders everywhere.
function chosenOf (holders: OriginHolders): readonly OriginHolder[] {
  holders.chosen ??= [...holders.members.values()].sort((a, b) => a.hash - b.hash || (a.address < b.address ? -1 : 1)).slice(0, MAX_HOLDERS)
  return holders.chosen
}

function rank (holders: readonly OriginHolder[], requestId: string, count: number): string[] {
  const requestHash = hashText(requestId)
  const scored = holders.map(({ address, hash }) => ({ address, score: mixBits(requestHash ^ hash) }))
  scored.sort((a, b) => b.score - a.score)
  return scored.slice(0, count).map(({ address }) => address)
}
