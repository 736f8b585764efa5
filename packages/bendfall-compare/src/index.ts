/**
 * Paired comparisons of builds and settings of the router on the users' bench.
 *
 * @module
 */
export * from './CompareCell.js'
export * from './CompareResults.js'
export * from './CompareRunner.js'
export * from './CompareStatistics.js'
export * from './CompareTable.js'
export * from './CompareVariant.js'
