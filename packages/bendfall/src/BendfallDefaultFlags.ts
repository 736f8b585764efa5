/**
 * Restores the default options of V8 when it is imported. The first import of a main module, so that the
 * modules of Node.js that later imports load are taken from their code cache.
 *
 * @module
 */
import { restoreMemoryDefaults } from './BendfallEngineFlags.js'

restoreMemoryDefaults()
