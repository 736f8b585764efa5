/**
 * Stand-in of a plain replica: runs requests in its slots, queues a few more, and serves one request at a time on a
 * kept channel. It drops a request when its channel closes.
 */
import { createServer } from 'node:net'

const HEAD_END = Buffer.from('\r\n\r\n')

/**
 * Starts a replica.
 *
 * @param options
 * @param {string} options.host - loopback address to listen on
 * @param {number} [options.port] - port to listen on; default: a free one
 * @param {string} options.id - id under which it is registered
 * @param {number} options.slots - requests that it runs at once
 * @param {number} options.queue - requests that wait for a slot; further ones are rejected
 * @param {number} options.workMs - duration of a run
 * @param {(head: string) => string} [options.spoil] - changes the head of an answer
 * @param {(event: string, requestId: string) => void} options.onEvent - called for each run and its end
 * @returns the replica once it listens
 */
export function startReplica ({ host, id, onEvent, port = 0, queue, slots, spoil = (head) => head, workMs }) {
  const sockets = new Set()
  const waiting = []
  let running = 0
  let answers = 0

  function admit (job) {
    if (running < slots) return run(job)
    if (waiting.length >= queue) return reject(job, 503)
    waiting.push(job)
  }

  function run (job) {
    running += 1
    onEvent('run', job.requestId)
    job.timer = setTimeout(() => end(job, () => answer(job)), workMs)
    job.onClose = () => end(job, () => onEvent('dropped', job.requestId))
  }

  function end (job, finish) {
    clearTimeout(job.timer)
    if (job.isOver) return
    job.isOver = true
    running -= 1
    finish()
    const next = waiting.shift()
    if (next !== undefined) run(next)
  }

  function answer (job) {
    answers += 1
    const body = `answer to ${job.requestId}\n`
    const head = ['HTTP/1.1 200 OK', `X-Request-Id: ${job.requestId}`, `X-Response-Stamp: ${id}.${answers}`, 'Content-Type: text/plain', `Content-Length: ${body.length}`, '', ''].join('\r\n')
    const sent = spoil(head)
    onEvent(sent === head ? 'answered' : 'spoiled', job.requestId)
    job.socket.write(sent + body)
    job.next()
  }

  function reject (job, status) {
    onEvent(`rejected_${status}`, job.requestId)
    job.socket.write(['HTTP/1.1', `${status} Not run\r\nX-Request-Id:`, `${job.requestId}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`].join(' '))
    job.next()
  }

  function handleConnection (socket) {
    let bytes = Buffer.alloc(0)
    let current
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      if (current === undefined) return
      const index = waiting.indexOf(current)
      if (index !== -1) waiting.splice(index, 1)
      else current.onClose?.()
    })
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk])
      readNext()
    })

    function readNext () {
      if (current !== undefined) return
      const end = bytes.indexOf(HEAD_END)
      if (end === -1) return
      const headers = readHeaders(bytes.subarray(0, end).toString('latin1'))
      const total = end + HEAD_END.length + Number(headers.get('content-length') ?? 0)
      if (bytes.length < total) return
      bytes = bytes.subarray(total)
      current = { socket, requestId: headers.get('x-request-id'), next: () => { current = undefined; readNext() } }
      if ((headers.get('x-expect-instance') ?? id) !== id) reject(current, 421)
      else admit(current)
    }
  }

  const server = createServer(handleConnection)
  return new Promise((resolve) => {
    server.listen(port, host, () => resolve({
      id,
      port: server.address().port,
      address: `${host}:${server.address().port}`,
      close: () => {
        server.close()
        for (const socket of sockets) socket.destroy()
      }
    }))
  })
}

function readHeaders (head) {
  const lines = head.split('\r\n').slice(1)
  return new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
}
