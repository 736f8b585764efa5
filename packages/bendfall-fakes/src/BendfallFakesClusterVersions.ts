/**
 * Samples the configuration versions of all processes of a cluster, to detect
 * processes that return to an older version.
 *
 * @module
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster } from './BendfallFakesCluster.js'

const SAMPLE_INTERVAL_MS = 20

/** Result of the sampling. */
export interface VersionReport {
  readonly samples: number
  /** Each case in which a process returned to a version older than its own or than the one in force everywhere. */
  readonly regressions: readonly string[]
}

/** A running sampling. */
export interface VersionWatch {
  readonly stop: () => Promise<VersionReport>
}

/**
 * Samples until stopped. The version of a process must never decrease. A new
 * process has no version at first; any version that it then reports must not be
 * lower than the one that was in force everywhere before the sample was requested.
 *
 * @param cluster - a running cluster
 * @returns the running sampling
 */
export function watchVersions (cluster: Cluster): VersionWatch {
  const highest = new Map<number, number>()
  const latest = new Map<string, number>()
  const regressions: string[] = []
  let inForceEverywhere = 0
  let samples = 0
  const stopped = new AbortController()
  const endSignal = AbortSignal.any([cluster.ended, stopped.signal])

  function recordSample (instanceId: string, pid: number, version: number, floor: number): void {
    const previous = highest.get(pid) ?? 0
    samples += 1
    if (version < previous) regressions.push(`${instanceId}: version ${version} after ${previous}`)
    if (version > 0 && version < floor) regressions.push(`${instanceId}: version ${version}, although ${floor} was in force everywhere`)
    highest.set(pid, Math.max(previous, version))
    latest.set(instanceId, version)
    if (latest.size === cluster.instanceIds.length) inForceEverywhere = Math.max(inForceEverywhere, Math.min(...latest.values()))
  }

  async function sampleOne (instanceId: string): Promise<void> {
    while (!endSignal.aborted) {
      const floor = inForceEverywhere
      const { pid } = cluster.node(instanceId).process
      const version = await cluster.configVersion(instanceId).catch(() => undefined)
      const isSameProcess = cluster.node(instanceId).process.pid === pid
      if (version !== undefined && isSameProcess) recordSample(instanceId, pid, version, floor)
      await sleep(SAMPLE_INTERVAL_MS)
    }
  }

  const sampling = Promise.all(cluster.instanceIds.map(sampleOne))
  return {
    stop: async () => {
      stopped.abort()
      await sampling
      return { samples, regressions }
    }
  }
}
