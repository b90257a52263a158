/**
 * A router's estimate of the load of backend servers.
 *
 * The estimate starts from the load digest, which has one byte for each server
 * and is about a second old. It adds the requests that this router has sent
 * since the digest was measured, and uses newer loads that sidecars report in
 * their frames.
 */
import {decodeLoad} from '@lovagepond/core';

/**
 * This router's sends expire after this time, even without a new digest.
 * Otherwise a router that is cut off from the control plane would count them
 * forever and avoid the servers that it has used.
 */
const SENT_EXPIRY_MS = 5_000;

/** A digest older than this doesn't reflect the current load. */
const DIGEST_EXPIRY_MS = 10_000;

/** Expired sends are removed from the list once there are this many. */
const COMPACT_AFTER = 512;

interface Sent {
  readonly slot: number;
  readonly tokens: number;
  readonly at: number;
  /**
   * The slot's generation at the send. A sidecar's report includes earlier
   * sends, so it starts a new generation with an empty sum.
   */
  readonly generation: number;
}

interface MeanMemo {
  readonly revision: number;
  readonly mean: number;
}

/** Load by slot, in outstanding tokens. Times are monotonic milliseconds. */
export class RouterLoadView {
  #base = new Float64Array(0);
  #observedAt = new Float64Array(0);
  #sent = new Float64Array(0);
  #generations = new Float64Array(0);
  /** Sends in order of time; those before the head have expired. */
  readonly #recent: Sent[] = [];
  #recentHead = 0;
  #digestMeasuredAt = Number.NEGATIVE_INFINITY;
  #revision = 0;
  readonly #means = new WeakMap<Int32Array, MeanMemo>();

  /**
   * @param loads one byte for each slot of the current membership
   * @param measuredAt when the control plane created the digest: the time of
   *     receipt minus the digest's age
   */
  applyDigest(loads: Uint8Array, measuredAt: number): void {
    this.#grow(loads.length);
    for (let slot = 0; slot < loads.length; slot++) {
      if ((this.#observedAt[slot] as number) > measuredAt) continue;
      this.#base[slot] = decodeLoad(loads[slot] as number);
    }
    this.#digestMeasuredAt = measuredAt;
    this.#expireSentBefore(measuredAt);
    this.#revision++;
  }

  /**
   * @param slot the server's slot
   * @param tokens estimated tokens of the request just sent there
   * @param now current time
   */
  recordSent(slot: number, tokens: number, now: number): void {
    this.#grow(slot + 1);
    this.#sent[slot] = (this.#sent[slot] as number) + tokens;
    const generation = this.#generations[slot] as number;
    this.#recent.push({slot, tokens, at: now, generation});
    this.#expireSentBefore(now - SENT_EXPIRY_MS);
    this.#revision++;
  }

  /**
   * @param slot the server's slot
   * @param tokens running and queued tokens, as reported by its sidecar
   * @param now current time
   */
  recordObserved(slot: number, tokens: number, now: number): void {
    this.#grow(slot + 1);
    this.#base[slot] = tokens;
    this.#observedAt[slot] = now;
    this.#sent[slot] = 0;
    this.#generations[slot] = (this.#generations[slot] as number) + 1;
    this.#revision++;
  }

  /** @returns estimated outstanding tokens at the slot */
  loadOf(slot: number): number {
    if (slot >= this.#base.length) return 0;
    return (this.#base[slot] as number) + (this.#sent[slot] as number);
  }

  /**
   * Returns the mean load. It is recomputed only when there were more changes
   * than an eighth of the list's length, so that a decision takes constant time
   * on average.
   *
   * @param slots the slots of a table's servers; the array must not change
   * @returns mean outstanding tokens over the slots
   */
  meanOf(slots: Int32Array): number {
    const memo = this.#means.get(slots);
    if (memo && this.#revision - memo.revision <= slots.length / 8) {
      return memo.mean;
    }
    let total = 0;
    for (const slot of slots) total += this.loadOf(slot);
    const mean = slots.length === 0 ? 0 : total / slots.length;
    this.#means.set(slots, {revision: this.#revision, mean});
    return mean;
  }

  /**
   * @param now current time
   * @returns true when the last digest is so old that loads are unknown
   */
  isStale(now: number): boolean {
    return now - this.#digestMeasuredAt > DIGEST_EXPIRY_MS;
  }

  #grow(size: number): void {
    if (size <= this.#base.length) return;
    this.#base = extend(this.#base, size);
    this.#sent = extend(this.#sent, size);
    this.#observedAt = extend(this.#observedAt, size);
    this.#generations = extend(this.#generations, size);
  }

  #expireSentBefore(time: number): void {
    let sent = this.#recent[this.#recentHead];
    while (sent && sent.at < time) {
      if (sent.generation === this.#generations[sent.slot]) {
        const left = (this.#sent[sent.slot] as number) - sent.tokens;
        this.#sent[sent.slot] = Math.max(0, left);
      }
      this.#recentHead++;
      sent = this.#recent[this.#recentHead];
    }
    if (this.#recentHead < COMPACT_AFTER) return;
    this.#recent.splice(0, this.#recentHead);
    this.#recentHead = 0;
  }
}

function extend(values: Float64Array, size: number): Float64Array<ArrayBuffer> {
  const extended = new Float64Array(size);
  extended.set(values);
  return extended;
}
