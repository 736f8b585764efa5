/**
 * Answers that are due: each question waits under a key until the reducer's
 * effect brings its answer.
 *
 * @module
 */
import { Code, ConnectError } from '@connectrpc/connect'

/** Most questions of one kind that wait at a time. */
export const MAX_PENDING_ANSWERS = 20_000

/** Questions of one kind that wait for their answers. */
export interface PendingAnswers<Answer> {
  /**
   * Waits for the answer to a question.
   *
   * @param key - names the question; a repeated question takes over the wait
   * @param signal - ends the wait when the asker gave up
   * @param start - asks the question, once it is sure to be heard
   * @param onGiveUp - called when the asker gave up before the answer
   * @returns the answer
   * @throws ConnectError when the table is full, the asker gave up or a
   * repeated question took over
   */
  readonly ask: (key: string, signal: AbortSignal, start: () => void, onGiveUp?: () => void) => Promise<Answer>
  /** Answers a question; without effect when nobody waits any more. */
  readonly answer: (key: string, answer: Answer) => void
}

interface Waiting<Answer> {
  readonly resolve: (answer: Answer) => void
  readonly reject: (error: ConnectError) => void
}

/**
 * Makes an empty table.
 *
 * @returns the table
 */
export function createPendingAnswers<Answer> (): PendingAnswers<Answer> {
  const waiting = new Map<string, Waiting<Answer>>()

  function wait (key: string, signal: AbortSignal, onGiveUp?: () => void): Promise<Answer> {
    waiting.get(key)?.reject(new ConnectError('asked again', Code.Aborted))
    return new Promise<Answer>((resolve, reject) => {
      const entry = { resolve, reject }
      waiting.set(key, entry)
      signal.addEventListener('abort', () => {
        if (waiting.get(key) !== entry) return
        waiting.delete(key)
        reject(new ConnectError('asker gave up', Code.Canceled))
        onGiveUp?.()
      }, { once: true })
    })
  }

  return {
    ask: async (key, signal, start, onGiveUp) => {
      if (signal.aborted) throw new ConnectError('asker gave up', Code.Canceled)
      if (waiting.size >= MAX_PENDING_ANSWERS) throw new ConnectError('too many questions', Code.ResourceExhausted)
      const answer = wait(key, signal, onGiveUp)
      start()
      return await answer
    },
    answer: (key, answer) => {
      waiting.get(key)?.resolve(answer)
      waiting.delete(key)
    }
  }
}
