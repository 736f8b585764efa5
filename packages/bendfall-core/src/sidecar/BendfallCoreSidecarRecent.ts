/**
 * A map that forgets on its own: entries stay for one to two windows. It needs
 * no timer, and a write costs the same however many entries there are.
 *
 * @module
 */
import { Map } from 'immutable'

/** Entries of the present window and of the one before. */
export interface Recent<V> {
  readonly present: Map<string, V>
  readonly former: Map<string, V>
  readonly sinceMs: number
}

/**
 * Makes an empty map.
 *
 * @returns the map
 */
export function createRecent<V> (): Recent<V> {
  return { present: Map(), former: Map(), sinceMs: 0 }
}

/**
 * Writes an entry.
 *
 * @param recent - the map
 * @param key - key of the entry
 * @param value - value of the entry
 * @param atMs - monotonic time
 * @param windowMs - shortest time for which the entry stays
 * @returns the map with the entry
 */
export function putRecent<V> (recent: Recent<V>, key: string, value: V, atMs: number, windowMs: number): Recent<V> {
  const turned = turnWindow(recent, atMs, windowMs)
  return { ...turned, present: turned.present.set(key, value) }
}

/**
 * Reads an entry.
 *
 * @param recent - the map
 * @param key - key of the entry
 * @returns the value, undefined when there is none or it was forgotten
 */
export function getRecent<V> (recent: Recent<V>, key: string): V | undefined {
  return recent.present.get(key) ?? recent.former.get(key)
}

function turnWindow<V> (recent: Recent<V>, atMs: number, windowMs: number): Recent<V> {
  if (atMs - recent.sinceMs < windowMs) return recent
  return { present: Map(), former: recent.present, sinceMs: atMs }
}
