/**
 * Settings and results of a simulation of crashing requests.
 */

/** Gateways that act on a gateway's crash evidence: none, only it, or all. */
export const EVIDENCE_SCOPE = {
  NONE: 'none',
  GATEWAY: 'gateway',
  FLEET: 'fleet',
} as const;

/** One of the values of {@link EVIDENCE_SCOPE}. */
export type EvidenceScope =
  (typeof EVIDENCE_SCOPE)[keyof typeof EVIDENCE_SCOPE];

/** Disturbances beside the requests that crash servers. */
export interface CrashDisturbances {
  /** Mean time between two crashes that no request causes, ms. */
  readonly crashEveryMs?: number;
  /** Share of answers whose connection breaks although the server is up. */
  readonly lostAnswers?: number;
  /** All servers lose power at this time, ms. */
  readonly powerLossAtMs?: number;
  /** Interval at which one server after the other leaves as planned, ms. */
  readonly leaveEveryMs?: number;
}

/** Which parts precede the crashing one in its prompts. */
export const PARTS_BEFORE = {
  /** Those of other prompts. */
  POPULAR: 'popular',
  /** One that no other prompt has. */
  OWN: 'own',
  /** Those of other prompts, which are rare. */
  RARE: 'rare',
} as const;

/** A part that crashes each server that answers a prompt with it. */
export interface CrashingPart {
  readonly partsBefore: (typeof PARTS_BEFORE)[keyof typeof PARTS_BEFORE];
  /** Mean time between two requests with it, no two alike, ms. */
  readonly everyMs: number;
}

/** The size of a fleet and its traffic. */
export interface CrashFleet {
  readonly gateways: number;
  readonly servers: number;
  readonly requestEveryMs: number;
}

/** Settings of one simulation. */
export interface CrashScenario {
  readonly evidenceScope: EvidenceScope;
  /** Number of requests that crash their server. */
  readonly crashingRequests: number;
  readonly crashingPart?: CrashingPart;
  readonly disturbances: CrashDisturbances;
  readonly fleet?: CrashFleet;
}

/** Results of one simulation. */
export interface CrashOutcome {
  /** Servers crashed by requests. */
  readonly crashed: number;
  /** Crashing requests sent later than 3 s after the fifth crash. */
  readonly sentLate: number;
  /** Harmless requests, without their retries. */
  readonly requests: number;
  /** Harmless requests refused or cancelled by the quarantine. */
  readonly refused: number;
  /** Harmless requests without an answer after all retries. */
  readonly lost: number;
  /** Quarantine updates that a gateway received, bytes. */
  readonly updateBytes: number;
  /** Control's evidence at its largest, bytes of JSON. */
  readonly stateBytes: number;
}
