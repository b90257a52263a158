/**
 * Deficit round robin between workspaces, counted in units of cost.
 *
 * Each round gives every waiting workspace its share. A surge of one workspace
 * therefore delays its own requests, and a quiet workspace waits at most one
 * round.
 */

const HIGHEST_PRIORITY = 9;

/** What the queue reads of a request. */
export interface FairQueueItem {
  /** Unique in the queue. */
  readonly id: string;
  readonly workspace: string;
  /** Priority within the workspace, 0 to 9; 9 is served first. */
  readonly priority: number;
  /** Work of the request, in the unit of the quantum. */
  readonly cost: number;
  /**
   * Order within workspace and priority, lowest first; without it, the order of
   * arrival.
   */
  readonly dueAt?: number;
}

/** @returns a workspace's weight, above 0 */
export type WeightOf = (workspace: string) => number;

interface Entry<Item> {
  readonly item: Item;
  readonly dueAt: number;
  /** Orders entries with the same `dueAt` by arrival. */
  readonly sequence: number;
}

function precedes<Item>(entry: Entry<Item>, other: Entry<Item>): boolean {
  if (entry.dueAt !== other.dueAt) return entry.dueAt < other.dueAt;
  return entry.sequence < other.sequence;
}

/** @returns position of the first entry that does not precede `entry` */
function findPosition<Item>(
  list: readonly Entry<Item>[],
  entry: Entry<Item>,
): number {
  const last = list.at(-1);
  if (!last || precedes(last, entry)) return list.length;
  let low = 0;
  let high = list.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (precedes(list[middle] as Entry<Item>, entry)) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Queued items of one workspace, one sorted list per priority. */
class Flow<Item extends FairQueueItem> {
  readonly #lists = new Map<number, Entry<Item>[]>();
  weight: number;
  deficit = 0;
  /** Whether the flow has received the quantum of this round. */
  granted = false;
  cost = 0;

  constructor(weight: number) {
    this.weight = weight;
  }

  add(entry: Entry<Item>): void {
    const priority = clampPriority(entry.item.priority);
    const list = this.#lists.get(priority) ?? [];
    list.splice(findPosition(list, entry), 0, entry);
    this.#lists.set(priority, list);
    this.cost += entry.item.cost;
  }

  remove(entry: Entry<Item>): void {
    const list = this.#lists.get(clampPriority(entry.item.priority));
    const position = list ? findPosition(list, entry) : 0;
    if (!list || list[position] !== entry) return;
    list.splice(position, 1);
    this.cost -= entry.item.cost;
  }

  head(): Item | undefined {
    for (let priority = HIGHEST_PRIORITY; priority >= 0; priority -= 1) {
      const first = this.#lists.get(priority)?.[0];
      if (first) return first.item;
    }
    return undefined;
  }

  last(): Item | undefined {
    for (let priority = 0; priority <= HIGHEST_PRIORITY; priority += 1) {
      const last = this.#lists.get(priority)?.at(-1);
      if (last) return last.item;
    }
    return undefined;
  }

  /** @returns the heads of the priorities' lists, which are due first */
  *firstDue(): Generator<Entry<Item>> {
    for (const list of this.#lists.values()) {
      if (list[0]) yield list[0];
    }
  }

  /** @returns cost of what is served before a new item of this priority */
  costBefore(priority: number): number {
    if (priority <= 0) return this.cost;
    let cost = this.cost;
    for (const [other, list] of this.#lists) {
      if (other >= priority) continue;
      for (const {item} of list) cost -= item.cost;
    }
    return cost;
  }

  /** Yields the queued items in the order in which they will be served. */
  *inOrder(): Generator<Item> {
    for (let priority = HIGHEST_PRIORITY; priority >= 0; priority -= 1) {
      for (const {item} of this.#lists.get(priority) ?? []) yield item;
    }
  }
}

function clampPriority(priority: number): number {
  return Math.max(0, Math.min(HIGHEST_PRIORITY, Math.round(priority)));
}

/** Weighted fair queue of the requests of all workspaces. */
export class FairQueue<Item extends FairQueueItem> {
  readonly #quantum: number;
  #weightOf: WeightOf;
  readonly #entries = new Map<string, Entry<Item>>();
  /** Workspaces with queued items; the first one is served next. */
  readonly #flows = new Map<string, Flow<Item>>();
  #cost = 0;
  #sequence = 0;

  /**
   * @param quantum cost that a workspace of weight 1 gets per round; about one
   *     short request, as quiet workspaces would wait longer with more
   * @param weightOf weights of the workspaces
   */
  constructor(quantum: number, weightOf: WeightOf = () => 1) {
    this.#quantum = quantum;
    this.#weightOf = weightOf;
  }

  /** @returns cost of all queued items */
  get cost(): number {
    return this.#cost;
  }

  /** @returns number of queued items */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Applies new weights; queued items keep their position within their
   * workspace.
   *
   * @param weightOf weights of the workspaces
   */
  configure(weightOf: WeightOf): void {
    this.#weightOf = weightOf;
    for (const [workspace, flow] of this.#flows) {
      flow.weight = weightOf(workspace);
      flow.granted = false;
    }
  }

  /** @param item an item to add */
  push(item: Item): void {
    const {id, workspace, cost, dueAt = 0} = item;
    this.#sequence += 1;
    const entry = {item, dueAt, sequence: this.#sequence};
    const flow =
      this.#flows.get(workspace) ?? new Flow<Item>(this.#weightOf(workspace));
    flow.add(entry);
    this.#flows.set(workspace, flow);
    this.#entries.set(id, entry);
    this.#cost += cost;
  }

  /**
   * @param id a queued item
   * @returns the item, removed from the queue; undefined when not queued
   */
  remove(id: string): Item | undefined {
    const entry = this.#entries.get(id);
    if (!entry) return undefined;
    const {workspace, cost} = entry.item;
    const flow = this.#flows.get(workspace);
    flow?.remove(entry);
    // An idle workspace keeps no deficit: accumulated credit would allow a
    // burst later.
    if (flow && !flow.head()) this.#flows.delete(workspace);
    this.#entries.delete(id);
    this.#cost = this.#entries.size === 0 ? 0 : this.#cost - cost;
    return entry.item;
  }

  /** @returns the item to serve next, still in the queue */
  peek(): Item | undefined {
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
        flow.deficit += this.#quantum * flow.weight;
        flow.granted = true;
      }
      if (head.cost <= flow.deficit) return head;
      flow.granted = false;
      this.#flows.delete(workspace);
      this.#flows.set(workspace, flow);
      skipped += 1;
      if (skipped % this.#flows.size === 0) this.#skipEmptyRounds();
    }
  }

  /** @returns the item to serve, removed and charged to its workspace */
  pop(): Item | undefined {
    const head = this.peek();
    return head && this.take(head.id);
  }

  /**
   * Serves an item out of turn.
   *
   * @param id a queued item
   * @returns the item, removed and charged to its workspace
   */
  take(id: string): Item | undefined {
    const item = this.#entries.get(id)?.item;
    const flow = item && this.#flows.get(item.workspace);
    if (flow) flow.deficit -= item.cost;
    return this.remove(id);
  }

  /**
   * Yields each workspace's next item, the one to serve next first, then each
   * one's last item.
   */
  *candidates(): Generator<Item> {
    this.peek();
    for (const flow of this.#flows.values()) {
      const head = flow.head();
      if (head) yield head;
    }
    for (const flow of this.#flows.values()) {
      const last = flow.last();
      if (last && last !== flow.head()) yield last;
    }
  }

  /** @returns the lowest `dueAt` in the queue; Infinity when it is empty */
  nextDueAt(): number {
    let dueAt = Infinity;
    for (const flow of this.#flows.values()) {
      for (const entry of flow.firstDue()) dueAt = Math.min(dueAt, entry.dueAt);
    }
    return dueAt;
  }

  /**
   * @param now current time
   * @returns the items with `dueAt` until now, removed from the queue
   */
  removeDue(now: number): Item[] {
    const due: Item[] = [];
    for (const flow of [...this.#flows.values()]) {
      let found = true;
      while (found) {
        found = false;
        for (const {item, dueAt} of [...flow.firstDue()]) {
          if (dueAt > now) continue;
          found = true;
          this.remove(item.id);
          due.push(item);
        }
      }
    }
    return due;
  }

  /**
   * Estimates the work served before an item that arrives now, as if all
   * workspaces were served in parallel by their weights.
   *
   * @param item the arriving item
   * @returns cost of what is served first
   */
  costAhead(item: Omit<FairQueueItem, 'id'>): number {
    const {workspace, priority, cost} = item;
    const own = this.#flows.get(workspace);
    const before = own?.costBefore(clampPriority(priority)) ?? 0;
    const weight = own?.weight ?? this.#weightOf(workspace);
    return before + this.#costOfOthers(workspace, weight, before + cost);
  }

  /**
   * Visits the queued items with the work that is served before each.
   *
   * @param visit called with an item and the cost ahead of it; returns false
   *     when the item will not be served, so that it does not delay later ones
   */
  forEachWithCostAhead(
    visit: (item: Item, costAhead: number) => boolean,
  ): void {
    for (const [workspace, flow] of this.#flows) {
      let before = 0;
      for (const item of flow.inOrder()) {
        const {cost} = item;
        const others = this.#costOfOthers(
          workspace,
          flow.weight,
          before + cost,
        );
        if (visit(item, before + others)) before += cost;
      }
    }
  }

  /**
   * @param workspace a workspace's name
   * @returns cost of its queued items
   */
  costOf(workspace: string): number {
    return this.#flows.get(workspace)?.cost ?? 0;
  }

  /** @returns the queued items in order of arrival */
  *values(): Generator<Item> {
    for (const {item} of this.#entries.values()) yield item;
  }

  #costOfOthers(workspace: string, weight: number, own: number): number {
    let cost = 0;
    for (const [name, flow] of this.#flows) {
      if (name === workspace) continue;
      cost += Math.min(flow.cost, (own * flow.weight) / weight);
    }
    return cost;
  }

  /** Adds the quanta of rounds without a servable item at once. */
  #skipEmptyRounds(): void {
    let rounds = Infinity;
    for (const flow of this.#flows.values()) {
      const missing = (flow.head()?.cost ?? 0) - flow.deficit;
      const needed = Math.ceil(missing / (this.#quantum * flow.weight));
      rounds = Math.min(rounds, needed - 1);
    }
    if (rounds <= 0 || rounds === Infinity) return;
    for (const flow of this.#flows.values()) {
      flow.deficit += rounds * this.#quantum * flow.weight;
    }
  }
}
