/**
 * Entry point of the worker thread that runs scripted replicas.
 *
 * @module
 */
import { parentPort, workerData } from 'node:worker_threads'
import type { FleetPlan } from './BendfallFakesAnswersFleet.js'
import { startAnswersFleet } from './BendfallFakesAnswersFleet.js'

function rethrow (error: unknown): never {
  throw error
}

const fleet = await startAnswersFleet(workerData as FleetPlan)
parentPort?.on('message', (command: 'close' | 'truth') => {
  if (command === 'truth') fleet.truth().then((truth) => parentPort?.postMessage(truth), rethrow)
  else fleet.close().then(() => parentPort?.close(), rethrow)
})
parentPort?.postMessage(fleet.addresses)
