/**
 * Work in the last second: in all, and by workspace.
 */
import {isPlausibleWork} from './load_demand.js';

/** Length of the average, milliseconds. */
const WINDOW_MS = 1_000;

/** Parts of the window; the oldest part is dropped as a whole. */
const SLICES = 10;

const SLICE_MS = WINDOW_MS / SLICES;

/** Work per second, averaged over the last second. */
export class WorkRate {
  readonly #slices = new Float64Array(SLICES);
  #slice = 0;

  /**
   * Adds work. Implausible work is ignored.
   *
   * @param workMs milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  add(workMs: number, now: number): void {
    if (!isPlausibleWork(workMs)) return;
    this.#advance(sliceAt(now));
    const at = this.#slice % SLICES;
    this.#slices[at] = (this.#slices[at] ?? 0) + workMs;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns milliseconds of server time per second
   */
  read(now: number): number {
    this.#advance(sliceAt(now));
    const sum = this.#slices.reduce((all, workMs) => all + workMs, 0);
    return (sum * 1_000) / coveredMs(now);
  }

  #advance(slice: number): void {
    if (slice - this.#slice >= SLICES) this.#slices.fill(0);
    else {
      for (let at = this.#slice + 1; at <= slice; at += 1) {
        this.#slices[at % SLICES] = 0;
      }
    }
    this.#slice = Math.max(this.#slice, slice);
  }
}

/** Work per second by workspace. */
export class WorkspaceWork {
  /**
   * Workspaces by name, the latest one at the end. The limit bounds the memory
   * of a gateway whose callers use many names.
   */
  readonly #workspaces = new Map<string, WorkRate>();
  readonly #maxWorkspaces: number;

  /** @param maxWorkspaces limit; the least recently active one is dropped */
  constructor(maxWorkspaces: number) {
    this.#maxWorkspaces = maxWorkspaces;
  }

  /** Number of workspaces in memory. */
  get size(): number {
    return this.#workspaces.size;
  }

  /**
   * Adds work of one workspace. Implausible work is ignored.
   *
   * @param workspace the workspace
   * @param workMs milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  add(workspace: string, workMs: number, now: number): void {
    if (!isPlausibleWork(workMs)) return;
    const rate = this.#workspaces.get(workspace) ?? new WorkRate();
    this.#workspaces.delete(workspace);
    this.#workspaces.set(workspace, rate);
    rate.add(workMs, now);
    if (this.#workspaces.size <= this.#maxWorkspaces) return;
    const [oldest] = this.#workspaces.keys();
    if (oldest !== undefined) this.#workspaces.delete(oldest);
  }

  /**
   * Drops workspaces without work.
   *
   * @param now current time, monotonic milliseconds
   * @returns milliseconds of server time per second, by workspace
   */
  read(now: number): ReadonlyMap<string, number> {
    const rates = new Map<string, number>();
    for (const [workspace, rate] of this.#workspaces) {
      const msPerS = rate.read(now);
      if (msPerS > 0) rates.set(workspace, msPerS);
      else this.#workspaces.delete(workspace);
    }
    return rates;
  }
}

function sliceAt(now: number): number {
  return Math.floor(now / SLICE_MS);
}

/** @returns the time that the slices cover, of which the present is a part */
function coveredMs(now: number): number {
  return WINDOW_MS - SLICE_MS + Math.max(1, now % SLICE_MS);
}
