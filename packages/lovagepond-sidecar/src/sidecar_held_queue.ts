/**
 * Queue of held requests: fair between workspaces, counted in tokens.
 */
import {FairQueue, type FairQueueItem, type WeightOf} from '@lovagepond/load';
import {
  DEFAULT_WORKSPACE_SHARE,
  type GatePolicy,
  type Offer,
  type WorkspaceShare,
} from './sidecar_types.js';

/** About one short request; with more, quiet workspaces would wait longer. */
const QUANTUM_TOKENS = 1_024;
const NEUTRAL_PRIORITY = 5;
const HIGHEST_PRIORITY = 9;
/** Two steps of priority double a workspace's share. */
const PRIORITY_STEPS_PER_DOUBLING = 2;

/** A request in the queue. */
export interface HeldRequest extends FairQueueItem {
  readonly offer: Offer;
  readonly heldAt: number;
  /** Time from which the request can no longer be served in time. */
  readonly giveUpAt: number;
}

/** Held requests; costs are tokens. */
export type HeldQueue = FairQueue<HeldRequest>;

/**
 * @param policy the gate's policy
 * @param workspace a workspace's name
 * @returns its share, or the default one
 */
export function shareFor(
  {workspaces}: Pick<GatePolicy, 'workspaces'>,
  workspace: string,
): WorkspaceShare {
  return workspaces.get(workspace) ?? DEFAULT_WORKSPACE_SHARE;
}

function effectiveWeight({weight, priority}: WorkspaceShare): number {
  const clamped = Math.max(0, Math.min(HIGHEST_PRIORITY, Math.round(priority)));
  const steps = clamped - NEUTRAL_PRIORITY;
  return weight * 2 ** (steps / PRIORITY_STEPS_PER_DOUBLING);
}

/**
 * @param policy the gate's policy
 * @returns the workspaces' weights in the queue
 */
export function weightsOf(policy: Pick<GatePolicy, 'workspaces'>): WeightOf {
  return workspace => effectiveWeight(shareFor(policy, workspace));
}

/** @returns an empty queue with equal weights */
export function makeHeldQueue(): HeldQueue {
  return new FairQueue(QUANTUM_TOKENS, weightsOf({workspaces: new Map()}));
}

/**
 * @param offer a request to hold
 * @param heldAt current time
 * @param giveUpAt time from which it can no longer be served in time
 * @returns the queue's item
 */
export function makeHeldRequest(
  offer: Offer,
  heldAt: number,
  giveUpAt: number,
): HeldRequest {
  const {attemptId: id, workspace, priority, tokens: cost} = offer;
  return {id, workspace, priority, cost, offer, heldAt, giveUpAt};
}
