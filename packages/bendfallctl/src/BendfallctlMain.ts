#!/usr/bin/env node
/**
 * Entry point of the operators' command line. Each command imports only the modules that it needs,
 * because start-up is most of a command's run time, especially on a machine with few processors.
 *
 * @module
 */
import { defineCommand, runMain } from 'citty'

const main = defineCommand({
  meta: { name: 'bendfallctl', description: 'Plans and confirms intents, and shows what bendfall does' },
  subCommands: {
    check: async () => (await import('./BendfallctlProcessCommands.js')).checkCommand,
    confirm: async () => (await import('./BendfallctlPlanCommands.js')).confirmCommand,
    crashes: async () => (await import('./BendfallctlCrashesCommands.js')).crashesCommand,
    'crashes-clear': async () => (await import('./BendfallctlCrashesCommands.js')).crashesClearCommand,
    drain: async () => (await import('./BendfallctlProcessCommands.js')).drainCommand,
    explain: async () => (await import('./BendfallctlExplainCommand.js')).explainCommand,
    plan: async () => (await import('./BendfallctlPlanCommands.js')).planCommand,
    'pools-confirm': async () => (await import('./BendfallctlPoolsCommands.js')).poolsConfirmCommand,
    'pools-plan': async () => (await import('./BendfallctlPoolsCommands.js')).poolsPlanCommand,
    status: async () => (await import('./BendfallctlProcessCommands.js')).statusCommand,
    timeline: async () => (await import('./BendfallctlProcessCommands.js')).timelineCommand
  }
})

await runMain(main)
