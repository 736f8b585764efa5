/**
 * The connection manager of connect-node 2.1, with two gaps closed: it waits
 * for ever on a stream that the peer closes without an error before it
 * answered, and it destroys an idle connection that the peer ends with an
 * error that nobody listens to, which would end the process. It also sends
 * heartbeats, the first one as soon as a connection is used.
 *
 * @module
 */
import { constants } from 'node:http2'
import type { ClientHttp2Stream, Http2Session } from 'node:http2'
import { Code, ConnectError } from '@connectrpc/connect'
import { Http2SessionManager } from '@connectrpc/connect-node'

type Http2SessionOptions = ConstructorParameters<typeof Http2SessionManager>[1]

/** What the process does with its connections. */
export interface SessionHooks {
  /** Payload of the PING frames that prove that this process lives. */
  readonly heartbeat?: Buffer
  /** Called when an open connection closed. */
  readonly onClosed?: () => void
}

/** Manages the HTTP/2 connection to one peer. */
export class AnsweringSessionManager extends Http2SessionManager {
  private current: Http2Session | undefined

  /**
   * @param url - base URL of the peer
   * @param options - checks of the connection
   * @param hooks - what the process does with its connections
   */
  constructor (url: string, options?: Http2SessionOptions, private readonly hooks: SessionHooks = {}) {
    super(url, options)
  }

  /**
   * Sends a heartbeat on the connection, unless there is none.
   *
   * @param onAnswered - called when the peer answered or the connection closed
   */
  heartbeat (onAnswered: () => void = () => {}): void {
    const { current, hooks } = this
    if (hooks.heartbeat === undefined || current === undefined || current.destroyed) return
    current.ping(hooks.heartbeat, onAnswered)
  }

  override async request (...args: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args)
    this.adopt(stream.session)
    let answered = false
    stream.once('response', () => { answered = true })
    stream.once('close', () => {
      if (answered || stream.rstCode !== constants.NGHTTP2_NO_ERROR) return
      stream.emit('error', new ConnectError('peer closed the stream without an answer', Code.Unavailable))
    })
    return stream
  }

  // The manager reports a lost connection through its state and its streams.
  private adopt (session: Http2Session | undefined): void {
    if (session === undefined || session === this.current) return
    this.current = session
    session.on('error', () => {})
    session.once('close', () => this.hooks.onClosed?.())
    this.heartbeat()
  }
}
