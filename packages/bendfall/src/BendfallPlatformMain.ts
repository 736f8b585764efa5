#!/usr/bin/env node
/**
 * Command line of the service on the users' platform, where the path of the settings file
 * comes from an environment variable.
 *
 * @module
 */
import { defineCommand, runMain } from 'citty'
import { createLogOutput, createMetrics, createMetricsServer, readEdgeSettings, readPoolDocument, startEntry, startSidecar } from 'bendfall-edge'
import type { EdgeSettings, Metrics } from 'bendfall-edge'
import { createLogger, formatFindings } from 'bendfall-node'
import type { Logger } from 'bendfall-node'
import { confirmedIntent, digestPoolIntent } from 'bendfall-router'
import type { PoolIntent } from 'bendfall-router'
import { createPlatformKeyValue, PLATFORM_DIALECT, SETTINGS_VARIABLE } from 'bendfall-platform-adapter'
import { EXIT_FAILED } from './BendfallRole.js'
import { EXIT_FINDINGS } from './BendfallSettingsFile.js'

/** Ports of the metrics servers; the deploy file lists them too. */
const METRICS_PORTS = { entry: 9464, sidecar: 9465 } as const

/** The first of these signals starts the shutdown; later ones are ignored. */
const STOP_SIGNALS = ['SIGINT', 'SIGTERM'] as const

type RoleName = keyof typeof METRICS_PORTS

/** A started process of either role. */
interface RunningProcess {
  readonly stop: () => Promise<void>
  /** Aborts all open responses at once; absent for roles without callers. */
  readonly cutOpenResponses?: () => void
}

type Starter = (settings: EdgeSettings, logger: Logger, metrics: Metrics) => Promise<RunningProcess>

const STARTERS: Readonly<Record<RoleName, Starter>> = {
  entry: async (settings, logger, metrics) => {
    const keyValue = createPlatformKeyValue(settings.keyValueAddress, { onFault: (detail) => logger.warn('store_answer_refused', { detail }) })
    const poolIntent = await loadPoolIntent(settings, logger)
    const entry = await startEntry({ settings, logger, metrics, dialect: PLATFORM_DIALECT, keyValue, poolIntent })
    return {
      cutOpenResponses: entry.cutOpenResponses,
      stop: async () => {
        await entry.stop()
        await keyValue.close()
      }
    }
  },
  sidecar: (settings, logger, metrics) => startSidecar({ settings, logger, metrics, dialect: PLATFORM_DIALECT })
}

// Without a confirmed intent the pools are left as they are, and the entry starts all the same.
async function loadPoolIntent ({ poolsFile }: EdgeSettings, logger: Logger): Promise<PoolIntent | undefined> {
  if (poolsFile === undefined) return undefined
  const document = await readPoolDocument(poolsFile)
  if (document.isErr()) {
    logger.error('pools_unreadable', { findings: formatFindings(document.error) })
    return undefined
  }
  const intent = confirmedIntent(document.value)
  logger.info(intent === undefined ? 'pools_unconfirmed' : 'pools_confirmed', { ...document.value.intent, digest: digestPoolIntent(document.value.intent) })
  return intent
}

async function loadSettings (): Promise<EdgeSettings | undefined> {
  const path = process.env[SETTINGS_VARIABLE]
  if (path === undefined) {
    process.stderr.write(`bendfall: ${SETTINGS_VARIABLE} must hold the path of the settings file\n`)
    process.exitCode = EXIT_FINDINGS
    return undefined
  }
  const settings = await readEdgeSettings(path)
  if (settings.isOk()) return settings.value
  process.stderr.write(`${formatFindings(settings.error)}\n`)
  process.exitCode = EXIT_FINDINGS
  return undefined
}

async function run (role: RoleName): Promise<void> {
  const settings = await loadSettings()
  if (settings === undefined) return
  const output = createLogOutput(process.stdout)
  const logger = createLogger({ level: settings.log?.level ?? 'info', base: { instance: settings.instanceId }, write: output.write })
  const setRunning = registerShutdownHandlers(logger)
  const metrics = createMetrics()
  metrics.gauge('bendfall_log_lines_dropped_total', output.dropped)
  const metricsServer = createMetricsServer(metrics)
  // The process serves requests even if the metrics server can't listen.
  metricsServer.on('error', (error) => logger.error('metrics_unavailable', { error }))
  metricsServer.listen(METRICS_PORTS[role], settings.ip)
  setRunning(await STARTERS[role](settings, logger, metrics))
}

// When a process exits, the kernel closes its connections in an orderly way, so that a
// truncated close-delimited response looks complete: 30 of 30 did at the end of the grace
// period, and 30 of 30 after an error. So every exit that the process can observe first
// aborts the open responses.
function registerShutdownHandlers (logger: Logger): (started: RunningProcess) => void {
  let running: RunningProcess | undefined
  let isStopping = false
  process.on('exit', () => running?.cutOpenResponses?.())
  process.once('uncaughtException', (error) => {
    running?.cutOpenResponses?.()
    logger.error('process_failed', { error })
    process.exit(EXIT_FAILED)
  })
  process.on('SIGHUP', () => reload(logger))
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      if (isStopping) return
      isStopping = true
      stop(logger, running)
    })
  }
  return (started) => { running = started }
}

function stop (logger: Logger, running: RunningProcess | undefined): void {
  if (running === undefined) process.exit()
  running.stop().then(() => process.exit(), (error: unknown) => {
    logger.error('stop_failed', { error })
    process.exit(EXIT_FAILED)
  })
}

// Only validates the settings file: every setting belongs to the process's place on the
// platform, which does not change while it runs. What may change is in the configuration.
function reload (logger: Logger): void {
  readEdgeSettings(process.env[SETTINGS_VARIABLE] ?? '').then((settings) => {
    if (settings.isOk()) logger.info('reloaded', { instanceId: settings.value.instanceId })
    else logger.error('reload_refused', { findings: formatFindings(settings.error) })
  }, (error: unknown) => logger.error('reload_refused', { error }))
}

const command = (role: RoleName, description: string): ReturnType<typeof defineCommand> => defineCommand({
  meta: { name: role, description },
  run: async () => {
    try {
      await run(role)
    } catch (error) {
      process.stderr.write(`bendfall: ${(error as Error).message}\n`)
      process.exit(EXIT_FAILED)
    }
  }
})

const check = defineCommand({
  meta: { name: 'check', description: 'Check a settings file and report every finding' },
  run: async () => {
    if (await loadSettings() !== undefined) process.stdout.write('no findings\n')
  }
})

// Reports a failure itself. Not awaited: the bundle is a script.
runMain(defineCommand({
  meta: { name: 'bendfall', description: 'Router for separate prefill and decode pools of language models' },
  subCommands: { check, entry: command('entry', 'Serve callers'), sidecar: command('sidecar', 'Run the ledger of the replica on this instance') }
})).catch((error: unknown) => { throw error })
