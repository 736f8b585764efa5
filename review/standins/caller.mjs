/**
 * Stand-in of a caller: sends one request at a time on a channel that it keeps open.
 */
import { Agent, request as startRequest } from 'node:http'

/**
 * @param options
 * @param {string} options.host - address of the entry
 * @param {number} options.port - port of the entry for callers
 * @returns a caller with a channel of its own
 */
export function createCaller ({ host, port }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  return {
    /**
     * Sends a request.
     *
     * @returns the answer, or how the channel ended; undefined `endedMs` if neither came within `giveUpMs`
     */
    send: ({ body, giveUpMs, headers, method, path }) => new Promise((resolve) => {
      const sentMs = performance.now()
      let isOver = false
      const finish = (outcome) => {
        if (isOver) return
        isOver = true
        clearTimeout(timer)
        resolve({ sentMs, ...outcome })
      }
      const request = startRequest({ host, port, agent, method, path, headers: { ...headers, ...(body === undefined ? {} : { 'content-length': body.length }) } }, (response) => {
        const chunks = []
        response.on('data', (chunk) => chunks.push(chunk))
        response.on('error', () => {})
        response.on('close', () => {
          const endedMs = performance.now()
          if (response.complete) finish({ type: 'answered', status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), endedMs })
          else finish({ type: 'cut', endedMs })
        })
      })
      const timer = setTimeout(() => {
        finish({ type: 'unanswered' })
        request.destroy()
      }, giveUpMs)
      request.on('error', (error) => finish({ type: 'closed', error: error.code, endedMs: performance.now() }))
      request.end(body)
    }),
    close: () => agent.destroy()
  }
}
