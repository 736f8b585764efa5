// Bundles the service for the users' platform under target/: a loader, one script, and a code cache of
// the script for each role. The bundler reads the TypeScript sources of the workspace, so that no compiler
// run is needed. The folder may be given as an argument.
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'
import { dirname, join, relative, resolve } from 'node:path'
import { build } from 'esbuild'
import { parse } from 'smol-toml'
import { compiledValidators } from './compiledValidators.mjs'
import { lazyModules } from './lazyModules.mjs'
import { libraryParts } from './libraryParts.mjs'
import { runWarmUp } from './warmUp.mjs'

const ROOT = new URL('..', import.meta.url).pathname
const OUT_DIR = resolve(process.argv[2] ?? join(ROOT, 'target'))
const BUNDLE = join(OUT_DIR, 'bendfallService.cjs')
const WORKSPACE_SOURCE = /^(packages\/[^/]+|platform)\/src\//

/** Resolves packages of this workspace to their TypeScript sources. */
const workspaceSources = {
  name: 'workspace-sources',
  setup (bundler) {
    bundler.onResolve({ filter: /^bendfall[a-z-]*$/ }, ({ path }) => {
      const folder = path === 'bendfall-platform-adapter' ? 'platform' : join('packages', path)
      const file = join(ROOT, folder, 'src', 'index.ts')
      return existsSync(file) ? { path: file } : undefined
    })
  }
}

/**
 * Modules of this workspace only define things, except the main modules, which nothing imports. So those
 * that the processes don't use are left out, with the libraries that only they import.
 */
const unusedModules = {
  name: 'unused-modules',
  setup (bundler) {
    bundler.onResolve({ filter: /^\.\.?\/.*\.js$/ }, ({ importer, path }) => {
      const file = join(dirname(importer), path.replace(/\.js$/, '.ts'))
      return WORKSPACE_SOURCE.test(relative(ROOT, importer)) && existsSync(file) ? { path: file, sideEffects: false } : undefined
    })
  }
}

/**
 * Loads modules of Node.js in the order of the imports. Static imports would load all of them first, before
 * the loader has restored the options of V8 with which their code cache is accepted.
 */
const orderedBuiltins = {
  name: 'ordered-builtins',
  setup (bundler) {
    bundler.onResolve({ filter: /^node:/ }, ({ kind, path }) => kind === 'import-statement' ? { path, namespace: 'builtins' } : undefined)
    bundler.onLoad({ filter: /.*/, namespace: 'builtins' }, ({ path }) => ({ contents: `module.exports = require(${JSON.stringify(path)})` }))
  }
}

const COMMON = {
  absWorkingDir: ROOT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifyWhitespace: true,
  plugins: [workspaceSources, unusedModules, libraryParts],
  logLevel: 'warning'
}

/**
 * Makes the code cache of each role, with the options of Node.js under which the deploy file runs it. Where
 * a role can't start or serve, its cache has less or is missing, and the role starts slower.
 */
async function makeCodeCaches () {
  const { roles } = parse(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
  const argsOf = Object.fromEntries(Object.entries(roles).map(([role, { run }]) => {
    const cachePath = join(OUT_DIR, `bendfallService.${role}.cache`)
    rmSync(cachePath, { force: true })
    return [role, [...run.split(' ').filter((word) => word.startsWith('--')), join(OUT_DIR, 'bendfallCodeCache.mjs'), role, BUNDLE, cachePath]]
  }))
  try {
    for (const gap of await runWarmUp(ROOT, OUT_DIR, argsOf)) console.warn(`bundle: the code caches are incomplete: ${gap}`)
  } catch (error) {
    console.warn(`bundle: the code caches are missing: ${error.message}`)
  }
}

mkdirSync(OUT_DIR, { recursive: true })
await Promise.all([
  build({
    ...COMMON,
    entryPoints: ['packages/bendfall/src/BendfallPlatformMain.ts'],
    outfile: BUNDLE,
    // A script, since V8 keeps code caches of scripts, and not of modules that Node.js loads itself.
    format: 'cjs',
    plugins: [await compiledValidators(ROOT, OUT_DIR, COMMON.plugins), lazyModules(ROOT), ...COMMON.plugins],
    banner: { js: '(function (require, module, exports) {' },
    footer: { js: '})' },
    sourcemap: 'linked'
  }),
  build({
    ...COMMON,
    entryPoints: { bendfall: 'packages/bendfall/src/BendfallLoaderMain.ts', bendfallCodeCache: 'packages/bendfall/src/BendfallCodeCacheMain.ts' },
    outdir: OUT_DIR,
    outExtension: { '.js': '.mjs' },
    format: 'esm',
    plugins: [orderedBuiltins],
    banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
  })
])
await makeCodeCaches()
