/**
 * HTTP edge of an entry.
 *
 * @module
 */
export { CHAT_PATH } from './BendfallNodeEdgeChat.js'
export { formatAddress, listen } from './BendfallNodeEdgeListen.js'
export { formatRefusal } from './BendfallNodeEdgeRefusal.js'
export type { Refusal } from './BendfallNodeEdgeRefusal.js'
export { registerEdge } from './BendfallNodeEdgeServer.js'
export type { Edge, EdgeOptions, RefusalListener } from './BendfallNodeEdgeServer.js'
