/**
 * Runs the bundled service from a script file with a V8 code cache, which saves the compilation of
 * the functions that a start needs. A cache that is missing, damaged or made for another version or
 * other options of Node.js is left out.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { Script } from 'node:vm'
import { withDefaultFlags } from './BendfallEngineFlags.js'

/** Length of the digest at the start of a cache file. */
const DIGEST_BYTES = 32

/** Why a cache was not used. */
export type CodeCacheFault = 'missing' | 'damaged' | 'rejected'

/** A compiled bundle. */
export interface CompiledBundle {
  readonly script: Script
  /** Absent if the cache was used, or none was asked for. */
  readonly fault?: CodeCacheFault
}

/**
 * Compiles a bundle, with a code cache if there is one that matches.
 *
 * @param bundlePath - absolute path of the script, in ASCII, whose value is a function of `require`, `module` and `exports`
 * @param cachePath - path of a file made by {@link encodeCodeCache}; if absent, no cache is used
 * @returns the script, and why the cache was not used
 */
export function compileBundle (bundlePath: string, cachePath?: string): CompiledBundle {
  const source = readFileSync(bundlePath)
  // The bundler escapes all other characters, and a string of one byte for each takes half of the memory.
  const text = source.toString('latin1')
  if (cachePath === undefined) return { script: new Script(text, { filename: bundlePath }) }
  const cachedData = readCodeCache(source, cachePath)
  if (typeof cachedData === 'string') return { script: new Script(text, { filename: bundlePath }), fault: cachedData }
  const script = new Script(text, { filename: bundlePath, cachedData })
  return script.cachedDataRejected === true ? { script, fault: 'rejected' } : { script }
}

/**
 * Runs a compiled bundle.
 *
 * @param script - from {@link compileBundle}
 * @param bundlePath - absolute path of the bundle, from which it resolves built-in modules
 */
export function runBundle (script: Script, bundlePath: string): void {
  const module = { exports: {} }
  script.runInThisContext()(withDefaultFlags(createRequire(bundlePath)), module, module.exports)
}

/**
 * Returns the content of a cache file, which belongs to exactly one bundle.
 *
 * @param source - the bundle
 * @param data - code cache of its script
 * @returns digest of both, then the data
 */
export function encodeCodeCache (source: Buffer, data: Buffer): Buffer {
  return Buffer.concat([digestOf(source, data), data])
}

// V8 compares only its version, its options and the lengths; it crashes on damaged data.
function readCodeCache (source: Buffer, cachePath: string): Buffer | CodeCacheFault {
  let content: Buffer
  try {
    content = readFileSync(cachePath)
  } catch {
    return 'missing'
  }
  const data = content.subarray(DIGEST_BYTES)
  return digestOf(source, data).equals(content.subarray(0, DIGEST_BYTES)) ? data : 'damaged'
}

function digestOf (source: Buffer, data: Buffer): Buffer {
  return createHash('sha256').update(source).update(data).digest()
}
