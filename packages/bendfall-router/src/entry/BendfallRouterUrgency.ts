/**
 * Urgency that model replicas are told with each send, so that they admit urgent requests first when
 * a burst of less urgent ones competes for their memory. It is told only for services whose requests
 * have different priorities: where all are equal it would say nothing.
 *
 * @module
 */
import type { Customer, Route, RouterConfig } from '../BendfallRouterTypes.js'

/** Least urgent value that replicas know. */
const MAX_URGENCY = 9

/**
 * Finds the model services whose requests have different priorities.
 *
 * @param config - the active configuration
 * @returns names of the services
 */
export function servicesWithPriorities ({ customers, routes, services }: RouterConfig): ReadonlySet<string> {
  const models = services.filter(({ engine }) => engine !== undefined)
  return new Set(models.map(({ name }) => name).filter((name) => {
    const own = routes.filter((route) => route.services.some(({ service }) => service === name))
    return new Set(own.flatMap((route) => prioritiesOf(route, customers))).size > 1
  }))
}

// A route that requires keys serves only customers; one without customers, or open to requests without
// a key, also has its own priority.
function prioritiesOf ({ allowsAnonymous, priority }: Route, customers: readonly Customer[] | undefined): number[] {
  const ofCustomers = customers?.map((customer) => customer.priority ?? priority) ?? []
  return customers === undefined || allowsAnonymous ? [...ofCustomers, priority] : ofCustomers
}

/**
 * Returns the urgency of a request as replicas know it.
 *
 * @param priority - priority of the request; 0 is the highest
 * @returns integer from 0, the most urgent, to 9
 */
export function urgencyOf (priority: number): number {
  return Math.min(MAX_URGENCY, Math.max(0, Math.round(priority)))
}
