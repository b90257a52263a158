/**
 * Checks an offer against each reason for a refusal, in a fixed order.
 */
import {type ErrorKind, makeFailure} from '@lovagepond/core';
import {ATTEMPT_STATE, type AttemptState} from './sidecar_attempts.js';
import {type SidecarCacheIndex} from './sidecar_cache_index.js';
import {type HeldQueue, shareFor} from './sidecar_held_queue.js';
import {type SidecarPointers} from './sidecar_pointers.js';
import {
  type GateAction,
  type GatePolicy,
  type GateSettings,
  type Offer,
  type RefuseAction,
  WARMTH,
} from './sidecar_types.js';

const NOT_READY_RETRY_MS = 1_000;

/** State of the gate that the checks read. */
export interface RefusalView {
  readonly settings: GateSettings;
  readonly policy: GatePolicy;
  readonly notReady: string | undefined;
  readonly readyAt: number | undefined;
  readonly revision: number;
  readonly draining: boolean;
  readonly queue: HeldQueue;
  readonly cache: SidecarCacheIndex;
  readonly pointers: SidecarPointers;
  runningTokensOf(workspace: string): number;
  expectedWaitMs(offer: Offer): number;
  serviceMs(tokens: number): number;
  /** @returns time until the caller should retry, milliseconds */
  retryAfterMs(offer: Offer, missingMs: number): number;
}

type Check = (
  offer: Offer,
  view: RefusalView,
  now: number,
) => RefuseAction | undefined;

/**
 * @param attemptId the attempt
 * @param kind an error kind with disposition "not run"
 * @param details message, retry time and backend server to try, if any
 * @returns the refusal
 */
export function makeRefusal(
  attemptId: string,
  kind: ErrorKind,
  details: {message?: string; retryAfterMs?: number; pointer?: string} = {},
): RefuseAction {
  const {pointer = '', ...rest} = details;
  const failure = makeFailure(kind, rest);
  return {kind: 'refuse', attemptId, failure, pointer};
}

/**
 * @param offer an attempt
 * @param settings the sidecar's settings
 * @returns true when this server is the first choice of the offer's chat
 */
export function isFirstChoice(offer: Offer, settings: GateSettings): boolean {
  const {firstChoice} = offer;
  return firstChoice === '' || firstChoice === settings.backendServer;
}

/**
 * Answers a duplicate of an attempt. Only an attempt that was answered as not
 * run may be refused as not run again; in any other state the first delivery
 * may run or have run.
 *
 * @param attemptId the attempt
 * @param state state of the attempt; undefined when it is new
 * @returns the answer; undefined for a new attempt
 */
export function answerDuplicate(
  attemptId: string,
  state: AttemptState | undefined,
): GateAction | undefined {
  if (state === undefined) return undefined;
  if (state === ATTEMPT_STATE.NOT_RUN) return makeRefusal(attemptId, 'revoked');
  const message = 'This attempt was sent twice; its first copy is answered.';
  const failure = makeFailure('inProgress', {message});
  return {kind: 'rejectDuplicate', attemptId, failure};
}

function checkIncarnation(
  offer: Offer,
  {settings}: RefusalView,
): RefuseAction | undefined {
  if (offer.incarnation === settings.incarnation) return undefined;
  return makeRefusal(offer.attemptId, 'wrongIncarnation');
}

function checkReady(
  offer: Offer,
  {notReady, readyAt}: RefusalView,
  now: number,
): RefuseAction | undefined {
  if (notReady === undefined) return undefined;
  const leftMs = readyAt === undefined ? 0 : readyAt - now;
  return makeRefusal(offer.attemptId, 'notReady', {
    message: notReady,
    retryAfterMs: Math.max(NOT_READY_RETRY_MS, leftMs),
  });
}

function checkDraining(
  offer: Offer,
  {draining}: RefusalView,
): RefuseAction | undefined {
  return draining ? makeRefusal(offer.attemptId, 'draining') : undefined;
}

/**
 * No request runs under a configuration that was reported to operators as
 * replaced. The frame carries this sidecar's revision, so that the router can
 * install the sidecar's configuration or send its own, whichever is newer.
 */
