/**
 * Build step that runs one role of the bundled service until the build closes its channel, and writes the
 * code cache of its script, which then includes the functions that were called until then. It sends a
 * message when the role has started. The build starts it with the role's options of Node.js, since V8 accepts a cache only with the options that it
 * was made with, except those that limit memory. Arguments: role, path of the bundle, path of the cache.
 *
 * @module
 */
import './BendfallDefaultFlags.js'
import { readFileSync, writeFileSync } from 'node:fs'
import { compileBundle, encodeCodeCache, runBundle } from './BendfallCodeCache.js'

/** Longest time for a start and the requests after it; the cache then has what was compiled until then. */
const MAX_RUN_MS = 10_000

const EXIT_NOT_STARTED = 1

const [bundlePath, cachePath] = process.argv.splice(3)
if (bundlePath === undefined || cachePath === undefined) throw new Error('expected a role, a bundle and a cache')
const { script } = compileBundle(bundlePath)
let isStarted = false
// The log is not shown: warnings are expected, since replicas are not all ready before the role starts. A
// role that can't start writes to the error output.
process.stdout.write = (chunk: string | Uint8Array) => {
  if (chunk.toString().includes('event=started')) {
    isStarted = true
    process.send?.('started')
  }
  return true
}
process.on('exit', () => writeFileSync(cachePath, encodeCodeCache(readFileSync(bundlePath), script.createCachedData())))
const exit = (): never => process.exit(isStarted ? 0 : EXIT_NOT_STARTED)
process.once('disconnect', exit)
setTimeout(exit, MAX_RUN_MS).unref()
runBundle(script, bundlePath)
