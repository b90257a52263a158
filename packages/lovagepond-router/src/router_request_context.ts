/**
 * What the router's shared parts do for one request.
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

/** A backend server chosen by the configuration in force. */
export interface Placed extends Chosen {
  readonly eligible: Eligible;
}

/** What the runner asks when a backend server is to be chosen. */
export interface PlacementQuery {
  readonly runner: RequestRunner;
  readonly excluded: ReadonlySet<string>;
  readonly preferred: string | undefined;
  /** See the action of the same fields. */
  readonly after: Failure | undefined;
  readonly costsBudget: boolean;
}

/** The shared parts, as one request sees them. */
export interface RunnerContext {
  readonly clock: Clock;
  readonly connections: SidecarConnections;
  readonly limits: RequestLimits;
  readonly revokeTimeoutMs: number;
  /** @returns the server to try, or why there is none */
  place(query: PlacementQuery, now: number): Placed | Failure;
  /** @returns the held configuration's revision */
  heldRevision(): number;
  /**
   * @returns the held configuration's bytes when the sidecar is known to hold
   *     an older one, else undefined
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
  /** @returns the failure with a time to come back where it lacks one */
  completeFailure(failure: Failure, now: number): Failure;
  /** A fault of this program that one request met. */
  noteFault(runner: RequestRunner, err: unknown): void;
  noteDone(runner: RequestRunner, failure: Failure | undefined): void;
}
