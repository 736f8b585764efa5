// Compiles validators of JSON schemas at build time, and substitutes them for the compiler in the bundle.
import { mkdtempSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'

const VALIDATOR_MODULE = 'packages/bendfall-node/src/settings/BendfallNodeValidator.ts'
const FORMATS_MODULE = 'packages/bendfall-node/src/settings/BendfallNodeFormats.ts'

/** Exports what the validators are made from, so that the build uses the schemas and options of the source. */
const GENERATOR = `
  export { STARTUP_SCHEMAS } from './packages/bendfall-edge/src/BendfallEdgeSchemas.ts'
  export { VALIDATOR_OPTIONS } from './${VALIDATOR_MODULE}'
  export { compileStandalone } from 'compile-standalone'`

const COMPILE_STANDALONE = `
  import { _, Ajv } from 'ajv'
  import standaloneCode from 'ajv/dist/standalone/index.js'
  export function compileStandalone (schema, options, formatsModule) {
    const ajv = new Ajv({ ...options, code: { source: true, formats: _\`require(\${formatsModule}).ACCEPTED_FORMATS\` } })
    return (standaloneCode.default ?? standaloneCode)(ajv, ajv.compile(schema))
  }`

/**
 * Compiles the validators.
 *
 * @param root - folder of the repository
 * @param outDir - existing folder for temporary files
 * @param plugins - plugins that resolve the packages of the workspace
 * @returns schemas as JSON, with the source of their validators
 */
async function compileValidators (root, outDir, plugins) {
  const directory = mkdtempSync(join(outDir, 'schemas-'))
  const outfile = join(directory, 'schemas.mjs')
  const fromAjv = {
    name: 'compile-standalone',
    setup (bundler) {
      bundler.onResolve({ filter: /^compile-standalone$/ }, ({ path }) => ({ path, namespace: 'validators' }))
      bundler.onLoad({ filter: /.*/, namespace: 'validators' }, () => ({ contents: COMPILE_STANDALONE, resolveDir: join(root, 'packages', 'bendfall-node') }))
    }
  }
  try {
    const banner = { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
    await build({ absWorkingDir: root, stdin: { contents: GENERATOR, resolveDir: root }, outfile, bundle: true, platform: 'node', target: 'node20', format: 'esm', plugins: [...plugins, fromAjv], banner, logLevel: 'warning' })
    const { compileStandalone, STARTUP_SCHEMAS, VALIDATOR_OPTIONS } = await import(pathToFileURL(outfile))
    return STARTUP_SCHEMAS.map((schema) => ({ json: JSON.stringify(schema), source: compileStandalone(schema, VALIDATOR_OPTIONS, join(root, FORMATS_MODULE)) }))
  } finally {
    rmSync(directory, { recursive: true })
  }
}

/**
 * Returns a plugin that looks validators up by their schema. For other schemas the compiler stays in the
 * bundle; it is evaluated when it is first needed.
 *
 * @param root - folder of the repository
 * @param outDir - existing folder for temporary files
 * @param plugins - plugins that resolve the packages of the workspace
 * @returns plugin of the bundler
 */
export async function compiledValidators (root, outDir, plugins) {
  const validators = await compileValidators(root, outDir, plugins)
  const original = join(root, VALIDATOR_MODULE)
  const lookup = `
    const VALIDATORS = new Map([${validators.map(({ json }, index) => `[${JSON.stringify(json)}, () => require('validator:${index}')]`).join(', ')}])
    export function compileValidator (schema) {
      return VALIDATORS.get(JSON.stringify(schema))?.() ?? require(${JSON.stringify(original)}).compileValidator(schema)
    }`
  const resolveDir = join(root, 'packages', 'bendfall-node')
  return {
    name: 'compiled-validators',
    setup (bundler) {
      bundler.onResolve({ filter: /BendfallNodeValidator\.js$/ }, ({ path }) => ({ path, namespace: 'validators', sideEffects: false }))
      bundler.onResolve({ filter: /^validator:\d+$/ }, ({ path }) => ({ path, namespace: 'validators' }))
      bundler.onLoad({ filter: /.*/, namespace: 'validators' }, ({ path }) => {
        const index = /^validator:(\d+)$/.exec(path)?.[1]
        return { contents: index === undefined ? lookup : validators[index].source, resolveDir }
      })
    }
  }
}
