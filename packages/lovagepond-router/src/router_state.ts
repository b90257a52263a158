/**
 * The configuration and membership that a router holds, and what follows from
 * them.
 */
import {type CallerRequest} from '@lovagepond/caller';
import {EMPTY_MEMBERSHIP, type Logger, type Membership} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {Eligibility, type EligibilityVerdict} from './router_eligibility.js';
import {applyMembership} from './router_membership.js';
import {type RouterRevisions} from './router_revisions.js';

type WireMembership = lovagepond.v1.MembershipUpdate.$Properties;

/** Hears of what the state takes in. */
export interface RouterStateListener {
  membershipChanged(membership: Membership, now: number): void;
  /** A newer configuration is in force here. */
  revisionInstalled(revision: number): void;
}

/** Joins revisions, membership and the selectors compiled from both. */
export class RouterState {
  readonly revisions: RouterRevisions;
  readonly #log: Logger;
  readonly #listener: RouterStateListener;
  #membership = EMPTY_MEMBERSHIP;
  #membershipKnown = false;
  #eligibility: Eligibility;

  constructor(
    revisions: RouterRevisions,
    log: Logger,
    listener: RouterStateListener,
  ) {
    this.revisions = revisions;
    this.#log = log;
    this.#listener = listener;
    this.#eligibility = this.#compile();
  }

  /** @returns the revision of the configuration held */
  get revision(): number {
    return this.revisions.configuration.revision;
  }

  /** @returns the list of backend servers held */
  get membership(): Membership {
    return this.#membership;
  }

  /**
   * @param now present time, monotonic milliseconds
   * @returns true when requests may be served by what is held
   */
  mayServe(now: number): boolean {
    return this.#membershipKnown && this.revisions.mayServe(now);
  }

  /**
   * @param request a caller's request
   * @returns the servers it may go to
   */
  findEligible(request: CallerRequest): EligibilityVerdict {
    const {workspace, requestKind, chat} = request;
    return this.#eligibility.find(workspace, requestKind, chat);
  }

  /** @param bytes a configuration from control or a sidecar */
  install(bytes: Uint8Array): void {
    const outcome = this.revisions.install(bytes);
    if (outcome === 'unreadable') {
      this.#log.error('a configuration could not be read');
    }
    if (outcome !== 'installed') return;
    this.#eligibility = this.#compile();
    this.#log.info('configuration installed', {revision: this.revision});
    this.#listener.revisionInstalled(this.revision);
  }

  /**
   * @param update control's update
   * @param now present time, monotonic milliseconds
   */
  updateMembership(update: WireMembership, now: number): void {
    this.#membership = applyMembership(this.#membership, update);
    this.#membershipKnown = true;
    this.#listener.membershipChanged(this.#membership, now);
    this.#eligibility.useMembership(this.#membership);
  }

  #compile(): Eligibility {
    return new Eligibility(this.revisions.configuration, this.#membership);
  }
}
