/**
 * Finds the route of a plain service and makes its request.
 *
 * @module
 */
import { Err, Ok } from 'ts-results-es'
import type { Result } from 'ts-results-es'
import type { Config, RequestId, RouteConfig, ServiceRequest } from 'bendfall-core'
import { digestBody } from './BendfallNodeEdgeDigest.js'
import { badRequest } from './BendfallNodeEdgeHeaders.js'
import type { CallerHeaders } from './BendfallNodeEdgeHeaders.js'
import type { BadInput } from './BendfallNodeEdgeRefusal.js'

/** What a service request is made from. */
export interface CallInput {
  readonly requestId: RequestId
  readonly headers: CallerHeaders
  readonly method: string
  /** Path with query, as the caller wrote it. */
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
}

const CONFIG_MISSING: BadInput = { status: 503, reason: 'config_missing', message: 'no configuration is known yet', retryAfterMs: 1_000 }

/**
 * Finds the route with the longest prefix of a path. Prefixes end where a path
 * segment ends: `/rate` is no prefix of `/rates`.
 *
 * @param routes - routes of the configuration
 * @param pathname - normalized path, see {@link normalizePath}
 * @returns the route, if any
 */
export function findRoute (routes: readonly RouteConfig[], pathname: string): RouteConfig | undefined {
  const matches = routes.filter((route) => isPathPrefix(route.pathPrefix, pathname))
  return matches.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
}

/**
 * Normalizes a path for the choice of its route. Without this an encoded or
 * doubled character would hide a route that is not repeatable behind a shorter
 * one that is.
 *
 * @param path - path with query
 * @returns decoded path without query, or a finding
 */
export function normalizePath (path: string): Result<string, BadInput> {
  const encoded = path.split('?', 1)[0]
  let decoded: string
  try {
    decoded = decodeURIComponent(encoded)
  } catch {
    return Err(badRequest('path: expected valid percent encoding'))
  }
  if (!decoded.startsWith('/')) return Err(badRequest('path: expected an absolute path'))
  if (/(^|[/\\])\.{1,2}([/\\]|$)/.test(decoded)) return Err(badRequest('path: expected no dot segments'))
  return Ok(decoded.replace(/\/{2,}/g, '/'))
}

/**
 * Makes the request of a plain service.
 *
 * @param input - checked headers, path and body
 * @param config - configuration in force
 * @returns the request, or a refusal when no route matches
 */
export function createServiceRequest (input: CallInput, config: Config | undefined): Result<ServiceRequest, BadInput> {
  if (config === undefined) return Err(CONFIG_MISSING)
  return normalizePath(input.path).andThen((pathname) => {
    const route = findRoute(config.routes, pathname)
    if (route === undefined) return Err(unknownRoute(pathname))
    return Ok(fillRequest(input, route, config))
  })
}

function fillRequest (input: CallInput, route: RouteConfig, config: Config): ServiceRequest {
  const { body, contentType, headers, method, path, requestId } = input
  const { clientId, idempotencyKey, keyIssuedAtMs } = headers
  const trafficClass = headers.trafficClass ?? route.trafficClass
  return {
    requestId,
    clientId,
    trafficClass,
    pool: route.pool,
    method,
    path,
    contentType,
    body,
    repeatable: route.repeatableMethods.includes(method),
    idempotencyKey,
    keyIssuedAtMs,
    bodyDigest: digestBody({ clientId, method, path, body }),
    answerMs: headers.deadlineMs ?? config.classes[trafficClass].firstOutputMs
  }
}

function isPathPrefix (prefix: string, pathname: string): boolean {
  if (!pathname.startsWith(prefix)) return false
  return prefix.endsWith('/') || pathname.length === prefix.length || pathname[prefix.length] === '/'
}

function unknownRoute (pathname: string): BadInput {
  return { status: 404, reason: 'route_unknown', message: `no route is configured for ${JSON.stringify(pathname)}` }
}
