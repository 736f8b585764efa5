/**
 * Converts outcomes of a confirmation to exit codes and texts of the command
 * `confirm`.
 *
 * @module
 */
import type { ConfirmOutcome, ConflictReason } from './BendfallctlConfirm.js'
import type { CommandResult, ExitName } from './BendfallctlExit.js'
import { failedResult } from './BendfallctlPlan.js'
import { formatPlan } from './BendfallctlPlanText.js'

type OutcomeType = ConfirmOutcome['type']
type Describe<T extends OutcomeType> = (outcome: Extract<ConfirmOutcome, { type: T }>) => readonly [ExitName, string]

const CONFLICT_TEXTS: Readonly<Record<ConflictReason, string>> = {
  plan_changed: 'Conflict: configuration, intent or instances changed since the plan was made.',
  written_by_other: 'Conflict: another operator confirmed first.'
}

const DESCRIPTIONS: { readonly [T in OutcomeType]: Describe<T> } = {
  confirmed: ({ version, revision, writeId }) => ['done', `Confirmed version ${version} at revision ${revision}, write id ${writeId}.`],
  in_force: ({ version }) => ['done', `The intent is in force as version ${version}: nothing to confirm.`],
  blocked: ({ plan }) => ['findings', `Nothing was changed.\n\n${formatPlan(plan)}`],
  conflict: ({ reason, plan }) => {
    const fresh = plan === undefined ? 'Make a fresh plan once the services answer.' : `The current plan:\n\n${formatPlan(plan)}`
    return ['conflict', `${CONFLICT_TEXTS[reason]}\nNothing was changed by this command. ${fresh}`]
  },
  superseded: ({ version, sentVersion, writeId }) => ['outage', `The answer to write ${writeId} was lost, and version ${version} is stored now. Whether version ${sentVersion} was this write can't be known from what is stored: another operator wrote after it or instead of it.\n\`bendfallctl timeline --subject config/${sentVersion}\` shows the write id of that version where a process had it in force. Make a fresh plan.`],
  unresolved: ({ writeId, detail }) => ['outage', `Write ${writeId} was sent and may have taken effect; reading it back failed: ${detail}.\nRun the same command again: it reads before it writes.`],
  failed: ({ failure }) => {
    const { exit } = failedResult(failure)
    return [exit, `Nothing was changed: ${failure.detail}`]
  }
}

/**
 * Describes an outcome for operators.
 *
 * @param outcome - any outcome of `confirmPlan`
 * @returns exit code and text, with the outcome itself as JSON
 */
export function describeConfirm (outcome: ConfirmOutcome): CommandResult {
  const describe = DESCRIPTIONS[outcome.type] as Describe<OutcomeType>
  const [exit, text] = describe(outcome)
  return { exit, text, json: outcome }
}
