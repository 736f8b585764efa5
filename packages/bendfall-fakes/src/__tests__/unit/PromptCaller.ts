import { request as httpRequest } from 'node:http'
import { CALLERS_PORT } from './CrashHarness.js'
import type { CrashEntry } from './CrashHarness.js'

/** A request with a prompt. */
export interface PromptCall {
  readonly id: string
  readonly host: string
  readonly promptTokens: number
  /** Ids of the parts of the prompt; absent: the caller names none. */
  readonly partIds?: readonly string[]
}

/** Outcome of a request with a prompt. */
export interface PromptOutcome {
  /** Whether the first event of the stream arrived. */
  readonly hasBegun: boolean
  readonly text: string
}

const OUTPUT_TOKENS = 80
const DEADLINE_MS = 3_000

/** Sends a request with a prompt to an entry, over a connection of its own. */
export function callWithPrompt ({ host: address }: Pick<CrashEntry, 'host'>, { host, id, partIds = [], promptTokens }: PromptCall): Promise<PromptOutcome> {
  const partTokens = Math.round(promptTokens / Math.max(1, partIds.length))
  const headers = {
    host,
    'x-request-id': id,
    'x-deadline-ms': String(DEADLINE_MS),
    'x-token-counts': `${promptTokens},${OUTPUT_TOKENS}`,
    ...(partIds.length === 0 ? {} : { 'x-prompt-prefix': partIds.map((part) => `${part}:${partTokens}`).join(',') })
  }
  return new Promise((resolve) => {
    let text = ''
    const request = httpRequest({ host: address, port: CALLERS_PORT, path: '/brief/1', method: 'POST', agent: false, headers }, (response) => {
      response.on('data', (chunk) => { text += chunk })
      response.once('error', () => {})
      response.once('close', () => resolve({ hasBegun: response.statusCode === 200 && text.includes('id: 1'), text }))
    })
    request.once('error', () => resolve({ hasBegun: false, text }))
    request.end(id)
  })
}
