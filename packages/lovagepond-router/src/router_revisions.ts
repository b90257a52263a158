/**
 * Decides which configuration a router holds, and whether it may serve by it.
 *
 * Only rising revisions are installed, so that no late or reordered message
 * brings an old configuration back. A restarted router serves nothing until a
 * majority has confirmed a revision: by an older one it would send requests
 * where an accepted change has forbidden them.
 */
import {
  type Configuration,
  decodeConfiguration,
  EMPTY_CONFIGURATION,
} from '@lovagepond/core';
import {ISLAND_POLICY, type IslandPolicy} from './router_settings.js';

/** Settings of {@link RouterRevisions}, as in the router's settings. */
export interface RevisionsSettings {
  readonly islandPolicy: IslandPolicy;
  readonly islandAfterMs: number;
}

/** What became of a configuration that was offered. */
export type InstallOutcome = 'installed' | 'notNewer' | 'unreadable';

/** Keeps the highest revision that this router has seen. */
export class RouterRevisions {
  readonly #settings: RevisionsSettings;
  #configuration = EMPTY_CONFIGURATION;
  #confirmedRevision: number | undefined;
  readonly #bySidecar = new Map<string, number>();
  #lastControlMessageAt = Number.NEGATIVE_INFINITY;
  /** The configuration as it travels, made once per revision. */
  #encoded: Uint8Array = new Uint8Array();

  constructor(settings: RevisionsSettings) {
    this.#settings = settings;
  }

  /** @returns the configuration in force here */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** @returns its bytes, to hand to a sidecar that holds an older one */
  get encoded(): Uint8Array {
    return this.#encoded;
  }

  /**
   * @param bytes a configuration from control or a sidecar
   * @returns what became of it
   */
  install(bytes: Uint8Array): InstallOutcome {
    const offered = decodeConfiguration(bytes);
    if (!offered) return 'unreadable';
    if (offered.revision <= this.#configuration.revision) return 'notNewer';
    this.#configuration = offered;
    this.#encoded = bytes;
    return 'installed';
  }

  /**
   * @param revision a revision known to be as new as a majority's
   */
  confirm(revision: number): void {
    this.#confirmedRevision = Math.max(this.#confirmedRevision ?? 0, revision);
  }

  /**
   * @param incarnation a sidecar incarnation
   * @param revision the revision that it says it holds
   */
  noteSidecarRevision(incarnation: string, revision: number): void {
    this.#bySidecar.set(incarnation, revision);
  }

  /**
   * @param incarnation a sidecar incarnation
   * @returns true when it is known to hold an older revision than this router
   */
  isBehind(incarnation: string): boolean {
    const held = this.#bySidecar.get(incarnation);
    return held !== undefined && held < this.#configuration.revision;
  }

  /** @param incarnations the sidecar incarnations that still exist */
  keepOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#bySidecar.keys()) {
      if (!incarnations.has(incarnation)) this.#bySidecar.delete(incarnation);
    }
  }

  /** @param now when something came from a control member, monotonic ms */
  noteControlMessage(now: number): void {
    this.#lastControlMessageAt = now;
  }

  /** @returns true when the held revision is no older than a majority's was */
  isConfirmed(): boolean {
    if (this.#confirmedRevision === undefined) return false;
    return this.#configuration.revision >= this.#confirmedRevision;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns true when control has been out of reach for too long
   */
  isControlUnreachable(now: number): boolean {
    return now - this.#lastControlMessageAt > this.#settings.islandAfterMs;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns true when requests may be served by the held configuration
   */
  mayServe(now: number): boolean {
    if (!this.isConfirmed()) return false;
    if (this.#settings.islandPolicy === ISLAND_POLICY.SERVE) return true;
    return !this.isControlUnreachable(now);
  }
}
