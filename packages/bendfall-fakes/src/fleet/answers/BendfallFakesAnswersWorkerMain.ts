/**
 * Thread of scripted replicas.
 *
 * @module
 */
import { parentPort, workerData } from 'node:worker_threads'
import type { FleetPlan } from './BendfallFakesAnswersFleet.js'
import { startAnswersFleet } from './BendfallFakesAnswersFleet.js'

const fleet = await startAnswersFleet(workerData as FleetPlan)
parentPort?.on('message', () => {
  fleet.truth().then((truth) => parentPort?.postMessage(truth), (error: unknown) => { throw error })
})
parentPort?.postMessage(fleet.addresses)
