/**
 * Entry point that runs one stand-in as a process:
 * `node dist/BendfallFakesMain.js KIND JSON_OPTIONS`.
 *
 * @module
 */
import { createEngineStandIn } from './BendfallFakesEngine.js'
import { createInstanceListStandIn } from './BendfallFakesInstances.js'
import { createKeyValueStandIn } from './BendfallFakesKeyValue.js'
import type { StandIn } from './BendfallFakesServer.js'
import { createServiceStandIn } from './BendfallFakesService.js'
import { createWeightStoreStandIn } from './BendfallFakesWeightStore.js'

const USAGE_EXIT_CODE = 2

const CREATORS: Readonly<Record<string, (options: object) => Promise<StandIn>>> = {
  engine: createEngineStandIn,
  instances: createInstanceListStandIn,
  'key-value': createKeyValueStandIn,
  service: createServiceStandIn,
  'weight-store': createWeightStoreStandIn
}

async function main (kind: string, optionsText: string): Promise<void> {
  const create = CREATORS[kind]
  if (create === undefined) {
    console.error(`event=usage kinds=${Object.keys(CREATORS).join(',')}`)
    process.exitCode = USAGE_EXIT_CODE
    return
  }
  const standIn = await create(JSON.parse(optionsText) as object)
  console.log(`event=listening kind=${kind} url=${standIn.url}`)
  const stop = (): void => { standIn.close().then(() => process.exit(0)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

await main(process.argv[2] ?? '', process.argv[3] ?? '{}')
