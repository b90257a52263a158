/**
 * Takes routers' reports of crashed servers at the leader, and tells every
 * router which requests the crashes are put down to.
 */
import {type Clock, type Logger} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {
  CRASHES_COMMAND,
  type CrashesPayload,
  type CrashesResult,
  LIFT_QUARANTINE_COMMAND,
  LOG_VERSION,
} from './control_commands.js';
import {
  type RetryableFailure,
  type OperationAnswer,
  type SuspectView,
} from './control_administration.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type Proposer} from './proposer.js';

const {v1} = lovagepond;

type WireReport = lovagepond.v1.CrashReport.$Properties;
type WireCrash = lovagepond.v1.CrashedServer.$Properties;

/** Bytes of a fingerprint; a report may come from another program. */
const FINGERPRINT_BYTES = 16;

/** What is taken of one report; the router tells the rest with its next one. */
const MAX_CRASHES = 64;
const MAX_REQUESTS = 512;

/** What reports are taken with. */
export interface CrashReportsParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  /** Passes a report to the leader. */
  readonly passOn: (
    report: lovagepond.v1.CrashReport,
  ) => Promise<lovagepond.v1.CrashReportResponse>;
  /** @returns the oldest version of the log's commands that a member knows */
  readonly oldestLogVersion: () => number;
  /** Sends subscribers what changed. */
  readonly publish: () => void;
}

/** Handles ReportCrashes, and operators' questions about quarantines. */
export class CrashReports {
  readonly #parts: CrashReportsParts;

  constructor(parts: CrashReportsParts) {
    this.#parts = parts;
  }

  /**
   * @param report what a router says
   * @returns whether a majority has it; the router tells it again otherwise
   */
  async take(
    report: lovagepond.v1.CrashReport,
  ): Promise<lovagepond.v1.CrashReportResponse> {
    if (!this.#parts.proposer.leads()) return this.#parts.passOn(report);
    // A member of an earlier release would end at a command that it doesn't know.
    if (this.#parts.oldestLogVersion() < LOG_VERSION) {
      return new v1.CrashReportResponse();
    }
    const payload = toPayload(report);
    const outcome = await this.#parts.proposer.propose<
      CrashesPayload,
      CrashesResult
    >(CRASHES_COMMAND, payload);
    if (outcome.kind !== 'committed') return new v1.CrashReportResponse();
    this.#log(report.node, payload, outcome.value);
    this.#parts.publish();
    return new v1.CrashReportResponse({recorded: true});
  }

  /** @returns suspected requests, as this member has applied them */
  list(): readonly SuspectView[] {
    const {machine, clock} = this.#parts;
    const timeMs = machine.time.stamp(clock.now());
    return machine.crashes.suspects(timeMs).map(suspect => ({
      request: suspect.request,
      crashes: suspect.crashes,
      quarantinedForMs: Math.max(0, (suspect.quarantinedUntil ?? 0) - timeMs),
    }));
  }

  /**
   * @param request fingerprint of a request that may run again
   * @returns the answer; accepted also where nothing was known of it
   */
  async lift(request: string): Promise<OperationAnswer> {
    const outcome = await this.#parts.proposer.propose(
      LIFT_QUARANTINE_COMMAND,
      {request},
    );
    if (outcome.kind !== 'committed') return outcome satisfies RetryableFailure;
    this.#parts.log.info('quarantine lifted', {request});
    this.#parts.publish();
    return {kind: 'accepted'};
  }

  #log(node: string, payload: CrashesPayload, result: CrashesResult): void {
    const {log, machine, clock} = this.#parts;
    for (const {server, requests} of payload.crashes) {
      const backendServer = server;
      log.warn('backend server crashed', {
        node,
        backendServer,
        requests: requests.length,
      });
    }
    const timeMs = machine.time.stamp(clock.now());
    for (const request of result.quarantined) {
      const suspect = machine.crashes.find(request, timeMs);
      log.warn('request quarantined', {
        fingerprint: request,
        crashes: suspect?.crashes,
        forMs: (suspect?.quarantinedUntil ?? timeMs) - timeMs,
      });
    }
  }
}

function toPayload({crashes, answered}: WireReport): CrashesPayload {
  return {
    crashes: (crashes ?? []).slice(0, MAX_CRASHES).map(toCrash),
    answered: toFingerprints(answered),
  };
}

function toCrash(crash: WireCrash): CrashesPayload['crashes'][number] {
  return {
    server: crash.backendServer ?? '',
    requests: toFingerprints(crash.requests),
    ageMs: crash.ageMs ?? 0,
  };
}

function toFingerprints(
  all: readonly Uint8Array[] | null | undefined,
): string[] {
  return (all ?? [])
    .filter(({length}) => length === FINGERPRINT_BYTES)
    .slice(0, MAX_REQUESTS)
    .map(bytes => Buffer.from(bytes).toString('hex'));
}
