// Bundles the service for the users' platform into one file under target/. The bundler reads the
// TypeScript sources of the workspace, so that no compiler run is needed.
import { existsSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const ROOT = new URL('..', import.meta.url).pathname

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
 * Replacements for the index modules of libraries, with only the exports that the processes use.
 * A process parses and evaluates the whole bundle before it serves, which matters on small instances.
 */
const USED_PARTS = {
  undici: `
    export { default as Agent } from 'undici/lib/dispatcher/agent.js'
    export { default as Client } from 'undici/lib/dispatcher/client.js'
    export { default as buildConnector } from 'undici/lib/core/connect.js'`,
  'hdr-histogram-js': "export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js'"
}

/** Substitutes {@link USED_PARTS} for the libraries. Importing a name that they lack fails the build. */
const usedParts = {
  name: 'used-parts',
  setup (bundler) {
    bundler.onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({ path, namespace: 'used-parts' }))
    bundler.onLoad({ filter: /.*/, namespace: 'used-parts' }, ({ path }) => ({ contents: USED_PARTS[path], resolveDir: ROOT }))
  }
}

await build({
  absWorkingDir: ROOT,
  entryPoints: ['packages/bendfall/src/BendfallPlatformMain.ts'],
  outfile: 'target/bendfall.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Each process parses the whole bundle at start-up.
  minifyWhitespace: true,
  sourcemap: 'linked',
  plugins: [workspaceSources, usedParts],
  // Some dependencies are CommonJS modules that call require() for built-in modules of Node.js.
  banner: { js: "import { createRequire as bendfallRequire } from 'node:module'; const require = bendfallRequire(import.meta.url);" },
  logLevel: 'warning'
})
