/**
 * Determines what requests may have in common that crashes replicas.
 *
 * @module
 */
import type { Prompt } from '../BendfallRouterTypes.js'

/** Content of a request and the service that runs it. */
export interface TraitSource {
  readonly fingerprint: string
  readonly service: string
  readonly prompt?: Prompt
}

/** Maximum parts of one prompt that are considered. */
const MAX_PARTS = 64

/**
 * Lists the traits of a request by which crashes are counted. Those of its prompt parts name no caller or
 * customer: their ids name content, and the same content crashes a replica whoever sends it.
 *
 * @param request - content of the request and its service
 * @returns the fingerprint, and one trait for each part of the prompt
 */
export function traitsOf ({ fingerprint, prompt, service }: TraitSource): readonly string[] {
  const partIds = prompt?.partIds?.slice(0, MAX_PARTS) ?? []
  return [fingerprint, ...partIds.map((partId) => `part:${service}/${partId}`)]
}
