/**
 * Runs a dispatched attempt at the backend server and passes its answer to the
 * attempt's session.
 */
import {type EngineEvent} from '@lovagepond/backend';
import {
  type Clock,
  type ErrorKind,
  type Failure,
  makeFailure,
} from '@lovagepond/core';
import {type Backend, runAtBackend} from './sidecar_backend.js';
import {makeStarted} from './sidecar_frames.js';
import {type SidecarSession} from './sidecar_session.js';

/** Unsent answer bytes above which reading from the backend server pauses. */
const MAX_UNSENT_BYTES = 64 * 1024;
const MAX_RESUMES = 2;

/** After these, the engine may have crashed or still hold the generation. */
const INTERRUPTED: ReadonlySet<ErrorKind> = new Set([
  'backendFailed',
  'backendSilent',
  'answerTruncated',
]);

/** How a run ended. */
export type RunOutcome =
  | {readonly kind: 'done'; readonly cachedTokens: number}
  | {readonly kind: 'failed'; readonly failure: Failure}
  /** No byte of the request reached the backend server. */
  | {readonly kind: 'notRun'; readonly failure: Failure};

export interface RunDependencies {
  readonly backend: Backend;
  readonly session: SidecarSession;
  readonly clock: Clock;
  readonly signal: AbortSignal;
}

interface RunState {
  dispatched: boolean;
  cachedTokens: number;
}

type EventHandlers = {
  readonly [Kind in EngineEvent['kind']]: (
    event: Extract<EngineEvent, {kind: Kind}>,
    session: SidecarSession,
    state: RunState,
  ) => RunOutcome | undefined;
};

const EVENT_HANDLERS: EventHandlers = {
  dispatched: (_event, _session, state) => {
    state.dispatched = true;
    return undefined;
  },
  started: ({status, contentType, cachedTokens}, session, state) => {
    state.cachedTokens = cachedTokens;
    session.setHead({status, contentType});
    session.start(makeStarted(cachedTokens > 0, cachedTokens));
    return undefined;
  },
  data: (piece, session) => {
    if (session.append(piece)) return undefined;
    // Bytes at an unexpected offset belong to another generation or another
    // request. Forwarding them would give the caller a spliced answer that
    // looks complete.
    return {kind: 'failed', failure: makeFailure('answerTruncated')};
  },
  end: ({totalBytes}, session, {cachedTokens}) => {
    if (totalBytes === session.answerBytes) return {kind: 'done', cachedTokens};
    return {kind: 'failed', failure: makeFailure('answerTruncated')};
  },
  failed: ({failure}, _session, {dispatched}) => {
    return {kind: dispatched ? 'failed' : 'notRun', failure};
  },
};

async function streamAnswer(
  deps: RunDependencies,
  resumeFrom: number,
  state: RunState,
): Promise<RunOutcome> {
  const {backend, session, clock, signal} = deps;
  const {request, deadlineAt: deadline} = session;
  const run = {request, deadline, resumeFrom, signal};
  for await (const event of runAtBackend(backend, run, clock.now())) {
    const handle = EVENT_HANDLERS[event.kind];
    const outcome = handle(event as never, session, state);
    if (outcome) return outcome;
    await session.waitForRoom(MAX_UNSENT_BYTES);
  }
  const kind = state.dispatched ? 'failed' : 'notRun';
  return {kind, failure: makeFailure('answerTruncated')};
}

/**
 * Converts an exception into a failure, as the request may have run. An
 * uncaught exception would leave the run open in the gate, and its tokens would
 * count towards the load bound permanently.
 */
async function streamOnce(
  deps: RunDependencies,
  resumeFrom: number,
): Promise<RunOutcome> {
  const state: RunState = {dispatched: false, cachedTokens: 0};
  try {
    return await streamAnswer(deps, resumeFrom, state);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return {kind: 'failed', failure: makeFailure('internal', {message})};
  }
}

/**
 * @param outcome how a run ended
 * @returns true when the run failed because the backend server crashed, went
 *     silent or truncated the answer
 */
export function wasInterrupted(outcome: RunOutcome): boolean {
  return outcome.kind === 'failed' && INTERRUPTED.has(outcome.failure.kind);
}

function canResume(outcome: RunOutcome, deps: RunDependencies): boolean {
  const {session, backend, signal} = deps;
  return (
    backend.kind === 'engine' &&
    wasInterrupted(outcome) &&
    session.answerBytes > 0 &&
    !session.request.nonRepeatable &&
    !signal.aborted
  );
}

/**
 * Runs an attempt to its end. If the engine's stream breaks after the first
 * byte, the same generation is resumed at the current offset. An engine that no
 * longer holds the generation refuses the resume, and the attempt fails.
 *
 * @param deps the session of the attempt, its backend server and an abort
 *     signal
 * @returns how it ended; never throws
 */
export async function runAttempt(deps: RunDependencies): Promise<RunOutcome> {
  const first = await streamOnce(deps, 0);
  let outcome = first;
  for (let resumes = 0; resumes < MAX_RESUMES; resumes += 1) {
    if (!canResume(outcome, deps)) break;
    outcome = await streamOnce(deps, deps.session.answerBytes);
  }
  // A "not run" outcome belongs to the resume only; the first run did run.
  return outcome.kind === 'notRun' ? first : outcome;
}