function checkRevision(
  offer: Offer,
  {revision}: RefusalView,
): RefuseAction | undefined {
  if (offer.revision === revision) return undefined;
  const message =
    offer.revision < revision
      ? 'The router holds an older configuration.'
      : 'The sidecar holds an older configuration.';
  return makeRefusal(offer.attemptId, 'staleRevision', {message});
}

function checkDeadline(
  offer: Offer,
  _view: RefusalView,
  now: number,
): RefuseAction | undefined {
  if (offer.deadlineAt > now) return undefined;
  return makeRefusal(offer.attemptId, 'deadlineUnreachable', {
    message: 'The deadline had passed when the request arrived.',
  });
}

function checkPointer(
  offer: Offer,
  view: RefusalView,
  now: number,
): RefuseAction | undefined {
  const {workspace, chat, requestId, warmCandidates = []} = offer;
  const {backendServer} = view.settings;
  const first = isFirstChoice(offer, view.settings);
  const named = warmCandidates.includes(backendServer);
  if (chat === '' || offer.handOvers > 0 || !(first || named)) return undefined;
  const {warmth, tokens} = view.cache.read(workspace, chat);
  if (warmth === WARMTH.WARM) return undefined;
  // Serving the chat here removes its pointer, so an existing pointer is newer
  // than an unconfirmed cache entry. Without a pointer, the chat is served here
  // in case the entry is still valid.
  const mayBeWarm = warmth === WARMTH.UNKNOWN && tokens > 0;
  if (mayBeWarm && !first) return undefined;
  const pointedTo = view.pointers.lookUp(workspace, chat, requestId, now);
  if (mayBeWarm && pointedTo === undefined) return undefined;
  // A cold first choice redirects to a warm candidate, a cold candidate to the
  // first choice. If candidates rebuilt cold chats, these would accumulate on
  // the oldest servers.
  const fallback = first ? warmCandidates[0] : offer.firstChoice;
  const pointer = pointedTo ?? fallback;
  if (pointer === undefined || pointer === backendServer) return undefined;
  return makeRefusal(offer.attemptId, 'servedElsewhere', {pointer});
}

function checkWorkspaceLimit(
  offer: Offer,
  view: RefusalView,
): RefuseAction | undefined {
  const {workspace, tokens} = offer;
  const {maxQueuedTokens} = shareFor(view.policy, workspace);
  if (maxQueuedTokens === 0) return undefined;
  const waiting = view.queue.costOf(workspace);
  const outstanding = waiting + view.runningTokensOf(workspace);
  if (outstanding + tokens <= maxQueuedTokens) return undefined;
  return makeRefusal(offer.attemptId, 'workspaceLimit', {
    retryAfterMs: view.retryAfterMs(offer, view.expectedWaitMs(offer)),
  });
}

function checkWait(
  offer: Offer,
  view: RefusalView,
  now: number,
): RefuseAction | undefined {
  const waitMs = view.expectedWaitMs(offer);
  const leftMs = offer.deadlineAt - now - view.serviceMs(offer.tokens);
  const full = view.queue.size >= view.settings.maxQueuedRequests;
  const {maxHoldMs} = view.policy;
  if (!full && waitMs <= Math.min(leftMs, maxHoldMs)) return undefined;
  const late = waitMs > leftMs;
  const kind = late ? 'deadlineUnreachable' : 'overloaded';
  const missingMs = Math.max(0, waitMs - Math.min(leftMs, maxHoldMs));
  return makeRefusal(offer.attemptId, kind, {
    retryAfterMs: view.retryAfterMs(offer, missingMs),
  });
}

const CHECKS: readonly Check[] = [
  checkIncarnation,
  checkReady,
  checkDraining,
  checkRevision,
  checkDeadline,
  checkPointer,
  checkWorkspaceLimit,
  checkWait,
];

/**
 * @param offer an attempt that was not seen before
 * @param view the gate's state
 * @param now current time
 * @returns the refusal; undefined when no check fails
 */
export function findRefusal(
  offer: Offer,
  view: RefusalView,
  now: number,
): RefuseAction | undefined {
  for (const check of CHECKS) {
    const refusal = check(offer, view, now);
    if (refusal) return refusal;
  }
  return undefined;
}
