/**
 * First module of the bundled service: runs the bundle beside it with the code cache of its role.
 *
 * @module
 */
import './BendfallDefaultFlags.js'
import { fileURLToPath } from 'node:url'
import { limitWasmToBaseline } from './BendfallEngineFlags.js'
import { compileBundle, runBundle } from './BendfallCodeCache.js'

/** Roles with a code cache; other commands end soon, and run with other options of Node.js. */
const CACHED_ROLES: readonly (string | undefined)[] = ['entry', 'sidecar']

const bundlePath = fileURLToPath(new URL('./bendfallService.cjs', import.meta.url))
const role = process.argv[2]
const cachePath = CACHED_ROLES.includes(role) ? fileURLToPath(new URL(`./bendfallService.${role}.cache`, import.meta.url)) : undefined
const { fault, script } = compileBundle(bundlePath, cachePath)
if (fault !== undefined) process.stdout.write(`time=${new Date().toISOString()} level=warn event=code_cache_unused role=${role} reason=${fault}\n`)
limitWasmToBaseline()
runBundle(script, bundlePath)
