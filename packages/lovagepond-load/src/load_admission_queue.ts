/**
 * Requests that wait at the gateway for a server of one pool.
 *
 * Higher priorities go first, except for a part of the dispatches kept for
 * lower ones. Within a priority, workspaces take turns; within a workspace, the
 * request goes first whose latest start time comes first. Late requests are
 * dispatched only while nothing else waits.
 */
import {FairQueue, type WeightOf} from './load_fair_queue.js';
import {
  type AdmissionRefusalReason,
  type AdmissionRequest,
} from './load_types.js';

const HIGHEST_PRIORITY = 9;
/**
 * Work per round of a workspace of weight 1, milliseconds: less than a request,
 * so that workspaces alternate whatever the work of their requests.
 */
const QUANTUM_MS = 1;
/** Least work of a request, so that unknown work also takes turns. */
const MIN_COST_MS = 0.01;
/** Weights outside of this range would serve a workspace in bursts. */
const MIN_WEIGHT = 1 / 1_024;
const MAX_WEIGHT = 1_024;
/** Credit is bounded, as lower priorities may lack an open server. */
const MAX_CREDIT_REQUESTS = 4;
/** Requests that are tried when the first one has no open server. */
const MAX_CANDIDATES = 8;

/** A waiting request. */
export interface QueuedRequest<R extends AdmissionRequest> {
  readonly id: string;
  readonly workspace: string;
  readonly priority: number;
  readonly cost: number;
  /** Latest start in target; of a late request, latest start by its deadline. */
  readonly dueAt: number;
  readonly req: R;
  readonly queuedAt: number;
  readonly latestStartAt: number;
  readonly deadlineStartAt: number;
  /** Why it is refused if it can't start. */
  readonly reason: AdmissionRefusalReason;
}

/** @returns a priority as an integer from 0 to 9 */
export function clampPriority(priority: number): number {
  return Math.max(0, Math.min(HIGHEST_PRIORITY, Math.round(priority) || 0));
}

/** @returns the weights within the range in which workspaces alternate */
export function boundWeights(weightOf: WeightOf): WeightOf {
  return workspace => {
    const weight = weightOf(workspace);
    return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight || MIN_WEIGHT));
  };
}

/** Waiting requests of one pool at one gateway. */
export class AdmissionQueue<R extends AdmissionRequest> {
  #weightOf: WeightOf = () => 1;
  #lowerPriorityPart: number;
  /** Requests that can be in target, by priority. */
  readonly #levels: (FairQueue<QueuedRequest<R>> | undefined)[] = [];
  readonly #late = new FairQueue<QueuedRequest<R>>(QUANTUM_MS);
  /** Work that lower priorities may do before this one, by priority. */
  readonly #credits: number[] = Array<number>(HIGHEST_PRIORITY + 1).fill(0);
  readonly #queued = new Map<string, QueuedRequest<R>>();
  #bytes = 0;
  #inTime = 0;

  /** @param lowerPriorityPart part of the dispatches for lower priorities */
  constructor(lowerPriorityPart: number) {
    this.#lowerPriorityPart = lowerPriorityPart;
  }

  /** @returns number of waiting requests, late ones included */
  get size(): number {
    return this.#queued.size;
  }

  /** @returns number of waiting requests that can be in target */
  get inTime(): number {
    return this.#inTime;
  }

