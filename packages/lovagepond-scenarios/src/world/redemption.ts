/**
 * Calls that may not be repeated: gated servers that claim keys in the ledger
 * of a control group, and one service that counts its runs.
 */
import {
  CLAIM_COMMAND,
  type ClaimPayload,
  type ClaimResult,
  INCARNATION_COMMAND,
  RECORD_COMMAND,
  type RecordPayload,
  type RecordResult,
} from '@lovagepond/control/deciders';
import {
  type ClaimAction,
  type ClaimAnswer,
  type Offer,
  SidecarClaims,
} from '@lovagepond/sidecar';
import {type ControlGroup} from './control_group.js';
import {GatedServer} from './gated_server.js';
import {makeOffer} from './offer_utils.js';
import {type Timeline} from './timeline.js';

/** One attempt of a call, sent through any router. */
export interface CallAttempt {
  readonly key: string;
  readonly server: string;
  readonly offer: Offer;
  /** First answer of the ledger or the gate to the caller; empty until then. */
  answer: string;
}

/** Fault injected between a sidecar and the ledger. */
export type ClaimFault = 'none' | 'nextAnswerLost' | 'answersLost' | 'delayed';

type ClaimHandlers = {
  readonly [Kind in ClaimAction['kind']]: (
    action: Extract<ClaimAction, {kind: Kind}>,
  ) => void;
};

const WORKSPACE = 'gutscheinwerk';
const DIGEST = 'digest-of-the-body';
const TOKENS = 500;
const FLOOR_TOKENS = 4_000;
const TICK_MS = 50;
const CLAIM_SETTINGS = {
  claimTimeoutMs: 2_000,
  recordTimeoutMs: 60_000,
  retryMs: 200,
};

/** Servers of the service, the ledger that they share, and all attempts. */
export class Redemption {
  readonly attempts: CallAttempt[] = [];
  claimFault: ClaimFault = 'none';
  #delayed: ClaimPayload | undefined;
  readonly #servers = new Map<string, GatedServer>();
  readonly #startCounts = new Map<string, number>();
  readonly #runsBeforeRestart = new Map<string, number>();
  readonly #control: ControlGroup;
  readonly #timeline: Timeline;

  constructor(
    names: readonly string[],
    control: ControlGroup,
    timeline: Timeline,
  ) {
    this.#control = control;
    this.#timeline = timeline;
    for (const name of names) this.restart(name);
  }

  /**
   * @param key the idempotency key
   * @returns number of runs of the call on all servers, across restarts
   */
  runsOf(key: string): number {
    const pastRuns = this.#runsBeforeRestart.get(key) ?? 0;
    return [...this.#servers.values()].reduce(
      (sum, server) => sum + this.#countRuns(server, key),
      pastRuns,
    );
  }

