/**
 * Handles routers' reports of crashed backend servers at the leader, and
 * publishes to all routers which requests are suspected of the crashes.
 */
import {
  type Clock,
  CRASH_RULES,
  type CrashRules,
  type CrashSubject,
  type Logger,
  partIdOf,
} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {
  CRASHES_COMMAND,
  type CrashesPayload,
  type CrashesResult,
  EVACUATION_LOG_VERSION,
  LIFT_QUARANTINE_COMMAND,
  PARTS_LOG_VERSION,
} from './control_commands.js';
import {
  type RetryableFailure,
  type OperationAnswer,
  type SuspectView,
} from './control_administration.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {toCrashesPayload} from './crash_report_codec.js';
import {type Proposer} from './proposer.js';

const {v1} = lovagepond;

/** Limit of subjects in one log line. */
const MAX_LOGGED_SUBJECTS = 64;

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
    const payload = {...toCrashesPayload(report, rules), rules};
    const outcome = await this.#deps.proposer.propose<
      CrashesPayload,
      CrashesResult
    >(CRASHES_COMMAND, payload);
    if (outcome.kind !== 'committed') return new v1.CrashReportResponse();
    this.#log(report.node, payload, outcome.value);
    this.#deps.publish();
    return new v1.CrashReportResponse({recorded: true});
  }

  /** @returns the suspects in this member's applied state */
  list(): readonly SuspectView[] {
    const {machine, clock} = this.#deps;
    const timeMs = machine.time.stamp(clock.now());
    return machine.crashes.suspects(timeMs).map(suspect => ({
      request: suspect.subject,
      crashes: suspect.crashes,
      quarantinedForMs: Math.max(0, (suspect.quarantinedUntil ?? 0) - timeMs),
      companions: suspect.companions,
    }));
  }

  /**
   * @param request the subject to release from quarantine
   * @returns the answer; accepted also when it wasn't suspected
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
    const oldest = this.#deps.oldestLogVersion();
    if (oldest < EVACUATION_LOG_VERSION) return CRASH_RULES.RECOUNTED;
    return oldest < PARTS_LOG_VERSION
      ? CRASH_RULES.COUNTED_ONCE
      : CRASH_RULES.BY_SUBJECT;
  }

  #log(node: string, payload: CrashesPayload, result: CrashesResult): void {
    const {log, machine, clock} = this.#deps;
    for (const subject of result.cleared) {
      log.info('suspicion dropped', {node, ...describeSubject(subject)});
    }
    for (const [at, crash] of payload.crashes.entries()) {
      const subjects = [...new Set(crash.requests.flat())];
      const isPart = (subject: CrashSubject): boolean =>
        partIdOf(subject) !== undefined;
      log.warn('backend server crashed', {
        node,
        backendServer: crash.server,
        requests: crash.requests.length,
        fingerprints: joinSubjects(subjects.filter(one => !isPart(one))),
        parts: joinSubjects(subjects.filter(isPart)),
        crashedMsAgo: crash.ageMs,
        outdated: joinSubjects(result.outdated[at] ?? []),
      });
    }
    const timeMs = machine.time.stamp(clock.now());
    for (const subject of result.quarantined) {
      const suspect = machine.crashes.find(subject, timeMs);
      log.warn('request quarantined', {
        ...describeSubject(subject),
        companions: joinSubjects(suspect?.companions ?? []),
        crashes: suspect?.crashes,
        forMs: (suspect?.quarantinedUntil ?? timeMs) - timeMs,
      });
    }
  }
}

/** @returns log fields that name the subject */
function describeSubject(subject: CrashSubject): Record<string, string> {
  const part = partIdOf(subject);
  return part === undefined ? {fingerprint: subject} : {part};
}

/** @returns the first of the subjects, for a log line of bounded length */
function joinSubjects(subjects: readonly CrashSubject[]): string {
  const logged = subjects.slice(0, MAX_LOGGED_SUBJECTS);
  return logged.map(subject => partIdOf(subject) ?? subject).join(' ');
}
