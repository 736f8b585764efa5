/**
 * Schemas whose validators the build compiles, since entries need them at their start or soon after it.
 * Other schemas are compiled when they are first used, each in some 25 ms of a core.
 *
 * @module
 */
import { POOL_DOCUMENT_SCHEMA } from 'bendfall-router'
import { EDGE_SETTINGS_SCHEMA } from './BendfallEdgeSettings.js'
import { LIMITS_SCHEMA } from './limits/BendfallEdgeLimitDocument.js'
import { RESUMABLE_SCHEMA } from './origins/BendfallEdgeResumableDocument.js'
import { ENDPOINT_SCHEMA } from './peer/BendfallEdgeLeaderEndpoint.js'

/** Schemas of an entry and a sidecar on the users' platform. */
export const STARTUP_SCHEMAS = [EDGE_SETTINGS_SCHEMA, POOL_DOCUMENT_SCHEMA, LIMITS_SCHEMA, ENDPOINT_SCHEMA, RESUMABLE_SCHEMA]
