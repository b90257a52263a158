/**
 * Rates of offered and dispatched work by flow, and the max-min fair share of
 * each flow. A flow is a workspace at a priority.
 */
import {type WeightOf} from './load_fair_queue.js';

/**
 * Time constant of the rates, milliseconds. With 1,000 ms, small workspaces
 * seemed to exceed their share at gateways with few requests.
 */
const TIME_CONSTANT_MS = 2_000;
/** Rates of a shorter time would be dominated by single requests. */
const MIN_ELAPSED_MS = 100;
const MAX_FLOWS = 1_024;
/** Shares are computed at most this often, milliseconds. */
const SHARES_INTERVAL_MS = 50;
/** Offered work above the dispatched work by this factor is an overload. */
const OVERLOAD_FACTOR = 1.05;

/** Exponentially decaying sums of work, milliseconds. */
interface FlowWork {
  readonly workspace: string;
  readonly priority: number;
  offeredMs: number;
  sentMs: number;
  at: number;
  /** Share as work per millisecond; Infinity when nothing limits it. */
  share: number;
}

function decay(flow: FlowWork, now: number): void {
  const factor = Math.exp(-Math.max(0, now - flow.at) / TIME_CONSTANT_MS);
  flow.offeredMs *= factor;
  flow.sentMs *= factor;
  flow.at = Math.max(now, flow.at);
}

/** Names a flow: a workspace at a priority. */
export function flowKey(workspace: string, priority: number): string {
  return `${priority}/${workspace}`;
}

/** Work rates and fair shares of the flows of one pool at one gateway. */
export class FlowRates {
  #weightOf: WeightOf = () => 1;
  #lowerPriorityPart: number;
  readonly #flows = new Map<string, FlowWork>();
  #startedAt: number | undefined;
  #sharesAt = -Infinity;
  /** Whether a flow is offered more than its share. */
  #overloaded = false;

  /** @param lowerPriorityPart least part of the dispatches for lower priorities */
  constructor(lowerPriorityPart: number) {
    this.#lowerPriorityPart = lowerPriorityPart;
  }

  /**
   * @param weightOf bounded weights of the workspaces
   * @param lowerPriorityPart least part of the dispatches for lower priorities
   */
  configure(weightOf: WeightOf, lowerPriorityPart: number): void {
    this.#weightOf = weightOf;
    this.#lowerPriorityPart = lowerPriorityPart;
  }

  /**
   * @param workspace the flow's workspace
   * @param priority the flow's priority
   * @param workMs work of a request that arrives, milliseconds
   * @param now current time
   */
  noteOffered(
    workspace: string,
    priority: number,
    workMs: number,
    now: number,
  ): void {
    this.#flow(workspace, priority, now).offeredMs += workMs;
  }

  /**
   * @param workspace the flow's workspace
   * @param priority the flow's priority
   * @param workMs work of a request that is sent, milliseconds
   * @param now current time
   */
  noteSent(
    workspace: string,
    priority: number,
    workMs: number,
    now: number,
  ): void {
    this.#flow(workspace, priority, now).sentMs += workMs;
  }

  /**
   * @param workspace the flow's workspace
   * @param priority the flow's priority
   * @param now current time
   * @returns work that the flow can expect to be dispatched, milliseconds of
   *     work per millisecond: its share, or what was dispatched if that is more
   */
  rate(workspace: string, priority: number, now: number): number {
    this.#updateShares(now);
    const {sentMs, share} = this.#flow(workspace, priority, now);
    const sent = sentMs / this.#spanMs(now);
    return share < Infinity ? Math.max(sent, share) : sent;
  }

  /**
   * @param workspace the flow's workspace
   * @param priority the flow's priority
   * @param now current time
   * @returns true when other flows are offered more than their share and this
   *     one isn't, so that it isn't a cause of the overload
   */
  isUnderShare(workspace: string, priority: number, now: number): boolean {
    this.#updateShares(now);
    if (!this.#overloaded) return false;
    const {offeredMs, share} = this.#flow(workspace, priority, now);
    return offeredMs / this.#spanMs(now) < share;
  }

  /**
   * Computes the shares anew when they are due. The dispatches that higher
   * priorities leave are shared by weighted max-min fairness between the
   * workspaces of a priority.
   */
  #updateShares(now: number): void {
    if (now - this.#sharesAt < SHARES_INTERVAL_MS) return;
    this.#sharesAt = now;
    const spanMs = this.#spanMs(now);
    const byPriority = new Map<number, FlowWork[]>();
    let totalMs = 0;
    for (const flow of this.#flows.values()) {
      decay(flow, now);
      totalMs += flow.sentMs;
      const list = byPriority.get(flow.priority) ?? [];
      list.push(flow);
      byPriority.set(flow.priority, list);
    }
    let leftMs = totalMs;
    this.#overloaded = false;
    for (const priority of [...byPriority.keys()].sort((a, b) => b - a)) {
      const flows = byPriority.get(priority) ?? [];
      const availableMs = Math.max(leftMs, this.#lowerPriorityPart * totalMs);
      const level = shareOut(flows, availableMs, spanMs, this.#weightOf);
      this.#overloaded ||= level < Infinity;
      for (const {sentMs} of flows) leftMs -= sentMs;
    }
  }

  #spanMs(now: number): number {
    this.#startedAt ??= now;
    const elapsed = Math.max(MIN_ELAPSED_MS, now - this.#startedAt);
    return TIME_CONSTANT_MS * (1 - Math.exp(-elapsed / TIME_CONSTANT_MS));
  }

  #flow(workspace: string, priority: number, now: number): FlowWork {
    const key = flowKey(workspace, priority);
    let flow = this.#flows.get(key);
    if (flow) {
      decay(flow, now);
    } else {
      if (this.#flows.size >= MAX_FLOWS) this.#evict(now);
      flow = {
        ...{workspace, priority, at: now},
        ...{offeredMs: 0, sentMs: 0, share: Infinity},
      };
      this.#flows.set(key, flow);
    }
    return flow;
  }

  /** Removes the flows with less than the mean offered work. */
  #evict(now: number): void {
    let sum = 0;
    for (const flow of this.#flows.values()) {
      decay(flow, now);
      sum += flow.offeredMs;
    }
    const mean = sum / this.#flows.size;
    for (const [key, flow] of this.#flows) {
      if (flow.offeredMs <= mean) this.#flows.delete(key);
    }
  }
}

/**
 * Sets the shares of the flows of one priority.
 *
 * @returns work of a flow of weight 1; Infinity when all flows get what they
 *     are offered
 */
function shareOut(
  flows: readonly FlowWork[],
  availableMs: number,
  spanMs: number,
  weightOf: WeightOf,
): number {
  const demands = flows.map(flow => {
    const weight = weightOf(flow.workspace);
    return {flow, weight, level: flow.offeredMs / weight};
  });
  demands.sort((a, b) => a.level - b.level);
  let leftMs = availableMs;
  let weights = demands.reduce((sum, {weight}) => sum + weight, 0);
  let level = Infinity;
  for (const demand of demands) {
    if (demand.level * weights > leftMs * OVERLOAD_FACTOR) {
      level = leftMs / weights;
      break;
    }
    leftMs -= demand.flow.offeredMs;
    weights -= demand.weight;
  }
  for (const {flow, weight} of demands) {
    flow.share = (Math.max(0, level) * weight) / spanMs;
  }
  return level;
}
