// Replaces modules of libraries by the parts that the processes use, since a process loads the whole bundle
// before it serves, which matters on small instances.

/** Replacements for the index modules of libraries, with only the exports that the processes use. */
const USED_PARTS = {
  undici: `
    export { default as Agent } from 'undici/lib/dispatcher/agent.js'
    export { default as Client } from 'undici/lib/dispatcher/client.js'
    export { default as buildConnector } from 'undici/lib/core/connect.js'`,
  'hdr-histogram-js': "export { build } from 'hdr-histogram-js/dist/HistogramBuilder.js'"
}

/** Replacements for modules that a library requires, by library and by path as it requires them. */
const REPLACED = {
  undici: {
    // Only for TLS connections that negotiated HTTP/2; the processes connect without TLS.
    './client-h2.js': "module.exports = () => { throw new Error('HTTP/2 is not part of the bundle') }",
    // Used only where the engine of WebAssembly lacks SIMD.
    '../llhttp/llhttp-wasm.js': "throw new Error('the parser without SIMD is not part of the bundle')",
    'node:perf_hooks': 'module.exports = { performance }'
  },
  'hdr-histogram-js': {
    // Only for histograms in WebAssembly, which the processes don't build.
    './wasm': 'exports.webAssemblyAvailable = false'
  }
}

/**
 * Replacement for `node:assert` in all modules. To word a failed assertion without a message, the original parses the
 * source up to 2,500 bytes behind it. Without a whole expression there, as on the long lines of the bundle, it parses
 * the same text again and again until the stack overflows.
 */
const ASSERT = `
  class AssertionError extends Error {
    name = 'AssertionError'
    code = 'ERR_ASSERTION'
  }
  module.exports = function assert (value, message = 'assertion failed') {
    if (value) return
    throw message instanceof Error ? message : new AssertionError(message)
  }
  module.exports.ok = module.exports`

/** Plugin of the bundler. Importing a name that a replacement lacks fails the build. */
export const libraryParts = {
  name: 'library-parts',
  setup (bundler) {
    const root = bundler.initialOptions.absWorkingDir
    bundler.onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({ path, namespace: 'used-parts' }))
    bundler.onLoad({ filter: /.*/, namespace: 'used-parts' }, ({ path }) => ({ contents: USED_PARTS[path], resolveDir: root }))
    bundler.onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, () => ({ path: 'assert', namespace: 'assert' }))
    bundler.onLoad({ filter: /.*/, namespace: 'assert' }, () => ({ contents: ASSERT, loader: 'js' }))
    for (const [library, replaced] of Object.entries(REPLACED)) {
      const namespace = `parts-of-${library}`
      bundler.onResolve({ filter: /^(node:|\.)/ }, ({ importer, path }) => importer.includes(`/node_modules/${library}/`) && Object.hasOwn(replaced, path) ? { path, namespace } : undefined)
      bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({ contents: replaced[path], loader: 'js', resolveDir: root }))
    }
  }
}
