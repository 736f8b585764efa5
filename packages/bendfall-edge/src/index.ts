/**
 * Runtime of the router processes: entry, sidecar, their settings and the platform adapter types.
 *
 * @module
 */
export type * from './BendfallEdgeDialect.js'
export * from './BendfallEdgeEntry.js'
export * from './BendfallEdgeSettings.js'
export * from './BendfallEdgeSidecar.js'
export * from './caller/BendfallEdgeHeaders.js'
export * from './caller/BendfallEdgeKeyDigest.js'
export * from './crashes/BendfallEdgeCrashDocument.js'
export * from './observe/BendfallEdgeLogOutput.js'
export * from './observe/BendfallEdgeMetrics.js'
export * from './replica/BendfallEdgeConnections.js'
export * from './replica/BendfallEdgeEventSplitter.js'
export * from './replica/BendfallEdgeReplicaCall.js'
