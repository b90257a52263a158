/**
 * Handles routers' reports of crashed backend servers at the leader, and
 * publishes to all routers which requests are suspected of the crashes.
 */
import {
  type Clock,
  CRASH_RULES,
  type CrashRules,
  type Logger,
} from '@lovagepond/core';
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

/** Bytes of a fingerprint; values of another length are dropped as invalid. */
const FINGERPRINT_BYTES = 16;

/** Limits of one report; the router sends the rest with its next report. */
const MAX_CRASHES = 64;
const MAX_FINGERPRINTS = 512;

/** Limit of fingerprints in one log line. */
const MAX_LOGGED_FINGERPRINTS = 64;

export interface CrashReportsDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  /** Forwards a report to the leader. */
  readonly forwardToLeader: (
    report: lovagepond.v1.CrashReport,
  ) => Promise<lovagepond.v1.CrashReportResponse>;
  /** @returns the lowest log version among the members */
  readonly oldestLogVersion: () => number;
  /** Sends changes to the subscribers. */
  readonly publish: () => void;
}

/** Handles ReportCrashes, and operators' requests about quarantines. */
export class CrashReports {
  readonly #deps: CrashReportsDependencies;

  constructor(deps: CrashReportsDependencies) {
    this.#deps = deps;
  }

  /**
   * @param report a router's report
   * @returns whether a majority has stored the report; otherwise the router
   *     sends it again
   */
  async take(
    report: lovagepond.v1.CrashReport,
  ): Promise<lovagepond.v1.CrashReportResponse> {
    if (!this.#deps.proposer.leads()) return this.#deps.forwardToLeader(report);
    // A member of an earlier release would stop at an unknown command.
    const rules = this.#rules();
    if (rules === CRASH_RULES.RECOUNTED) {
      return new v1.CrashReportResponse();
    }
    const payload = {...toPayload(report), rules};
    const outcome = await this.#deps.proposer.propose<
      CrashesPayload,
      CrashesResult
    >(CRASHES_COMMAND, payload);
    if (outcome.kind !== 'committed') return new v1.CrashReportResponse();
    this.#log(report.node, payload, outcome.value);
    this.#deps.publish();
    return new v1.CrashReportResponse({recorded: true});
  }

  /** @returns the suspected requests in this member's applied state */
  list(): readonly SuspectView[] {
    const {machine, clock} = this.#deps;
    const timeMs = machine.time.stamp(clock.now());
    return machine.crashes.suspects(timeMs).map(suspect => ({
      request: suspect.request,
      crashes: suspect.crashes,
      quarantinedForMs: Math.max(0, (suspect.quarantinedUntil ?? 0) - timeMs),
    }));
  }

  /**
   * @param request fingerprint of the request to release from quarantine
   * @returns the answer; accepted also when the request wasn't suspected
   */
  async lift(request: string): Promise<OperationAnswer> {
    const outcome = await this.#deps.proposer.propose(LIFT_QUARANTINE_COMMAND, {
      request,
      rules: this.#rules(),
    });
    if (outcome.kind !== 'committed') return outcome satisfies RetryableFailure;
    this.#deps.log.info('quarantine lifted', {request});
    this.#deps.publish();
    return {kind: 'accepted'};
  }

  /** @returns the newest rules that all members know */
  #rules(): CrashRules {
    return this.#deps.oldestLogVersion() < LOG_VERSION
      ? CRASH_RULES.RECOUNTED
      : CRASH_RULES.COUNTED_ONCE;
  }

  #log(node: string, payload: CrashesPayload, result: CrashesResult): void {
    const {log, machine, clock} = this.#deps;
    for (const fingerprint of result.cleared) {
      log.info('suspicion dropped', {node, fingerprint});
    }
    for (const [at, crash] of payload.crashes.entries()) {
      log.warn('backend server crashed', {
        node,
        backendServer: crash.server,
        requests: crash.requests.length,
        fingerprints: joinFingerprints(crash.requests),
        crashedMsAgo: crash.ageMs,
        outdated: joinFingerprints(result.outdated[at] ?? []),
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

/** @returns the first of the fingerprints, for a log line of bounded length */
function joinFingerprints(fingerprints: readonly string[]): string {
  return fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS).join(' ');
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
    .slice(0, MAX_FINGERPRINTS)
    .map(bytes => Buffer.from(bytes).toString('hex'));
}
