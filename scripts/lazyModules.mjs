// Defers the evaluation of modules that a process needs only once it talks to peers: HTTP/2, Connect and the
// message descriptions. Peers call later than callers connect, so the start does without them.
import { readdirSync, readFileSync } from 'node:fs'
import { basename, join } from 'node:path'

const TRANSPORT = 'packages/bendfall-node/src/transport'
const MESSAGES = 'packages/bendfall-protocol/src/gen/bendfall/v1'

/**
 * Functions and classes of modules of the transport that are evaluated at their first call. Users don't
 * extend the classes, and don't test objects for them.
 */
const CALLED = {
  BendfallNodePeerSessions: { functions: ['createPeerSessions'], classes: [] },
  BendfallNodeSessionManager: { functions: [], classes: ['AnsweringSessionManager'] },
  BendfallNodeUnaryClient: { functions: ['callUnary'], classes: [] },
  BendfallNodeUnaryServer: { functions: ['serveUnary'], classes: [] }
}

/** Modules that import the stand-ins; those of the transport that no process of the bundle uses import the originals. */
const USERS = /\/bendfall-edge\/src\/|\/transport\/(index|BendfallNodePeerListener)\.ts$/

function deferredCalls (file, { classes, functions }) {
  const load = `require(${JSON.stringify(file)})`
  return [
    ...functions.map((name) => `export function ${name} (...args) { return ${load}.${name}(...args) }`),
    ...classes.map((name) => `export function ${name} (...args) { return new (${load}.${name})(...args) }`)
  ].join('\n')
}

/** Only the methods of a service's description are read. */
function deferredServices (folder) {
  return readdirSync(folder).flatMap((name) => {
    const file = join(folder, name)
    const services = readFileSync(file, 'utf8').matchAll(/^export const (\w+): GenService</gm)
    return [...services].map(([, service]) => `export const ${service} = { get method () { return require(${JSON.stringify(file)}).${service}.method } }`)
  }).join('\n')
}

/**
 * Returns a plugin that puts a stand-in with the same exports before each module. Importing a name that the
 * stand-in lacks fails the build.
 *
 * @param root - folder of the repository
 * @returns plugin of the bundler; goes before those that resolve the same modules
 */
export function lazyModules (root) {
  const standIns = new Map(Object.entries(CALLED).map(([name, names]) => [name, deferredCalls(join(root, TRANSPORT, `${name}.ts`), names)]))
  standIns.set('bendfall-protocol', deferredServices(join(root, MESSAGES)))
  return {
    name: 'lazy-modules',
    setup (bundler) {
      bundler.onResolve({ filter: /^(bendfall-protocol|\.\/BendfallNode\w+\.js)$/ }, ({ importer, path }) => {
        const name = basename(path, '.js')
        return standIns.has(name) && USERS.test(importer) ? { path: name, namespace: 'deferred', sideEffects: false } : undefined
      })
      // As other plugins resolve these files: the bundler's own resolver adds 'use strict', and which of the two
      // comes first differs from build to build.
      bundler.onResolve({ filter: /^\//, namespace: 'deferred' }, ({ path }) => ({ path, sideEffects: false }))
      bundler.onLoad({ filter: /.*/, namespace: 'deferred' }, ({ path }) => ({ contents: standIns.get(path), resolveDir: root }))
    }
  }
}