  /** Number of attempts that the gates of the current servers cancelled. */
  get cancelled(): number {
    const servers = [...this.#servers.values()];
    return servers.reduce((sum, server) => sum + server.cancelled.size, 0);
  }

  /**
   * @param key the idempotency key
   * @param server the target backend server
   */
  send(key: string, server: string): void {
    const attemptId = `attempt-${this.attempts.length + 1}`;
    const offer = makeOffer(server, attemptId, {
      incarnation: this.#incarnationOf(server),
      tokens: TOKENS,
      nonRepeatable: true,
    });
    this.attempts.push({key, server, offer, answer: ''});
    this.#serverOf(server).offer(offer);
  }

  /** Delivers the first attempt once more. */
  redeliverFirst(): void {
    const {server, offer} = this.attemptAt(0);
    this.#serverOf(server).offer(offer);
  }

  /** Closes the connection of the caller of the first attempt. */
  callerGone(): void {
    const {server, offer} = this.attemptAt(0);
    const {gate} = this.#serverOf(server);
    const actions = gate.callerGone(offer.attemptId, this.#timeline.now);
    this.#serverOf(server).perform(actions);
  }

  /** Delivers the delayed claim to the leader. */
  deliverDelayedClaim(): void {
    if (!this.#delayed) throw new Error('no claim is delayed');
    this.#control.execute(CLAIM_COMMAND, this.#delayed);
  }

  /**
   * @param index 0 for the first
   * @returns the attempt
   */
  attemptAt(index: number): CallAttempt {
    const attempt = this.attempts[index];
    if (!attempt) throw new Error(`there is no attempt ${index + 1}`);
    return attempt;
  }

  /** @param name the server whose sidecar is started or restarted */
  restart(name: string): void {
    const former = this.#servers.get(name);
    if (former) this.#saveRuns(former);
    former?.stall();
    this.#startCounts.set(name, (this.#startCounts.get(name) ?? 0) + 1);
    const incarnation = this.#incarnationOf(name);
    this.#control.execute(INCARNATION_COMMAND, {server: name, incarnation});
    this.#servers.set(name, this.#createServer(name, incarnation));
  }

  #createServer(name: string, incarnation: string): GatedServer {
    const options = {
      name,
      incarnation,
      floorTokens: FLOOR_TOKENS,
      tokensPerSecond: 500,
      seed: 1,
    };
    const server = new GatedServer(options, this.#timeline);
    server.onRefuse = ({attemptId, failure}) => {
      this.#answer(attemptId, failure.kind);
    };
    this.#connectClaims(server);
    return server;
  }

  /** Connects the gate to the ledger through the real claim logic. */
  #connectClaims(server: GatedServer): void {
    const claims = new SidecarClaims(CLAIM_SETTINGS);
    const perform = (actions: readonly ClaimAction[]): void => {
      for (const action of actions) this.#perform(server, claims, action);
    };
    server.onClaim = ({attemptId}) => {
      perform(claims.start(attemptId, this.#timeline.now));
    };
    server.onComplete = ({attemptId}) => {
      perform(claims.finished(attemptId, 'ran', this.#timeline.now));
    };
    this.#timeline.repeat(TICK_MS, () => {
      const current = this.#servers.get(server.name) === server;
      if (current) perform(claims.tick(this.#timeline.now));
    });
  }

  #perform(
    server: GatedServer,
    claims: SidecarClaims,
    action: ClaimAction,
  ): void {
    const {attemptId} = action;
    const {now} = this.#timeline;
    const handlers: ClaimHandlers = {
      sendClaim: () => {
        const answer = this.#sendClaim(server, attemptId);
        for (const next of claims.answered(attemptId, answer, now)) {
          this.#perform(server, claims, next);
        }
      },
      granted: () => {
        server.grant(attemptId);
      },
      replay: () => {
        this.#deny(server, attemptId, 'recorded');
      },
      denied: ({failure}) => {
        this.#deny(server, attemptId, failure.kind);
      },
      sendRecord: ({outcome}) => {
        const recorded = this.#sendRecord(attemptId, outcome);
        claims.recordAnswered(attemptId, recorded, now);
      },
    };
    handlers[action.kind](action as never);
  }

  /** @returns the ledger's answer; undefined if it is lost or delayed */
  #sendClaim(server: GatedServer, attemptId: string): ClaimAnswer | undefined {
    const claim = this.#makeClaim(server.name, attemptId);
    if (this.claimFault === 'delayed') {
      this.#delayed = claim;
      return undefined;
    }
    const result = this.#control.execute<ClaimPayload, ClaimResult>(
      CLAIM_COMMAND,
      claim,
    );
    const lost = this.claimFault !== 'none';
    if (this.claimFault === 'nextAnswerLost') this.claimFault = 'none';
    if (lost) return undefined;
    const emptyAnswer = {status: 0, answer: new Uint8Array(), contentType: ''};
    return {...emptyAnswer, outcome: result.kind};
  }

  #deny(server: GatedServer, attemptId: string, answer: string): void {
    this.#answer(attemptId, answer);
    server.perform(server.gate.claimDenied(attemptId, this.#timeline.now));
  }

  #sendRecord(attemptId: string, outcome: RecordPayload['outcome']): boolean {
    const {key} = this.#attemptOf(attemptId);
    const result = this.#control.execute<RecordPayload, RecordResult>(
      RECORD_COMMAND,
      {
        workspace: WORKSPACE,
        key,
        attempt: attemptId,
        outcome,
        status: 200,
        answer: '',
        contentType: 'application/json',
      },
    );
    return result.recorded;
  }

  #makeClaim(server: string, attemptId: string): ClaimPayload {
    const {key, offer} = this.#attemptOf(attemptId);
    const {incarnation} = offer;
    return {
      workspace: WORKSPACE,
      key,
      digest: DIGEST,
      server,
      incarnation,
      attempt: attemptId,
    };
  }

  #answer(attemptId: string, answer: string): void {
    const attempt = this.#attemptOf(attemptId);
    if (attempt.answer === '') attempt.answer = answer;
  }

  #attemptOf(attemptId: string): CallAttempt {
    const index = this.attempts.findIndex(
      attempt => attempt.offer.attemptId === attemptId,
    );
    return this.attemptAt(index);
  }

  #serverOf(name: string): GatedServer {
    const server = this.#servers.get(name);
    if (!server) throw new Error(`no server is named ${name}`);
    return server;
  }

  #incarnationOf(name: string): string {
    return `${name}-${this.#startCounts.get(name) ?? 1}`;
  }

  #countRuns(server: GatedServer, key: string): number {
    return this.attempts
      .filter(attempt => attempt.key === key)
      .reduce((sum, {offer}) => sum + server.runsOf(offer.requestId), 0);
  }

  #saveRuns(server: GatedServer): void {
    const keys = new Set(this.attempts.map(attempt => attempt.key));
    for (const key of keys) {
      const runs =
        (this.#runsBeforeRestart.get(key) ?? 0) + this.#countRuns(server, key);
      this.#runsBeforeRestart.set(key, runs);
    }
  }
}
