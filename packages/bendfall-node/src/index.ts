/**
 * Runtime of the entry and sidecar roles.
 *
 * @module
 */
export * from './BendfallNode.js'
export * from './BendfallNodePorts.js'
export * from './BendfallNodeStatus.js'
export * from './config/index.js'
export * from './edge/index.js'
export * from './home/index.js'
export * from './instances/index.js'
export * from './observe/index.js'
export * from './runtime/index.js'
export * from './settings/index.js'
export * from './transport/index.js'
export * from './upstream/index.js'
