/**
 * Turns what the reducer emits for a request into what its caller sees. Each
 * kind of request has its own way; all send an end exactly once.
 *
 * @module
 */
import type { EffectOf, LanguageRequest, RequestEnd } from 'bendfall-core'
import type { ChatBody } from './BendfallNodeEdgeChat.js'
import type { Connection } from './BendfallNodeEdgeConnection.js'
import { refusalOfEnd } from './BendfallNodeEdgeRefusal.js'

/** Answer under way to one caller. */
export interface Answer {
  /** Takes output. False once the caller reads too slowly. */
  readonly takeTokens: (tokens: readonly string[]) => boolean
  /** Takes a whole answer; sent when the request ends as answered. */
  readonly takeWhole: (answer: EffectOf<'emit_answer'>) => void
  readonly end: (end: RequestEnd) => void
}

/** What the answer to a chat completion is made from. */
export interface ChatAnswerInput {
  readonly request: LanguageRequest
  readonly chat: ChatBody
  readonly wallMs: number
}

type FinishReason = 'stop' | 'length'

interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

const JSON_TYPE = 'application/json'
const REPLAYED_HEADER = { 'idempotency-replayed': 'true' }

/**
 * Makes the answer to a call of a plain service.
 *
 * @param connection - the caller's side
 * @returns the answer
 */
export function createServiceAnswer (connection: Connection): Answer {
  let whole: EffectOf<'emit_answer'> | undefined
  return {
    takeTokens: () => true,
    takeWhole: (answer) => { whole = answer },
    end: (end) => {
      if (end.outcome !== 'answered' || whole === undefined) return connection.refuse(refusalOfEnd(end))
      const { body, contentType, replayed, status } = whole
      connection.sendWhole({ status, contentType, body, headers: replayed ? REPLAYED_HEADER : {} })
    }
  }
}

/**
 * Makes the answer to a chat completion that is sent as one JSON document.
 *
 * @param connection - the caller's side
 * @param input - the request
 * @returns the answer
 */
export function createChatAnswer (connection: Connection, input: ChatAnswerInput): Answer {
  const tokens: string[] = []
  return {
    takeTokens: (more) => {
      for (const token of more) tokens.push(token)
      return true
    },
    takeWhole: ignoreWhole,
    end: (end) => {
      if (end.outcome !== 'answered') return connection.refuse(refusalOfEnd(end))
      const content = tokens.join('')
      const tokenCount = tokens.length
      const choice = { index: 0, message: { role: 'assistant', content }, finish_reason: finishReason(input.request, tokenCount) }
      const document = { ...commonFields(input, 'chat.completion'), choices: [choice], usage: usageOf(input.request, tokenCount) }
      const body = Buffer.from(JSON.stringify(document))
      connection.sendWhole({ status: 200, contentType: JSON_TYPE, body })
    }
  }
}

/**
 * Makes the answer to a chat completion that is sent as a stream of events.
 *
 * @param connection - the caller's side
 * @param input - the request
 * @returns the answer
 */
export function createChatStreamAnswer (connection: Connection, input: ChatAnswerInput): Answer {
  const common = commonFields(input, 'chat.completion.chunk')
  const pieceHead = `data: ${JSON.stringify(common).slice(0, -1)},"choices":[{"index":0,"delta":{"content":`
  const pieceTail = '},"finish_reason":null}]}\n\n'
  let tokenCount = 0

  function formatLastPieces (): string {
    const choice = { index: 0, delta: {}, finish_reason: finishReason(input.request, tokenCount) }
    const last = formatPiece({ ...common, choices: [choice] })
    if (input.chat.stream_options?.include_usage !== true) return last
    return last + formatPiece({ ...common, choices: [], usage: usageOf(input.request, tokenCount) })
  }

  return {
    takeTokens: (tokens) => {
      tokenCount += tokens.length
      return connection.sendPiece(`${pieceHead}${JSON.stringify(tokens.join(''))}${pieceTail}`)
    },
    takeWhole: ignoreWhole,
    end: (end) => {
      if (end.outcome !== 'answered') return connection.refuse(refusalOfEnd(end))
      connection.endStream(`${formatLastPieces()}data: [DONE]\n\n`)
    }
  }
}

function commonFields (input: ChatAnswerInput, object: string): { id: string, object: string, created: number, model: string } {
  const created = Math.floor(input.wallMs / 1000)
  return { id: `chatcmpl-${input.request.requestId}`, object, created, model: input.request.model }
}

function formatPiece (value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`
}

function finishReason (request: LanguageRequest, tokenCount: number): FinishReason {
  return tokenCount >= request.maxOutputTokens ? 'length' : 'stop'
}

function usageOf (request: LanguageRequest, tokenCount: number): Usage {
  const promptTokens = request.promptTokens
  return { prompt_tokens: promptTokens, completion_tokens: tokenCount, total_tokens: promptTokens + tokenCount }
}

// Language requests are answered by tokens, also when an answer is replayed.
function ignoreWhole (): void {}
