/**
 * Finds the route of a request and the service that it goes to.
 *
 * @module
 */
import type { Route, RouterConfig, WeightedService } from '../BendfallRouterTypes.js'

/**
 * Finds the route with the longest prefix of a path among those of a host.
 *
 * @param config - the configuration in force
 * @param host - host of the request; a port is ignored, as is the case
 * @param path - path of the request; a query is ignored
 * @returns the route, or undefined when none matches
 */
export function findRoute (config: RouterConfig, host: string, path: string): Route | undefined {
  const name = host.replace(/:\d+$/, '').toLowerCase()
  const plainPath = path.split('?', 1)[0] as string
  let best: Route | undefined
  for (const route of config.routes) {
    if (route.host.toLowerCase() !== name || !plainPath.startsWith(route.pathPrefix)) continue
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route
  }
  return best
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
