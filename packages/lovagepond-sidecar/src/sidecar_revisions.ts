/**
 * The configuration in force here: revisions only rise, and no work is taken
 * before one is known to be as new as a majority's.
 */
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  Published,
} from '@lovagepond/core';

/** Settings of {@link SidecarRevisions}. */
export interface RevisionsSettings {
  /**
   * An island without control: after its restart it serves with what a router
   * brought, unconfirmed, when this is true; else it refuses as not ready.
   */
  readonly serveUnconfirmed: boolean;
}

/** How a router's revision compares with the one in force. */
export const REVISION_CHECK = {
  EQUAL: 'equal',
  ROUTER_BEHIND: 'routerBehind',
  SIDECAR_BEHIND: 'sidecarBehind',
} as const;

/** One of the values of {@link REVISION_CHECK}. */
export type RevisionCheck =
  (typeof REVISION_CHECK)[keyof typeof REVISION_CHECK];

/** Holds the configuration in force. */
export class SidecarRevisions {
  readonly #settings: RevisionsSettings;
  readonly #published = new Published<Configuration>(EMPTY_CONFIGURATION);
  #confirmed = false;
  /** The highest revision that a majority was known to hold. */
  #floor = 0;

  constructor(settings: RevisionsSettings) {
    this.#settings = settings;
  }

  /** @returns the published configuration, to read and to listen to */
  get published(): Published<Configuration> {
    return this.#published;
  }

  /** @returns the revision in force */
  get revision(): number {
    return this.#published.read().revision;
  }

  /**
   * A process that restarted after hundreds of changes holds nothing, or what
   * some router held. Work is taken once a majority has confirmed a revision
   * and one at least as new is in force: otherwise a change that operators
   * were told is in force would be seen to revert.
   *
   * @returns true when work may be taken
   */
  mayServe(): boolean {
    if (this.#confirmed && this.revision >= this.#floor) return true;
    return this.#settings.serveUnconfirmed && this.revision > 0;
  }

  /**
   * @param configuration from control or from a router
   * @returns true when it was newer and is now in force
   */
  install(configuration: Configuration): boolean {
    if (configuration.revision <= this.revision) return false;
    this.#published.update(() => configuration);
    return true;
  }

  /** @param revision what control says a majority holds */
  confirm(revision: number): void {
    this.#confirmed = true;
    this.#floor = Math.max(this.#floor, revision);
  }

  /**
   * @param revision the revision a router works with
   * @returns which of the two is behind
   */
  compare(revision: number): RevisionCheck {
    if (revision < this.revision) return REVISION_CHECK.ROUTER_BEHIND;
    if (revision > this.revision) return REVISION_CHECK.SIDECAR_BEHIND;
    return REVISION_CHECK.EQUAL;
  }
}
