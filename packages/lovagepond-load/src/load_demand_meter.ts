/**
 * Measures the work that callers offer in one pool, by workspace, and the work
 * that is sent to its servers.
 */
import {WorkRate, WorkspaceWork} from './load_work_rate.js';

/** Limit of workspaces, twice the number at the design size. */
const MAX_WORKSPACES = 1_024;

/** Work that callers offer and that servers receive at one gateway. */
export interface MeasuredDemand {
  /** Work sent to servers, milliseconds of server time per second. */
  readonly servedMsPerS: number;
  /** Work offered, served or not, by workspace; in the same unit. */
  readonly offered: ReadonlyMap<string, number>;
}

/** Demand of one pool at one gateway, averaged over the last second. */
export class DemandMeter {
  readonly #offered: WorkspaceWork;
  readonly #sent = new WorkRate();

  /** @param maxWorkspaces limit; the least recently active one is dropped */
  constructor(maxWorkspaces = MAX_WORKSPACES) {
    this.#offered = new WorkspaceWork(maxWorkspaces);
  }

  /** Number of workspaces in memory. */
  get size(): number {
    return this.#offered.size;
  }

  /**
   * Counts a request on its arrival. Implausible work is ignored.
   *
   * @param workspace the workspace; empty on public routes
   * @param workMs the request's work, milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  noteOffered(workspace: string, workMs: number, now: number): void {
    this.#offered.add(workspace, workMs, now);
  }

  /**
   * Counts a request that is sent to a server. Implausible work is ignored.
   *
   * @param workMs the request's work, milliseconds of server time
   * @param now current time, monotonic milliseconds
   */
  noteSent(workMs: number, now: number): void {
    this.#sent.add(workMs, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the demand; only workspaces that offered work
   */
  read(now: number): MeasuredDemand {
    const offered = this.#offered.read(now);
    return {servedMsPerS: this.#sent.read(now), offered};
  }
}
