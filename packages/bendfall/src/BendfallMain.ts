#!/usr/bin/env node
/**
 * Command line of the service: runs one role, or checks a settings file.
 *
 * @module
 */
import { defineCommand, runMain } from 'citty'
import { runRole } from './BendfallRole.js'
import { loadSettings, PROCESS_OUTPUT } from './BendfallSettingsFile.js'

const SETTINGS_ARG = { settings: { type: 'string', description: 'settings file', required: true } } as const

const entry = defineCommand({
  meta: { name: 'entry', description: 'Serve callers' },
  args: SETTINGS_ARG,
  run: async ({ args }) => await runRole('entry', args.settings, PROCESS_OUTPUT)
})

const sidecar = defineCommand({
  meta: { name: 'sidecar', description: 'Control access to the upstream of this instance' },
  args: SETTINGS_ARG,
  run: async ({ args }) => await runRole('sidecar', args.settings, PROCESS_OUTPUT)
})

const check = defineCommand({
  meta: { name: 'check', description: 'Check a settings file and report every finding' },
  args: { file: { type: 'positional', description: 'settings file', required: true } },
  run: async ({ args }) => {
    const settings = await loadSettings(args.file, undefined, PROCESS_OUTPUT)
    if (settings !== undefined) process.stdout.write(`${args.file}: no findings\n`)
  }
})

const main = defineCommand({
  meta: { name: 'bendfall', description: 'Router for separate prefill and decode pools of language models' },
  subCommands: { check, entry, sidecar }
})

await runMain(main)
