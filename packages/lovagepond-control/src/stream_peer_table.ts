/**
 * The gateways that keep records of streams for each other, from their reports.
 */
import {type ReadingReport} from './reading_report_log.js';

/** Gateways report their address every two seconds; milliseconds. */
const REPORT_VALID_MS = 9_000;

/** Limit on the length of an address, characters. */
const MAX_ADDRESS_LENGTH = 64;

/** Addresses of gateways by name. Immutable. */
export type StreamPeerAddresses = ReadonlyMap<string, string>;

export class StreamPeerTable {
  readonly #reportedAt = new Map<string, number>();
  #addresses: StreamPeerAddresses = new Map();

  /** A new object after each change. */
  get addresses(): StreamPeerAddresses {
    return this.#addresses;
  }

  /**
   * @param report a router's report
   * @param now monotonic milliseconds
   */
  record({node, streamAddress}: ReadingReport, now: number): void {
    if (node === '' || !streamAddress) return;
    if (streamAddress.length > MAX_ADDRESS_LENGTH) return;
    this.#reportedAt.set(node, now);
    if (this.#addresses.get(node) === streamAddress) return;
    this.#addresses = new Map([...this.#addresses, [node, streamAddress]]);
  }

  /**
   * Drops gateways without a recent report.
   *
   * @param now monotonic milliseconds
   */
  expire(now: number): void {
    for (const [node, at] of this.#reportedAt) {
      if (now - at <= REPORT_VALID_MS) continue;
      this.#reportedAt.delete(node);
      const kept = [...this.#addresses].filter(([name]) => name !== node);
      this.#addresses = new Map(kept);
    }
  }
}