  /** @returns bytes of the waiting requests */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * @param weightOf bounded weights of the workspaces
   * @param lowerPriorityPart part of the dispatches for lower priorities
   */
  configure(weightOf: WeightOf, lowerPriorityPart: number): void {
    this.#weightOf = weightOf;
    this.#lowerPriorityPart = lowerPriorityPart;
    this.#late.configure(this.#weightOf);
    for (const level of this.#levels) level?.configure(this.#weightOf);
  }

  /**
   * @param workspace a workspace's name
   * @param priority a priority
   * @returns work that waits there, without late requests, milliseconds
   */
  costOf(workspace: string, priority: number): number {
    return this.#levels[priority]?.costOf(workspace) ?? 0;
  }

  /** @param queued a request that can be in target */
  push(queued: QueuedRequest<R>): void {
    const {priority, cost, latestStartAt} = queued;
    const level =
      this.#levels[priority] ?? new FairQueue(QUANTUM_MS, this.#weightOf);
    this.#levels[priority] = level;
    const item = {
      ...queued,
      cost: Math.max(MIN_COST_MS, cost),
      dueAt: latestStartAt,
    };
    level.push(item);
    this.#inTime += 1;
    this.#add(item);
  }

  /** @param queued a request that can be served only after its target */
  pushLate(queued: QueuedRequest<R>): void {
    const item = {
      ...queued,
      cost: Math.max(MIN_COST_MS, queued.cost),
      dueAt: queued.deadlineStartAt,
    };
    this.#late.push(item);
    this.#add(item);
  }

  /**
   * @param id a request
   * @returns the request, removed; undefined when it doesn't wait
   */
  remove(id: string): QueuedRequest<R> | undefined {
    const queued = this.#queued.get(id);
    if (!queued) return undefined;
    if (this.#levels[queued.priority]?.remove(id)) this.#inTime -= 1;
    else this.#late.remove(id);
    this.#forget(queued);
    return queued;
  }

  /** @returns the requests to try next, a few in the order of service */
  candidates(): QueuedRequest<R>[] {
    if (this.#inTime === 0) return takeFirst(this.#late.candidates());
    const levels = this.#waitingLevels();
    const first = this.#levelToServe(levels);
    const found = takeFirst(this.#levels[first]?.candidates() ?? []);
    for (const priority of levels) {
      if (found.length >= MAX_CANDIDATES) break;
      if (priority === first) continue;
      found.push(...takeFirst(this.#levels[priority]?.candidates() ?? []));
    }
    return found.slice(0, MAX_CANDIDATES);
  }

  /**
   * Removes a request that is sent, and charges its workspace and priority.
   *
   * @param queued a waiting request
   */
  take(queued: QueuedRequest<R>): void {
    const {id, priority, cost} = queued;
    this.#chargePriorities(priority, cost);
    if (this.#levels[priority]?.take(id)) this.#inTime -= 1;
    else this.#late.take(id);
    this.#forget(queued);
  }

  /**
   * @param now current time
   * @returns requests that can't be in target any more, removed
   */
  removeExpired(now: number): QueuedRequest<R>[] {
    const expired = this.#levels.flatMap(level => level?.removeDue(now) ?? []);
    this.#inTime -= expired.length;
    for (const queued of expired) this.#forget(queued);
    return expired;
  }

  /**
   * @param now current time
   * @returns late requests whose deadline can't be met, removed
   */
  removeOverdue(now: number): QueuedRequest<R>[] {
    const overdue = this.#late.removeDue(now);
    for (const queued of overdue) this.#forget(queued);
    return overdue;
  }

  /** @returns the late requests */
  late(): Iterable<QueuedRequest<R>> {
    return this.#late.values();
  }

  /** @returns all waiting requests */
  values(): Iterable<QueuedRequest<R>> {
    return this.#queued.values();
  }

  /** @returns time of the next expiry; Infinity when nothing waits */
  nextDueAt(): number {
    let dueAt = this.#late.nextDueAt();
    for (const level of this.#levels) {
      if (level) dueAt = Math.min(dueAt, level.nextDueAt());
    }
    return dueAt;
  }

  #add(queued: QueuedRequest<R>): void {
    this.#queued.set(queued.id, queued);
    this.#bytes += queued.req.bytes;
  }

  #forget(queued: QueuedRequest<R>): void {
    if (this.#queued.delete(queued.id)) this.#bytes -= queued.req.bytes;
  }

  /** @returns priorities with waiting requests, highest first */
  #waitingLevels(): number[] {
    const levels: number[] = [];
    for (let priority = HIGHEST_PRIORITY; priority >= 0; priority -= 1) {
      if ((this.#levels[priority]?.size ?? 0) > 0) levels.push(priority);
    }
    return levels;
  }

  /** @returns the first priority that lower ones have no credit against */
  #levelToServe(levels: readonly number[]): number {
    for (const [position, priority] of levels.entries()) {
      const lower = levels[position + 1];
      if (lower === undefined) return priority;
      const cost = this.#levels[lower]?.peek()?.cost ?? 0;
      if ((this.#credits[priority] ?? 0) < cost) return priority;
    }
    return 0;
  }

  /** Each dispatch gives lower priorities their part, or uses it up. */
  #chargePriorities(served: number, cost: number): void {
    const part = this.#lowerPriorityPart;
    const levels = this.#waitingLevels();
    const lowest = levels.at(-1) ?? served;
    for (let level = HIGHEST_PRIORITY; level >= served; level -= 1) {
      const limits = lowest < level && levels.includes(level);
      const earned = level > served ? -cost * (1 - part) : cost * part;
      const credit = (this.#credits[level] ?? 0) + earned;
      const most = MAX_CREDIT_REQUESTS * cost;
      this.#credits[level] = limits ? Math.min(most, credit) : 0;
    }
  }
}

function takeFirst<Item>(items: Iterable<Item>): Item[] {
  const found: Item[] = [];
  for (const item of items) {
    if (found.length >= MAX_CANDIDATES) break;
    found.push(item);
  }
  return found;
}
