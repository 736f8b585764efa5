/**
 * Finds the route of a request and the service that it goes to.
 *
 * @module
 */
import type { Route, RouterConfig, WeightedService } from '../BendfallRouterTypes.js'

/** Routes of a host by their prefixes. */
type RoutesByPrefix = ReadonlyMap<string, Route>

/** Made once for each configuration: one may have thousands of routes. */
const INDEXES = new WeakMap<RouterConfig, ReadonlyMap<string, RoutesByPrefix>>()

/**
 * Finds the route with the longest prefix of a path among those of a host.
 *
 * @param config - the configuration in force
 * @param host - host of the request; a port is ignored, as is the case
 * @param path - path of the request; a query is ignored
 * @returns the route, or undefined when none matches
 */
export function findRoute (config: RouterConfig, host: string, path: string): Route | undefined {
  const routes = indexOf(config).get(host.replace(/:\d+$/, '').toLowerCase())
  if (routes === undefined) return undefined
  const plainPath = path.split('?', 1)[0] as string
  // Prefixes end with a slash.
  for (let end = plainPath.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : plainPath.lastIndexOf('/', end - 1)) {
    const route = routes.get(plainPath.slice(0, end + 1))
    if (route !== undefined) return route
  }
  return undefined
}

function indexOf (config: RouterConfig): ReadonlyMap<string, RoutesByPrefix> {
  const known = INDEXES.get(config)
  if (known !== undefined) return known
  const byHost = new Map<string, Map<string, Route>>()
  for (const route of config.routes) {
    const host = route.host.toLowerCase()
    const routes = byHost.get(host) ?? new Map<string, Route>()
    if (!routes.has(route.pathPrefix)) routes.set(route.pathPrefix, route)
    byHost.set(host, routes)
  }
  INDEXES.set(config, byHost)
  return byHost
}

/**
 * Picks a service of a route by weight.
 *
 * @param services - services with weights; at least one
 * @param draw - number from 0 (included) to 1 (excluded)
 * @returns name of the service
 */
export function pickService (services: readonly WeightedService[], draw: number): string | undefined {
  const total = services.reduce((sum, one) => sum + one.weight, 0)
  let left = draw * total
  for (const one of services) {
    left -= one.weight
    if (left < 0) return one.service
  }
  return services.at(-1)?.service
}
