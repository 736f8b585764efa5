/**
 * Decode side of the model engine stand-in: imports KV caches into limited
 * memory and streams tokens. The tokens depend on the prompt only, so that tests
 * can compute the expected output.
 *
 * @module
 */
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { createHttpExchanger } from 'bendfall-platform'
import type { HttpExchanger } from 'bendfall-platform'
import type { EngineDecode, EngineImport } from 'bendfall-upstream'
import type { EngineContext } from './BendfallFakesEngine.js'
import type { OpenAttempt } from './BendfallFakesEngineLedger.js'
import type { Exchange, JsonReply, Routes } from './BendfallFakesServer.js'

const SOURCE_IDLE_MS = 60_000
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const TOKEN_BASE = 36

type SourceEnd = Awaited<ReturnType<HttpExchanger['sendForLines']>>

/**
 * Computes the output of the stand-in for a prompt, after any tokens that were
 * already sent.
 *
 * @param prompt - prompt of the request
 * @param count - number of tokens of the complete output
 * @param resumeTokens - tokens already sent; each token depends on the one before it
 * @returns the tokens that follow `resumeTokens`
 */
export function expectedTokens (prompt: string, count: number, resumeTokens: readonly string[] = []): string[] {
  const tokens = [...resumeTokens]
  while (tokens.length < count) {
    tokens.push(`${hash(`${prompt}|${tokens.length}|${tokens.at(-1) ?? ''}`).toString(TOKEN_BASE)} `)
  }
  return tokens.slice(resumeTokens.length)
}

/**
 * Creates the decode side of an engine.
 *
 * @param context - state shared with the prefill side
 * @returns its routes
 */
export function createEngineDecodeSide (context: EngineContext): Routes {
  const { options, ledger, faults } = context

  async function importKv (exchange: Exchange): Promise<JsonReply | undefined> {
    const request = exchange.json<EngineImport>()
    const held = ledger.open(request, 'decode')
    if (held === undefined) return importFailure('cancelled or running', false)
    context.bindConnection(exchange, held)
    if (!ledger.allocate(held, request.kvBytes)) {
      ledger.release(held)
      return importFailure('memory full', false)
    }
    if (faults.consume('stall_transfer', exchange.path) !== undefined) await once(held.controller.signal, 'abort')
    const http = createHttpExchanger({ origin: new URL(request.exportUrl).origin })
    const end = await http.sendForLines(
      { method: 'GET', path: new URL(request.exportUrl).pathname, timeoutMs: SOURCE_IDLE_MS, signal: held.controller.signal },
      createLineHandler(exchange, held))
    await http.close()
    return finishImport(held, end)
  }

  function createLineHandler (exchange: Exchange, held: OpenAttempt): (line: string) => void {
    return (text) => {
      const line = JSON.parse(text) as { readonly type: string }
      if (line.type === 'progress') exchange.writeLine(line)
      held.imported = line.type === 'done'
    }
  }

  async function finishImport (held: OpenAttempt, end: SourceEnd): Promise<JsonReply | undefined> {
    if (held.imported) return { body: { type: 'done' } }
    ledger.release(held)
    if (end.isErr()) return importFailure(end.error.detail, end.error.kind === 'broken')
    return importFailure('source holds no cache', end.value !== 200)
  }

  async function decode (exchange: Exchange): Promise<JsonReply | undefined> {
    const request = exchange.json<EngineDecode>()
    const held = ledger.find(request, 'decode')
    if (held?.imported !== true) return { body: { type: 'failed', detail: 'no imported cache' } }
    context.bindConnection(exchange, held)
    const newTokens = request.maxOutputTokens - request.resumeTokens.length
    if (!ledger.allocate(held, newTokens * options.kvBytesPerToken)) {
      ledger.release(held)
      return { body: { type: 'failed', detail: 'memory full' } }
    }
    try {
      await streamTokens(exchange, request, held.controller.signal)
      return { body: { type: 'finished', tokenCount: request.maxOutputTokens } }
    } catch {
      return { body: { type: 'failed', detail: 'cancelled' } }
    } finally {
      ledger.release(held)
    }
  }

  async function streamTokens (exchange: Exchange, request: EngineDecode, signal: AbortSignal): Promise<void> {
    const tokens = expectedTokens(request.prompt, request.maxOutputTokens, request.resumeTokens)
    for (let start = 0; start < tokens.length; start += options.tokensPerStep) {
      await sleep(options.stepMs, undefined, { signal })
      exchange.writeLine({ type: 'tokens', index: request.resumeTokens.length + start, tokens: tokens.slice(start, start + options.tokensPerStep) })
      if (faults.consume('crash_decode', exchange.path) !== undefined) context.crash()
    }
  }

  return { 'POST /imports': importKv, 'POST /decode': decode }
}

function importFailure (detail: string, kvLost: boolean): JsonReply {
  return { body: { type: 'failed', kvLost, detail } }
}

function hash (text: string): number {
  let value = FNV_OFFSET
  for (let position = 0; position < text.length; position += 1) {
    value = Math.imul(value ^ text.charCodeAt(position), FNV_PRIME)
  }
  return value >>> 0
}
