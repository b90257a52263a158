/**
 * The configuration in force at this sidecar. Revisions only increase. Requests
 * are accepted once the revision is known to be as new as a majority's.
 */
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  Published,
} from '@lovagepond/core';

export interface RevisionsSettings {
  /**
   * Whether a sidecar that restarted and can't reach control serves with an
   * unconfirmed configuration from a router. If false, it refuses requests as
   * not ready.
   */
  readonly serveUnconfirmed: boolean;
}

/** Result of comparing a router's revision with the one in force. */
export const REVISION_CHECK = {
  EQUAL: 'equal',
  ROUTER_BEHIND: 'routerBehind',
  SIDECAR_BEHIND: 'sidecarBehind',
} as const;

export type RevisionCheck =
  (typeof REVISION_CHECK)[keyof typeof REVISION_CHECK];

/** Holds the configuration in force. */
export class SidecarRevisions {
  readonly #settings: RevisionsSettings;
  readonly #published = new Published<Configuration>(EMPTY_CONFIGURATION);
  #confirmed = false;
  /** Highest revision that a majority is known to hold. */
  #floor = 0;

  constructor(settings: RevisionsSettings) {
    this.#settings = settings;
  }

  /** @returns the published configuration, to read and to subscribe to */
  get published(): Published<Configuration> {
    return this.#published;
  }

  /** @returns the revision in force */
  get revision(): number {
    return this.#published.read().revision;
  }

  /**
   * Checks whether a revision at least as new as the one that a majority
   * confirmed is in force. A restarted process may get a configuration from a
   * router that is hundreds of changes old. With it, a change that was reported
   * to operators as in force would appear to be reverted.
   *
   * @returns true when requests may be accepted: after that confirmation, or
   *     with any configuration if unconfirmed ones may be served
   */
  mayServe(): boolean {
    if (this.#confirmed && this.revision >= this.#floor) return true;
    return this.#settings.serveUnconfirmed && this.revision > 0;
  }

  /**
   * @param configuration a configuration from control or from a router
   * @returns true when it was newer and is now in force
   */
  install(configuration: Configuration): boolean {
    if (configuration.revision <= this.revision) return false;
    this.#published.update(() => configuration);
    return true;
  }

  /** @param revision the revision that a majority holds, as control reports */
  confirm(revision: number): void {
    this.#confirmed = true;
    this.#floor = Math.max(this.#floor, revision);
  }

  /**
   * @param revision the router's revision
   * @returns which of the two is behind
   */
  compare(revision: number): RevisionCheck {
    if (revision < this.revision) return REVISION_CHECK.ROUTER_BEHIND;
    if (revision > this.revision) return REVISION_CHECK.SIDECAR_BEHIND;
    return REVISION_CHECK.EQUAL;
  }
}
