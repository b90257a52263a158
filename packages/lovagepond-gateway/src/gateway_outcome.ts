/**
 * Decides what follows when an attempt has not brought the whole answer.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type ForwardingRule} from './gateway_routes.js';

/** How an attempt ended without a whole answer that can be passed on. */
export type AttemptOutcome =
  /** No byte of the request left: it can't have run. */
  | {readonly kind: 'unsent'}
  /** The server says that it did not and will not run it. */
  | {readonly kind: 'notRun'}
  /** The server ran it and answered with a failure, which is kept. */
  | {readonly kind: 'failedAnswer'}
  /** Sent, and no whole answer came. It may have run. */
  | {readonly kind: 'broken'}
  /** The time that the caller or the operators allow is over. */
  | {readonly kind: 'timedOut'; readonly sent: boolean};

/** Where a request stands when an attempt ends. */
export interface RequestProgress {
  readonly rule: ForwardingRule;
  /** Attempts that ran or may have run, the ended one included. */
  readonly runs: number;
  /** Attempts of any kind, the ended one included. */
  readonly attempts: number;
  /** The answer's head has gone to the caller. */
  readonly headSent: boolean;
  /** A server's failure answer is kept and can still be passed on. */
  readonly hasFailure: boolean;
  /** Number of the last event that went to the caller. */
  readonly lastEventId: number | undefined;
  readonly timeLeftMs: number;
  /** Servers crashed while they ran it, or may have. */
  readonly isSuspect: boolean;
  /** Spends one second try; false when the budget is used up. */
  trySpend(): boolean;
}

/** What to do next. */
export type NextStep =
  | {readonly kind: 'retry'}
  /** A new run that goes on behind the last event. */
  | {readonly kind: 'resume'}
  /** Pass on the failure that a server answered. */
  | {readonly kind: 'passFailure'}
  /** An answer of this router's own. */
  | {readonly kind: 'refuse'; readonly error: ErrorKind}
  /** Break off: an answer that isn't whole must not look complete. */
  | {readonly kind: 'cut'};

/** Servers offered one request before it is given up. */
const MAX_ATTEMPTS = 4;

/** With less time left another server can't answer either, milliseconds. */
const MIN_TIME_LEFT_MS = 20;

/**
 * @param outcome how the attempt ended
 * @param progress where the request stands
 * @returns what to do
 */
export function decideNext(
  outcome: AttemptOutcome,
  progress: RequestProgress,
): NextStep {
  if (canTryAgain(outcome, progress)) {
    return {kind: progress.headSent ? 'resume' : 'retry'};
  }
  return giveUp(outcome, progress);
}

function canTryAgain(
  outcome: AttemptOutcome,
  progress: RequestProgress,
): boolean {
  const {rule, runs, attempts, headSent, timeLeftMs} = progress;
  if (outcome.kind === 'timedOut') return false;
  if (timeLeftMs < MIN_TIME_LEFT_MS || attempts >= MAX_ATTEMPTS) return false;
  const {resumable, maxAttempts} = rule.forwarding;
  if (headSent && !(resumable && progress.lastEventId !== undefined)) {
    return false;
  }
  if (runs >= maxAttempts) return false;
  if (outcome.kind === 'unsent') return true;
  if (outcome.kind === 'notRun') return progress.trySpend();
  if (progress.isSuspect) return false;
  return !rule.nonRepeatable && progress.trySpend();
}

function giveUp(outcome: AttemptOutcome, progress: RequestProgress): NextStep {
  if (progress.headSent) return {kind: 'cut'};
  if (progress.hasFailure) return {kind: 'passFailure'};
  return {kind: 'refuse', error: errorOf(outcome, progress.runs)};
}

/** "Not run" is said only when no attempt can have run. */
function errorOf(outcome: AttemptOutcome, runs: number): ErrorKind {
  if (outcome.kind === 'timedOut') {
    return runs > 0 || outcome.sent ? 'backendSilent' : 'deadlineUnreachable';
  }
  if (runs > 0) return 'backendFailed';
  return outcome.kind === 'unsent' ? 'unreachable' : 'overloaded';
}
