/**
 * Messages between the processes of bendfall.
 *
 * @module
 */
export { createConnections, registerConnectionCleanup } from './BendfallNodeConnections.js'
export type { Connection, Connections } from './BendfallNodeConnections.js'
export { toLoadView } from './BendfallNodeLoadView.js'
export { listenForPeers } from './BendfallNodePeerListener.js'
export type { PeerListener, SessionListener, StreamRoutes } from './BendfallNodePeerListener.js'
export { registerPeerServer } from './BendfallNodePeerServer.js'
export type { PeerHandlers } from './BendfallNodePeerServer.js'
export { createSenderClock } from './BendfallNodeSender.js'
export type { PeerVersionListener, SenderClock, SenderInit } from './BendfallNodeSender.js'
export { registerSidecarClients } from './BendfallNodeSidecarClients.js'
export type { FailureListener } from './BendfallNodeSidecarClients.js'
export { AnsweringSessionManager } from './BendfallNodeSessionManager.js'
export { registerSidecarServer } from './BendfallNodeSidecarServer.js'
export type { SidecarSelectors } from './BendfallNodeSidecarServer.js'
export { callUnary, NotProcessedError } from './BendfallNodeUnaryClient.js'
export type { UnaryOptions } from './BendfallNodeUnaryClient.js'
export { serveUnary } from './BendfallNodeUnaryServer.js'
export type { UnaryHandler } from './BendfallNodeUnaryServer.js'
