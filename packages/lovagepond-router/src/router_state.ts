/**
 * A router's current configuration and membership, and the eligibility rules
 * compiled from both.
 */
import {type CallerRequest} from '@lovagepond/caller';
import {EMPTY_MEMBERSHIP, type Logger, type Membership} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {Eligibility, type EligibilityVerdict} from './router_eligibility.js';
import {applyMembership} from './router_membership.js';
import {type RouterRevisions} from './router_revisions.js';

type WireMembership = lovagepond.v1.MembershipUpdate.$Properties;

/** Receives changes of the state. */
export interface RouterStateListener {
  membershipChanged(membership: Membership, now: number): void;
  /** This router now applies a newer configuration. */
  revisionInstalled(revision: number): void;
}

/** Keeps revisions, membership and the compiled selectors consistent. */
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

  /** @returns the revision of the current configuration */
  get revision(): number {
    return this.revisions.configuration.revision;
  }

  /** @returns the current list of backend servers */
  get membership(): Membership {
    return this.#membership;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true when the configuration and membership may be used to serve
   *     requests
   */
  mayServe(now: number): boolean {
    return this.#membershipKnown && this.revisions.mayServe(now);
  }

  /**
   * @param request a caller's request
   * @returns the servers that may serve it, or the failure to answer with
   */
  findEligible(request: CallerRequest): EligibilityVerdict {
    const {workspace, requestKind, chat} = request;
    return this.#eligibility.find(workspace, requestKind, chat);
  }

  /** @param bytes a configuration from the control plane or a sidecar */
  install(bytes: Uint8Array): void {
    const outcome = this.revisions.install(bytes);
    if (outcome === 'unreadable') {
      this.#log.error('received configuration cannot be decoded');
    }
    if (outcome !== 'installed') return;
    this.#eligibility = this.#compile();
    this.#log.info('configuration installed', {revision: this.revision});
    this.#listener.revisionInstalled(this.revision);
  }

  /**
   * @param update the control plane's update
   * @param now current time, monotonic milliseconds
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
