/**
 * Creates the components of a gate and derives views of them.
 */
import {type Random} from '@lovagepond/core';
import {RetryAdvice} from '@lovagepond/load';
import {SidecarAdmission} from './sidecar_admission.js';
import {SidecarAttempts} from './sidecar_attempts.js';
import {SidecarCacheIndex} from './sidecar_cache_index.js';
import {SidecarDrain} from './sidecar_drain.js';
import {type RefusalView} from './sidecar_gate_refusals.js';
import {SidecarHold} from './sidecar_hold.js';
import {SidecarPointers} from './sidecar_pointers.js';
import {SidecarRuns} from './sidecar_runs.js';
import {
  DEFAULT_GATE_POLICY,
  type GateLoad,
  type GatePolicy,
  type GateSettings,
  type Offer,
} from './sidecar_types.js';

const MIN_RETRY_MS = 200;

/** Components of a gate, each with one responsibility. */
export interface GateComponents {
  readonly settings: GateSettings;
  readonly admission: SidecarAdmission;
  readonly attempts: SidecarAttempts;
  readonly cache: SidecarCacheIndex;
  readonly drain: SidecarDrain;
  readonly hold: SidecarHold;
  readonly pointers: SidecarPointers;
  readonly advice: RetryAdvice;
  readonly runs: SidecarRuns;
}

/** State of the gate that operators and the sidecar role set. */
export interface GateMode {
  readonly policy: GatePolicy;
  /** Configuration revision of the policy. */
  readonly revision: number;
  /** Why new work is refused; undefined when it is accepted. */
  readonly notReady: string | undefined;
  /** When new work is accepted again; undefined when it is unknown. */
  readonly readyAt: number | undefined;
}

/** Mode before the first configuration. */
export const INITIAL_GATE_MODE: GateMode = Object.freeze({
  policy: DEFAULT_GATE_POLICY,
  revision: 0,
  notReady: undefined,
  readyAt: undefined,
});

/**
 * @param settings the sidecar's own settings
 * @param random spreads the retry times of refused callers
 * @returns the components of a new gate
 */
export function makeGateComponents(
  settings: GateSettings,
  random: Random,
): GateComponents {
  const {loadBound, prefillTokensPerSecond, decodeTokensPerSecond} =
    DEFAULT_GATE_POLICY;
  const admission = new SidecarAdmission(settings, loadBound);
  const drain = new SidecarDrain();
  // The mix of prompt and answer tokens is unknown before the first run, so the
  // initial rate is the mean of both rates.
  const rate = (prefillTokensPerSecond + decodeTokensPerSecond) / 2;
  const hold = new SidecarHold(admission, drain, rate);
  return {
    settings,
    admission,
    drain,
    hold,
    attempts: new SidecarAttempts(settings),
    cache: new SidecarCacheIndex(settings.maxChats),
    pointers: new SidecarPointers(settings),
    advice: new RetryAdvice(MIN_RETRY_MS, random),
    runs: new SidecarRuns(admission),
  };
}

/**
 * @param components components of a gate
 * @param offer a refused request
 * @param missingMs time by which its expected wait exceeds the limit,
 *     milliseconds
 * @param now current time
 * @returns time until the caller should retry, milliseconds
 */
export function retryAfterMs(
  {advice, hold}: GateComponents,
  {workspace, tokens}: Offer,
  missingMs: number,
  now: number,
): number {
  const drainMs = hold.estimate.waitMs(tokens);
  return advice.retryAfterMs(workspace, drainMs, missingMs, now);
}

/**
 * @param components components of a gate
 * @param mode current mode of the gate
 * @param now current time
 * @returns the state that the checks of an offer read
 */
export function makeRefusalView(
  components: GateComponents,
  mode: GateMode,
  now: number,
): RefusalView {
  const {settings, hold, cache, pointers, runs, drain} = components;
  const {policy, revision, notReady, readyAt} = mode;
  return {
    policy,
    revision,
    notReady,
    readyAt,
    settings,
    cache,
    pointers,
    draining: drain.draining,
    queue: hold.queue,
    runningTokensOf: workspace => runs.tokensOf(workspace),
    expectedWaitMs: offer => hold.expectedWaitMs(offer, now),
    serviceMs: tokens => hold.estimate.serviceMs(tokens),
    retryAfterMs: (offer, missingMs) =>
      retryAfterMs(components, offer, missingMs, now),
  };
}

/**
 * @param components components of a gate
 * @param now current time
 * @returns the load to announce
 */
export function readGateLoad(
  components: GateComponents,
  now: number,
): GateLoad {
  const {admission, hold} = components;
  return {
    runningTokens: Math.round(admission.runningTokens(now)),
    queuedTokens: hold.queue.cost,
    queuedRequests: hold.queue.size,
  };
}

/**
 * @param components components of a gate
 * @param mode current mode of the gate
 * @param now current time
 * @returns the gate's state for an operator
 */
export function dumpGate(
  components: GateComponents,
  mode: GateMode,
  now: number,
): Readonly<Record<string, unknown>> {
  const {admission, hold, runs, attempts, cache, pointers, drain} = components;
  return {
    ...readGateLoad(components, now),
    limitTokens: Math.round(admission.limitTokens(now)),
    capacityTokens: admission.capacityTokens,
    poolMeanTokens: Math.round(admission.poolMeanTokens(now)),
    tokensPerSecond: Math.round(hold.estimate.tokensPerSecond),
    runs: runs.size,
    attempts: attempts.size,
    chats: cache.size,
    pointers: pointers.size,
    draining: drain.draining,
    notReady: mode.notReady ?? '',
    revision: mode.revision,
  };
}
