/**
 * Finds the route of a request and the service that it is sent to.
 *
 * @module
 */
import type { Route, RouterConfig, WeightedService } from '../BendfallRouterTypes.js'

/** Routes of one host, by path prefix. */
type RoutesByPrefix = ReadonlyMap<string, Route>

/** Built once for each configuration, since one may have thousands of routes. */
const ROUTE_INDEXES = new WeakMap<RouterConfig, ReadonlyMap<string, RoutesByPrefix>>()

/**
 * Finds the route of a host with the longest prefix of a path.
 *
 * @param config - the active configuration
 * @param host - host of the request; the port is ignored and case does not matter
 * @param path - path of the request; the query is ignored
 * @returns the route, or undefined if none matches
 */
export function findRoute (config: RouterConfig, host: string, path: string): Route | undefined {
  const routes = routeIndexOf(config).get(host.replace(/:\d+$/, '').toLowerCase())
  if (routes === undefined) return undefined
  const plainPath = path.split('?', 1)[0] as string
  // Prefixes end with a slash.
  for (let end = plainPath.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : plainPath.lastIndexOf('/', end - 1)) {
    const route = routes.get(plainPath.slice(0, end + 1))
    if (route !== undefined) return route
  }
  return undefined
}

function routeIndexOf (config: RouterConfig): ReadonlyMap<string, RoutesByPrefix> {
  const cached = ROUTE_INDEXES.get(config)
  if (cached !== undefined) return cached
  const byHost = new Map<string, Map<string, Route>>()
  for (const route of config.routes) {
    const host = route.host.toLowerCase()
    const routes = byHost.get(host) ?? new Map<string, Route>()
    if (!routes.has(route.pathPrefix)) routes.set(route.pathPrefix, route)
    byHost.set(host, routes)
  }
  ROUTE_INDEXES.set(config, byHost)
  return byHost
}

/**
 * Picks a service of a route at random, by weight.
 *
 * @param services - candidates with their weights; at least one
 * @param draw - random number from 0 (inclusive) to 1 (exclusive)
 * @returns name of the service
 */
export function pickService (services: readonly WeightedService[], draw: number): string | undefined {
  const total = services.reduce((sum, one) => sum + one.weight, 0)
  let remaining = draw * total
  for (const one of services) {
    remaining -= one.weight
    if (remaining < 0) return one.service
  }
  return services.at(-1)?.service
}
