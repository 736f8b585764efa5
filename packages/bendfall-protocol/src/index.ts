/**
 * Messages and services between bendfall processes, generated from the files in
 * this package's `proto` folder.
 *
 * @module
 */
export * from './gen/bendfall/v1/allotment_pb.js'
export * from './gen/bendfall/v1/ledger_pb.js'
export * from './gen/bendfall/v1/origin_pb.js'
export * from './gen/bendfall/v1/peer_pb.js'
export * from './gen/bendfall/v1/permit_pb.js'
export * from './gen/bendfall/v1/sidecar_pb.js'
