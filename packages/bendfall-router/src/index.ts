/**
 * Pure decision logic in front of replicas that admit by themselves.
 *
 * @module
 */
export * from './BendfallRouterDecisions.js'
export * from './BendfallRouterTypes.js'
export * from './crashes/BendfallRouterCrashCount.js'
export * from './crashes/BendfallRouterCrashRecords.js'
export * from './crashes/BendfallRouterCrashReport.js'
export * from './customers/BendfallRouterCustomers.js'
export * from './directory/BendfallRouterRoutes.js'
export { credentialsOf } from './entry/BendfallRouterArrival.js'
export * from './entry/BendfallRouterBudget.js'
export type * from './entry/BendfallRouterEffects.js'
export type * from './entry/BendfallRouterEvents.js'
export * from './entry/BendfallRouterReducer.js'
export type * from './entry/BendfallRouterRequest.js'
export { TICK_MS } from './entry/BendfallRouterStandstill.js'
export * from './entry/BendfallRouterState.js'
export * from './entry/BendfallRouterSubset.js'
export * from './ledger/BendfallRouterForecast.js'
export * from './ledger/BendfallRouterLedger.js'
export { incarnationOf } from './ledger/BendfallRouterLedgerReport.js'
export type * from './ledger/BendfallRouterLedgerState.js'
export * from './ledger/BendfallRouterOutputModel.js'
export type * from './notices/BendfallRouterNotices.js'
export * from './pools/BendfallRouterPoolBalance.js'
export * from './pools/BendfallRouterPoolIntent.js'
