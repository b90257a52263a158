/**
 * Keeps a router's configuration and decides whether the router may serve
 * requests with it.
 *
 * Only newer revisions are installed, so that no late or reordered message
 * restores an old configuration. A restarted router serves nothing until a
 * majority has confirmed a revision: with an older one it would send requests
 * to servers that an accepted change forbids.
 */
import {
  type Configuration,
  decodeConfiguration,
  EMPTY_CONFIGURATION,
} from '@lovagepond/core';
import {PARTITION_POLICY, type PartitionPolicy} from './router_settings.js';

/** Settings of {@link RouterRevisions}; see the router's settings. */
export interface RevisionsSettings {
  readonly islandPolicy: PartitionPolicy;
  readonly islandAfterMs: number;
}

export type InstallOutcome = 'installed' | 'notNewer' | 'unreadable';

/** Keeps the configuration with the highest revision received. */
export class RouterRevisions {
  readonly #settings: RevisionsSettings;
  #configuration = EMPTY_CONFIGURATION;
  #confirmedRevision: number | undefined;
  readonly #bySidecar = new Map<string, number>();
  #lastControlMessageAt = Number.NEGATIVE_INFINITY;
  /** The encoded configuration, as it was received. */
  #encoded: Uint8Array = new Uint8Array();

  constructor(settings: RevisionsSettings) {
    this.#settings = settings;
  }

  /** @returns the current configuration */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** @returns the encoded configuration, to send to outdated sidecars */
  get encoded(): Uint8Array {
    return this.#encoded;
  }

  /**
   * @param bytes a configuration from the control plane or a sidecar
   * @returns whether it was installed
   */
  install(bytes: Uint8Array): InstallOutcome {
    const offered = decodeConfiguration(bytes);
    if (!offered) return 'unreadable';
    if (offered.revision <= this.#configuration.revision) return 'notNewer';
    this.#configuration = offered;
    this.#encoded = bytes;
    return 'installed';
  }

  /** @param revision one that is at least as new as a majority's */
  confirm(revision: number): void {
    this.#confirmedRevision = Math.max(this.#confirmedRevision ?? 0, revision);
  }

  /**
   * @param incarnation a sidecar incarnation
   * @param revision the revision that the sidecar reports
   */
  noteSidecarRevision(incarnation: string, revision: number): void {
    this.#bySidecar.set(incarnation, revision);
  }

  /**
   * @param incarnation a sidecar incarnation
   * @returns true when the sidecar is known to have an older revision than this
   *     router
   */
  isBehind(incarnation: string): boolean {
    const held = this.#bySidecar.get(incarnation);
    return held !== undefined && held < this.#configuration.revision;
  }

  /** @param incarnations the current sidecar incarnations */
  keepOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#bySidecar.keys()) {
      if (!incarnations.has(incarnation)) this.#bySidecar.delete(incarnation);
    }
  }

  /** @param now when a control-plane member sent a message, monotonic ms */
  noteControlMessage(now: number): void {
    this.#lastControlMessageAt = now;
  }

  /** @returns true when the revision is at least as new as the confirmed one */
  isConfirmed(): boolean {
    if (this.#confirmedRevision === undefined) return false;
    return this.#configuration.revision >= this.#confirmedRevision;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true when the control plane has been unreachable for too long
   */
  isControlUnreachable(now: number): boolean {
    return now - this.#lastControlMessageAt > this.#settings.islandAfterMs;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true when the current configuration may be used for requests
   */
  mayServe(now: number): boolean {
    if (!this.isConfirmed()) return false;
    if (this.#settings.islandPolicy === PARTITION_POLICY.SERVE) return true;
    return !this.isControlUnreachable(now);
  }
}
