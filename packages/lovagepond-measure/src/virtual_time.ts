/**
 * Virtual time: events run in the order of their times, at no real speed.
 */

interface HeapEntry<Value> {
  readonly key: number;
  /** Keeps items of one key in the order in which they came. */
  readonly order: number;
  readonly value: Value;
}

function precedes(a: HeapEntry<unknown>, b: HeapEntry<unknown>): boolean {
  return a.key < b.key || (a.key === b.key && a.order < b.order);
}

/** A binary heap; items of equal keys leave in the order of their coming. */
export class MinHeap<Value> {
  readonly #items: HeapEntry<Value>[] = [];
  #pushed = 0;

  /** @returns how many values are kept */
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

  /** @returns the value with the smallest key, removed */
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

/** The event queue of one run. */
export class VirtualTime {
  readonly #events = new MinHeap<() => void>();
  #now = 0;
  #ran = 0;

  /** @returns present virtual time, milliseconds */
  get now(): number {
    return this.#now;
  }

  /** @returns how many events have run */
  get ran(): number {
    return this.#ran;
  }

  /**
   * @param time virtual time, not before now
   * @param run what happens then
   */
  at(time: number, run: () => void): void {
    this.#events.push(Math.max(time, this.#now), run);
  }

  /**
   * @param delayMs virtual milliseconds from now
   * @param run what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.at(this.#now + delayMs, run);
  }

  /**
   * @param intervalMs virtual milliseconds between two runs
   * @param startAt time of the first run
   * @param run what happens each time
   */
  every(intervalMs: number, startAt: number, run: () => void): void {
    this.at(startAt, () => {
      run();
      this.every(intervalMs, startAt + intervalMs, run);
    });
  }

  /** @param end runs all events up to this time */
  runUntil(end: number): void {
    while (this.#events.leastKey <= end) {
      this.#now = this.#events.leastKey;
      this.#ran++;
      this.#events.pop()?.();
    }
    this.#now = end;
  }
}
