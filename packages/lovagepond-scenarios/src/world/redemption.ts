/**
 * Calls that may not be repeated: gated servers whose claims go to the ledger
 * of a control group, and one service that counts its runs.
 */
import {
  CLAIM_COMMAND,
  type ClaimPayload,
  type ClaimResult,
  INCARNATION_COMMAND,
  RECORD_COMMAND,
  type RecordPayload,
} from '@lovagepond/control/deciders';
import {type Offer} from '@lovagepond/sidecar';
import {type ControlGroup} from './control_group.js';
import {GatedServer} from './gated_server.js';
import {makeOffer} from './offer_utils.js';
import {type Timeline} from './timeline.js';

/** One sending of a call, through some router. */
export interface Sending {
  readonly key: string;
  readonly server: string;
  readonly offer: Offer;
  /** The ledger's or the gate's last word to the caller; empty so far. */
  answer: string;
}

/** What happens to the next claim on its way. */
export type ClaimFault = 'none' | 'answerLost' | 'delayed';

const WORKSPACE = 'gutscheinwerk';
const DIGEST = 'digest-of-the-body';
const TOKENS = 500;
const FLOOR_TOKENS = 4_000;

/** Servers of the service, the ledger between them, and all sendings. */
export class Redemption {
  readonly sendings: Sending[] = [];
  claimFault: ClaimFault = 'none';
  #delayed: ClaimPayload | undefined;
  readonly #servers = new Map<string, GatedServer>();
  readonly #starts = new Map<string, number>();
  readonly #runs = new Map<string, number>();
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
   * @returns how often the service ran it, over all servers and restarts
   */
  runsOf(key: string): number {
    const past = this.#runs.get(key) ?? 0;
    return [...this.#servers.values()].reduce(
      (sum, server) => sum + this.#countRuns(server, key),
      past,
    );
  }

  /** Attempts that any running server was told to cancel. */
  get cancelled(): number {
    const servers = [...this.#servers.values()];
    return servers.reduce((sum, server) => sum + server.cancelled.size, 0);
  }

  /**
   * @param key the idempotency key
   * @param server where the router sends it
   */
  send(key: string, server: string): void {
    const attemptId = `attempt-${this.sendings.length + 1}`;
    const offer = makeOffer(server, attemptId, {
      incarnation: this.#incarnationOf(server),
      tokens: TOKENS,
      nonRepeatable: true,
    });
    this.sendings.push({key, server, offer, answer: ''});
    this.#serverOf(server).offer(offer);
  }

  /** The attempt sent first is delivered once more. */
  repeatFirst(): void {
    const {server, offer} = this.sendingAt(0);
    this.#serverOf(server).offer(offer);
  }

  /** The caller of the attempt sent first closes its connection. */
  callerGone(): void {
    const {server, offer} = this.sendingAt(0);
    const {gate} = this.#serverOf(server);
    const actions = gate.callerGone(offer.attemptId, this.#timeline.now);
    this.#serverOf(server).apply(actions);
  }

  /** A claim that was delayed reaches the leader. */
  deliverDelayed(): void {
    if (!this.#delayed) throw new Error('no claim is delayed');
    this.#control.execute(CLAIM_COMMAND, this.#delayed);
  }

  /**
   * @param index 0 for the first
   * @returns the sending
   */
  sendingAt(index: number): Sending {
    const sending = this.sendings[index];
    if (!sending) throw new Error(`nothing was sent ${index + 1} times`);
    return sending;
  }

  /** @param name a server whose sidecar starts, for the first time or again */
  restart(name: string): void {
    const former = this.#servers.get(name);
    if (former) this.#keepRuns(former);
    former?.stall();
    this.#starts.set(name, (this.#starts.get(name) ?? 0) + 1);
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
    server.onClaim = offer => {
      this.#claim(server, offer);
    };
    server.onRefuse = ({attemptId, failure}) => {
      this.#answer(attemptId, failure.kind);
    };
    server.onComplete = offer => {
      this.#record(offer, 'ran');
    };
    return server;
  }

  #claim(server: GatedServer, offer: Offer): void {
    const claim = this.#makeClaim(server.name, offer);
    const fault = this.claimFault;
    this.claimFault = 'none';
    if (fault === 'delayed') {
      this.#delayed = claim;
      this.#giveUp(server, offer);
      return;
    }
    const result = this.#control.execute<ClaimPayload, ClaimResult>(
      CLAIM_COMMAND,
      claim,
    );
    if (fault === 'answerLost') {
      this.#giveUp(server, offer);
      return;
    }
    if (result.kind === 'granted') {
      server.grant(offer.attemptId);
      return;
    }
    this.#answer(offer.attemptId, result.kind);
    const {now} = this.#timeline;
    server.apply(server.gate.claimDenied(offer.attemptId, now));
  }

  /** No answer came: the sidecar refuses the call and says so in the ledger. */
  #giveUp(server: GatedServer, offer: Offer): void {
    this.#record(offer, 'notRun');
    this.#answer(offer.attemptId, 'ledgerUnavailable');
    const {now} = this.#timeline;
    server.apply(server.gate.claimDenied(offer.attemptId, now));
  }

  #record(offer: Offer, outcome: RecordPayload['outcome']): void {
    const sending = this.#sendingOf(offer.attemptId);
    this.#control.execute(RECORD_COMMAND, {
      workspace: WORKSPACE,
      key: sending.key,
      attempt: offer.attemptId,
      outcome,
      status: 200,
      answer: '',
      contentType: 'application/json',
    });
  }

  #makeClaim(server: string, {attemptId, incarnation}: Offer): ClaimPayload {
    const {key} = this.#sendingOf(attemptId);
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
    const sending = this.#sendingOf(attemptId);
    if (sending.answer === '') sending.answer = answer;
  }

  #sendingOf(attemptId: string): Sending {
    const index = this.sendings.findIndex(
      sending => sending.offer.attemptId === attemptId,
    );
    return this.sendingAt(index);
  }

  #serverOf(name: string): GatedServer {
    const server = this.#servers.get(name);
    if (!server) throw new Error(`no server is named ${name}`);
    return server;
  }

  #incarnationOf(name: string): string {
    return `${name}-${this.#starts.get(name) ?? 1}`;
  }

  #countRuns(server: GatedServer, key: string): number {
    return this.sendings
      .filter(sending => sending.key === key)
      .reduce((sum, {offer}) => sum + server.runsOf(offer.requestId), 0);
  }

  #keepRuns(server: GatedServer): void {
    const keys = new Set(this.sendings.map(sending => sending.key));
    for (const key of keys) {
      const runs = (this.#runs.get(key) ?? 0) + this.#countRuns(server, key);
      this.#runs.set(key, runs);
    }
  }
}
