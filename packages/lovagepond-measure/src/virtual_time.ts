/**
 * The virtual clock and event queue of a discrete-event simulation.
 */

interface HeapEntry<Value> {
  readonly key: number;
  /** Insertion order, which breaks ties between equal keys. */
  readonly order: number;
  readonly value: Value;
}

function precedes(a: HeapEntry<unknown>, b: HeapEntry<unknown>): boolean {
  return a.key < b.key || (a.key === b.key && a.order < b.order);
}

/** A binary heap; entries with equal keys leave in insertion order. */
export class MinHeap<Value> {
  readonly #items: HeapEntry<Value>[] = [];
  #pushed = 0;

  /** @returns the number of values */
  get size(): number {
    return this.#items.length;
  }

  /** @returns the smallest key; Infinity when empty */
  get leastKey(): number {
    return this.#items[0]?.key ?? Infinity;
  }

  push(key: number, value: Value): void {
    const item = {key, order: this.#pushed++, value};
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = items[parent] as HeapEntry<Value>;
      if (!precedes(item, above)) break;
      items[index] = above;
      index = parent;
    }
    items[index] = item;
  }

  /** Removes and returns the value with the smallest key. */
  pop(): Value | undefined {
    const items = this.#items;
    const top = items[0];
    const last = items.pop();
    if (!top || !last) return undefined;
    if (items.length > 0) this.#sinkFromTop(last);
    return top.value;
  }

  #sinkFromTop(item: HeapEntry<Value>): void {
    const items = this.#items;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = items[child + 1];
      const left = items[child] as HeapEntry<Value>;
      if (right && precedes(right, left)) child++;
      const least = items[child] as HeapEntry<Value>;
      if (!precedes(least, item)) break;
      items[index] = least;
      index = child;
    }
    items[index] = item;
  }
}

/** The virtual clock and event queue of one simulation. */
export class VirtualTime {
  readonly #events = new MinHeap<() => void>();
  #now = 0;
  #ran = 0;

  /** @returns the current virtual time, milliseconds */
  get now(): number {
    return this.#now;
  }

  /** @returns the number of events run so far */
  get ran(): number {
    return this.#ran;
  }

  /**
   * @param time virtual time of the event, ms; a past time counts as now
   * @param run callback of the event
   */
  at(time: number, run: () => void): void {
    this.#events.push(Math.max(time, this.#now), run);
  }

  /**
   * @param delayMs virtual milliseconds from now
   * @param run callback of the event
   */
  after(delayMs: number, run: () => void): void {
    this.at(this.#now + delayMs, run);
  }

  /**
   * @param intervalMs virtual milliseconds between two calls
   * @param startAt virtual time of the first call, milliseconds
   * @param run callback
   */
  every(intervalMs: number, startAt: number, run: () => void): void {
    this.at(startAt, () => {
      run();
      this.every(intervalMs, startAt + intervalMs, run);
    });
  }

  /** @param end virtual time up to which events are run, milliseconds */
  runUntil(end: number): void {
    while (this.#events.leastKey <= end) {
      this.#now = this.#events.leastKey;
      this.#ran++;
      this.#events.pop()?.();
    }
    this.#now = end;
  }
}
