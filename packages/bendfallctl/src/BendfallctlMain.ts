#!/usr/bin/env node
/**
 * Binary of the operators command line.
 *
 * @module
 */
import { defineCommand, runMain } from 'citty'
import { crashesClearCommand, crashesCommand } from './BendfallctlCrashesCommands.js'
import { explainCommand } from './BendfallctlExplainCommand.js'
import { confirmCommand, planCommand } from './BendfallctlPlanCommands.js'
import { poolsConfirmCommand, poolsPlanCommand } from './BendfallctlPoolsCommands.js'
import { checkCommand, drainCommand, statusCommand, timelineCommand } from './BendfallctlProcessCommands.js'

const main = defineCommand({
  meta: { name: 'bendfallctl', description: 'Plans and confirms intents, and shows what bendfall does' },
  subCommands: {
    check: checkCommand,
    confirm: confirmCommand,
    crashes: crashesCommand,
    'crashes-clear': crashesClearCommand,
    drain: drainCommand,
    explain: explainCommand,
    plan: planCommand,
    'pools-confirm': poolsConfirmCommand,
    'pools-plan': poolsPlanCommand,
    status: statusCommand,
    timeline: timelineCommand
  }
})

await runMain(main)
