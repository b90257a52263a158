/**
 * Deficit round robin between workspaces, counted in tokens.
 *
 * Each round gives every waiting workspace its share. A surge of one workspace
 * therefore delays its own requests, and a quiet workspace waits at most one
 * round.
 */
import {
  DEFAULT_WORKSPACE_SHARE,
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
export interface HeldRequest {
  readonly offer: Offer;
  readonly heldAt: number;
  /** Time from which the request can no longer be served in time. */
  readonly giveUpAt: number;
}

/** Queued requests of one workspace, one list per priority. */
class Flow {
  readonly #lists = new Map<number, Map<string, HeldRequest>>();
  readonly share: number;
  readonly limitTokens: number;
  deficit = 0;
  /** Whether the flow has received the quantum of this round. */
  granted = false;
  tokens = 0;

  constructor(share: WorkspaceShare) {
    this.share = effectiveShare(share);
    this.limitTokens = share.maxQueuedTokens;
  }

  add(held: HeldRequest): void {
    const priority = clampPriority(held.offer.priority);
    const list = this.#lists.get(priority) ?? new Map<string, HeldRequest>();
    list.set(held.offer.attemptId, held);
    this.#lists.set(priority, list);
    this.tokens += held.offer.tokens;
  }

  remove(held: HeldRequest): void {
    const list = this.#lists.get(clampPriority(held.offer.priority));
    if (list?.delete(held.offer.attemptId)) this.tokens -= held.offer.tokens;
  }

  head(): HeldRequest | undefined {
    for (let priority = HIGHEST_PRIORITY; priority >= 0; priority -= 1) {
      const list = this.#lists.get(priority);
      if (!list || list.size === 0) continue;
      return list.values().next().value;
    }
    return undefined;
  }

  /** Tokens that are served before a new request of this priority. */
  tokensBefore(priority: number): number {
    if (priority <= 0) return this.tokens;
    let tokens = this.tokens;
    for (const [other, list] of this.#lists) {
      if (other >= priority) continue;
      for (const held of list.values()) tokens -= held.offer.tokens;
    }
    return tokens;
  }

  /** Yields the queued requests in the order in which they will be served. */
  *inOrder(): Generator<HeldRequest> {
    for (let priority = HIGHEST_PRIORITY; priority >= 0; priority -= 1) {
      yield* this.#lists.get(priority)?.values() ?? [];
    }
  }
}

function clampPriority(priority: number): number {
  return Math.max(0, Math.min(HIGHEST_PRIORITY, Math.round(priority)));
}

function effectiveShare(share: WorkspaceShare): number {
  const steps = clampPriority(share.priority) - NEUTRAL_PRIORITY;
  return share.weight * 2 ** (steps / PRIORITY_STEPS_PER_DOUBLING);
}

export class SidecarFairQueue {
  #shares: ReadonlyMap<string, WorkspaceShare> = new Map();
  readonly #held = new Map<string, HeldRequest>();
  /** Workspaces with queued requests; the first one is served next. */
  #flows = new Map<string, Flow>();
  #tokens = 0;

  /** @returns tokens of all queued requests */
  get tokens(): number {
    return this.#tokens;
  }

  /** @returns number of queued requests */
  get size(): number {
    return this.#held.size;
  }

  /**
   * Applies new shares; queued requests keep their position within their
   * workspace.
   *
   * @param shares share of each configured workspace
   */
  configure(shares: ReadonlyMap<string, WorkspaceShare>): void {
    this.#shares = shares;
    const former = this.#flows;
    this.#flows = new Map();
    for (const [workspace, flow] of former) {
      const next = new Flow(this.shareFor(workspace));
      for (const held of flow.inOrder()) next.add(held);
      next.deficit = flow.deficit;
      this.#flows.set(workspace, next);
    }
  }

  /**
   * @param workspace a workspace's name
   * @returns its share, or the default one
   */
  shareFor(workspace: string): WorkspaceShare {
    return this.#shares.get(workspace) ?? DEFAULT_WORKSPACE_SHARE;
  }

  /** @param held a request to add at the end of its workspace's queue */
  push(held: HeldRequest): void {
    const {attemptId, workspace, tokens} = held.offer;
    const flow =
      this.#flows.get(workspace) ?? new Flow(this.shareFor(workspace));
    flow.add(held);
    this.#flows.set(workspace, flow);
    this.#held.set(attemptId, held);
    this.#tokens += tokens;
  }

  /**
   * @param attemptId a queued attempt
   * @returns the request, removed from the queue; undefined when not queued
   */
  remove(attemptId: string): HeldRequest | undefined {
    const held = this.#held.get(attemptId);
    if (!held) return undefined;
    const {workspace, tokens} = held.offer;
    const flow = this.#flows.get(workspace);
    flow?.remove(held);
    // An idle workspace keeps no deficit: accumulated credit would allow a
    // burst later.
    if (flow && flow.tokens <= 0 && !flow.head()) this.#flows.delete(workspace);
    this.#held.delete(attemptId);
    this.#tokens -= tokens;
    return held;
  }

  /** @returns the request to serve next, still in the queue */
  peek(): HeldRequest | undefined {
    let skipped = 0;
    for (;;) {
      const first = this.#flows.entries().next();
      if (first.done) return undefined;
      const [workspace, flow] = first.value;
      const head = flow.head();
      if (!head) {
        this.#flows.delete(workspace);
        continue;
      }
      if (!flow.granted) {
        flow.deficit += QUANTUM_TOKENS * flow.share;
        flow.granted = true;
      }
      if (head.offer.tokens <= flow.deficit) return head;
      flow.granted = false;
      this.#flows.delete(workspace);
      this.#flows.set(workspace, flow);
      skipped += 1;
      if (skipped % this.#flows.size === 0) this.#skipEmptyRounds();
    }
  }

  /** @returns the request to serve, removed and charged to its workspace */
  pop(): HeldRequest | undefined {
    const head = this.peek();
    if (!head) return undefined;
    const flow = this.#flows.get(head.offer.workspace);
    if (flow) flow.deficit -= head.offer.tokens;
    return this.remove(head.offer.attemptId);
  }

  /**
   * Estimates the work served before a request that arrives now, as if all
   * workspaces were served in parallel by their shares.
   *
   * @param workspace workspace of the request
   * @param priority its priority within the workspace
   * @param tokens its own tokens
   * @returns tokens served first
   */
  tokensAhead(workspace: string, priority: number, tokens: number): number {
    const own = this.#flows.get(workspace);
    const before = own?.tokensBefore(clampPriority(priority)) ?? 0;
    const share = own?.share ?? effectiveShare(this.shareFor(workspace));
    return before + this.#tokensOfOthers(workspace, share, before + tokens);
  }

  /**
   * Visits the queued requests with the work that is served before each.
   *
   * @param visit called with a request and the tokens ahead of it; returns
   *     false when the request will not be served, so that it does not delay
   *     later ones
   */
  forEachWithTokensAhead(
    visit: (held: HeldRequest, tokensAhead: number) => boolean,
  ): void {
    for (const [workspace, flow] of this.#flows) {
      let before = 0;
      for (const held of flow.inOrder()) {
        const {tokens} = held.offer;
        const others = this.#tokensOfOthers(
          workspace,
          flow.share,
          before + tokens,
        );
        if (visit(held, before + others)) before += tokens;
      }
    }
  }

  /**
   * @param workspace a workspace's name
   * @returns its queued tokens
   */
  tokensOf(workspace: string): number {
    return this.#flows.get(workspace)?.tokens ?? 0;
  }

  /** @returns the queued requests in order of arrival */
  values(): IterableIterator<HeldRequest> {
    return this.#held.values();
  }

  #tokensOfOthers(workspace: string, share: number, own: number): number {
    let tokens = 0;
    for (const [name, flow] of this.#flows) {
      if (name === workspace) continue;
      tokens += Math.min(flow.tokens, (own * flow.share) / share);
    }
    return tokens;
  }

  /** Adds the quanta of rounds without a servable request at once. */
  #skipEmptyRounds(): void {
    let rounds = Infinity;
    for (const flow of this.#flows.values()) {
      const missing = (flow.head()?.offer.tokens ?? 0) - flow.deficit;
      const needed = Math.ceil(missing / (QUANTUM_TOKENS * flow.share));
      rounds = Math.min(rounds, needed - 1);
    }
    if (rounds <= 0 || rounds === Infinity) return;
    for (const flow of this.#flows.values()) {
      flow.deficit += rounds * QUANTUM_TOKENS * flow.share;
    }
  }
}
