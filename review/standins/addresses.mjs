/**
 * Loopback addresses and free ports, so that runs that overlap don't collide.
 */
import { createServer } from 'node:net'

const SUBNETS = 250

/**
 * @param {number} last - last octet
 * @returns {string} a loopback address of this run
 */
export function loopbackIp (last) {
  return `127.${1 + process.pid % SUBNETS}.${1 + Math.floor(process.pid / SUBNETS) % SUBNETS}.${last}`
}

/**
 * @param {string} host - loopback address
 * @returns {Promise<number>} a port that is free there at the moment
 */
export function freePort (host) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}
