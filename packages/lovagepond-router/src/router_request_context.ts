/**
 * The interface between a request's runner and the router's shared components.
 */
import {type Clock, type Failure} from '@lovagepond/core';
import {type SidecarConnections} from './router_connections.js';
import {type Eligible} from './router_eligibility.js';
import {type Frame} from './router_frames.js';
import {type RequestRunner} from './router_request_runner.js';
import {
  type AttemptTarget,
  type DropReason,
  type EvidenceKind,
  type RequestLimits,
} from './router_request_types.js';
import {type Chosen} from './router_server_choice.js';

/** A backend server chosen according to the current configuration. */
export interface Placed extends Chosen {
  readonly eligible: Eligible;
}

/** A runner's query for a backend server. */
export interface PlacementQuery {
  readonly runner: RequestRunner;
  readonly excluded: ReadonlySet<string>;
  readonly preferred: string | undefined;
  /** The same as in the `place` action. */
  readonly after: Failure | undefined;
  readonly costsBudget: boolean;
}

/** The shared components that a runner uses. */
export interface RunnerContext {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  /** @returns the server to try, or the failure when there is none */
  place(query: PlacementQuery, now: number): Placed | Failure;
  /** @returns the revision of the current configuration */
  heldRevision(): number;
  /**
   * @returns the encoded configuration when the sidecar is known to have an
   *     older revision, else undefined
   */
  configurationFor(target: AttemptTarget): Uint8Array | undefined;
  install(configuration: Uint8Array): void;
  noteFrame(runner: RequestRunner, frame: Frame, now: number): void;
  noteEvidence(
    target: AttemptTarget,
    evidence: EvidenceKind,
    now: number,
  ): void;
  noteDrop(reason: DropReason): void;
  /** @returns the failure, with a retry delay added where it needs one */
  completeFailure(failure: Failure, now: number): Failure;
  /** Reports an unexpected error while handling one request. */
  noteFault(runner: RequestRunner, err: unknown): void;
  noteDone(runner: RequestRunner, failure: Failure | undefined): void;
}
