// Bundles the service for the users' platform into one file under target/.
import { build } from 'esbuild'

await build({
  entryPoints: ['packages/bendfall/src/BendfallPlatformMain.ts'],
  outfile: 'target/bendfall.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  // Some dependencies are CommonJS and ask for Node's own modules.
  banner: { js: "import { createRequire as bendfallRequire } from 'node:module'; const require = bendfallRequire(import.meta.url);" },
  logLevel: 'warning'
})
