/**
 * Reads chat completion requests and turns them into language requests.
 *
 * @module
 */
import { createHash } from 'node:crypto'
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { SchemaObject } from 'ajv'
import type { Config, LanguageRequest, RequestId, TrafficClass } from 'bendfall-core'
import { checkDocument, parseDocument } from '../settings/BendfallNodeDocument.js'
import { formatFindings } from '../settings/BendfallNodeFinding.js'
import type { Finding } from '../settings/BendfallNodeFinding.js'
import { digestBody } from './BendfallNodeEdgeDigest.js'
import { badRequest } from './BendfallNodeEdgeHeaders.js'
import type { CallerHeaders } from './BendfallNodeEdgeHeaders.js'
import type { BadInput } from './BendfallNodeEdgeRefusal.js'

/** Path of chat completions. */
export const CHAT_PATH = '/v1/chat/completions'

/** Bytes of a prompt that make one token, by rule of thumb. */
export const BYTES_PER_TOKEN = 4

/** Longest output of callers that name none. */
export const DEFAULT_MAX_OUTPUT_TOKENS = 1_024

/** Longest output that a caller may ask for. */
export const MAX_OUTPUT_TOKENS = 65_536

/** Characters of a block of the prompt whose growing prefixes are hashed. */
export const PREFIX_BLOCK_CHARS = 1_024

// A longer prompt is told apart by its first blocks well enough.
const MAX_PREFIX_BLOCKS = 128
const PREFIX_HASH_CHARS = 16
const DEFAULT_CLASS: TrafficClass = 'interactive'
const BODY_NAME = 'body'
const MAX_TOLD_FINDINGS = 10

interface TextPart {
  readonly type: 'text'
  readonly text: string
}

interface ChatMessage {
  readonly role: string
  readonly content: string | readonly TextPart[]
}

/** Body of a chat completion request; other fields of the API are let through unread. */
export interface ChatBody {
  readonly model: string
  readonly messages: readonly ChatMessage[]
  readonly max_tokens?: number
  readonly max_completion_tokens?: number
  readonly stream: boolean
  readonly stream_options?: { readonly include_usage?: boolean }
}

const OUTPUT_TOKENS = { type: 'integer', minimum: 1, maximum: MAX_OUTPUT_TOKENS }
const TEXT_PART = {
  type: 'object',
  required: ['type', 'text'],
  properties: { type: { const: 'text' }, text: { type: 'string' } }
}

const CHAT_SCHEMA: SchemaObject = {
  type: 'object',
  required: ['model', 'messages'],
  properties: {
    model: { type: 'string', minLength: 1, maxLength: 256 },
    messages: {
      type: 'array',
      minItems: 1,
      items: {
        type: 'object',
        required: ['role', 'content'],
        properties: {
          role: { type: 'string', enum: ['system', 'developer', 'user', 'assistant', 'tool'] },
          content: { type: ['string', 'array'], items: TEXT_PART }
        }
      }
    },
    max_tokens: OUTPUT_TOKENS,
    max_completion_tokens: OUTPUT_TOKENS,
    stream: { type: 'boolean', default: false },
    stream_options: { type: 'object', properties: { include_usage: { type: 'boolean' } } }
  }
}

/**
 * Reads the body of a chat completion request.
 *
 * @param body - bytes of the body
 * @returns the body, or all that is wrong with it
 */
export function readChatBody (body: Buffer): Result<ChatBody, BadInput> {
  return parseDocument(body.toString('utf8'), BODY_NAME)
    .andThen((value) => checkDocument<ChatBody>(CHAT_SCHEMA, value, BODY_NAME))
    .mapErr((findings) => badRequest(formatFirst(findings)))
}

/** What a language request is made from. */
export interface ChatInput {
  readonly requestId: RequestId
  readonly headers: CallerHeaders
  readonly chat: ChatBody
  readonly body: Buffer
}

/**
 * Makes the language request of a chat completion.
 *
 * @param input - checked headers and body
 * @param config - configuration in force; without one the request has no wait
 * and is for the reducer to refuse
 * @returns the request, or a refusal when the model is not configured
 */
export function createLanguageRequest (input: ChatInput, config: Config | undefined): Result<LanguageRequest, BadInput> {
  const { body, chat, headers, requestId } = input
  if (config !== undefined && !Object.hasOwn(config.models, chat.model)) return Err(unknownModel(chat.model))
  const trafficClass = headers.trafficClass ?? DEFAULT_CLASS
  const prompt = chat.messages.map(formatMessage).join('')
  return Ok({
    requestId,
    clientId: headers.clientId,
    model: chat.model,
    trafficClass,
    prompt,
    promptTokens: countTokens(prompt),
    maxOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
    prefixHashes: hashPrefixes(chat.model, prompt),
    firstOutputMs: headers.deadlineMs ?? config?.classes[trafficClass].firstOutputMs ?? 0,
    idempotencyKey: headers.idempotencyKey,
    keyIssuedAtMs: headers.keyIssuedAtMs,
    bodyDigest: digestBody({ clientId: headers.clientId, method: 'POST', path: CHAT_PATH, body })
  })
}

/**
 * Estimates the number of tokens of a text.
 *
 * @param text - the text
 * @returns tokens, at least 1
 */
export function countTokens (text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN))
}

/**
 * Hashes the growing prefixes of a prompt, one for each whole block.
 *
 * @param model - model, whose caches are of no use to another
 * @param prompt - the prompt
 * @returns hashes from the shortest prefix to the longest
 */
export function hashPrefixes (model: string, prompt: string): string[] {
  const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS))
  const hash = createHash('sha256').update(`${model}\n`)
  return Array.from({ length: blocks }, (_, index) => {
    hash.update(prompt.slice(index * PREFIX_BLOCK_CHARS, (index + 1) * PREFIX_BLOCK_CHARS))
    return hash.copy().digest('hex').slice(0, PREFIX_HASH_CHARS)
  })
}

function formatFirst (findings: readonly Finding[]): string {
  const text = formatFindings(findings.slice(0, MAX_TOLD_FINDINGS))
  const untold = findings.length - MAX_TOLD_FINDINGS
  return untold > 0 ? `${text}\nand ${untold} more` : text
}

function formatMessage (message: ChatMessage): string {
  const { content, role } = message
  const text = typeof content === 'string' ? content : content.map((part) => part.text).join('')
  return `${role}: ${text}\n`
}

function unknownModel (model: string): BadInput {
  return { status: 404, reason: 'model_unknown', message: `no model ${JSON.stringify(model)} is configured` }
}
