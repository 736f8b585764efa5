/**
 * Names of the soaks.
 *
 * @module
 */

/**
 * Set of faults that a soak draws from: `faults` for general faults, `drills` for a store restored
 * from backups, `notices` for replicas that report that they leave or back off while a request crashes each
 * replica that runs it, `limits` for limits that replicas advertise on the total request rate of all entries, `versions` for
 * replicas of two software versions that replace one another while callers resume streams at other entries, `releases` for
 * a version that replaces another one while all entries are killed, `parts` for prompt parts that crash replicas,
 * `customers` for API keys that are revoked and reissued and a customer that exceeds its limit, `load` for scarce capacity:
 * bursts, a flooding customer, callers that leave, retry at once or read slowly.
 */
export type SoakPlan = 'customers' | 'faults' | 'drills' | 'limits' | 'load' | 'notices' | 'parts' | 'releases' | 'versions'
