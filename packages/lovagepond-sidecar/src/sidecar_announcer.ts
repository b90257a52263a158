/**
 * Announces the backend server to control periodically. Each response carries
 * the pool's mean load, the wanted state and orders.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {type SidecarControlLink} from './sidecar_control_link.js';

type AnnounceRequest = lovagepond.v1.AnnounceRequest.$Properties;
type AnnounceResponse = lovagepond.v1.AnnounceResponse;

export interface AnnouncerDependencies {
  readonly link: SidecarControlLink;
  readonly announceIntervalMs: number;
  makeAnnouncement(): AnnounceRequest;
  /** @param sent the announcement that was answered */
  onAnswer(answer: AnnounceResponse, sent: AnnounceRequest): void;
}

/** Sends at most one announcement at a time. */
export class SidecarAnnouncer {
  readonly #deps: AnnouncerDependencies;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #sending = false;
  #sendAgain = false;

  constructor(deps: AnnouncerDependencies) {
    this.#deps = deps;
  }

  /** Starts announcing at each interval. */
  start(): void {
    const {announceIntervalMs} = this.#deps;
    this.#timer = setInterval(() => void this.announce(), announceIntervalMs);
    void this.announce();
  }

  /**
   * Announces at once, for example after a change of state. An announcement in
   * flight may carry the former state, so another one follows it.
   */
  async announce(): Promise<void> {
    if (this.#stopped) return;
    this.#sendAgain = this.#sending;
    if (this.#sending) return;
    this.#sending = true;
    do {
      this.#sendAgain = false;
      await this.#sendOnce();
    } while (this.#sendAgain);
    this.#sending = false;
  }

  stop(): void {
    this.#stopped = true;
    this.#sendAgain = false;
    clearInterval(this.#timer);
  }

  async #sendOnce(): Promise<void> {
    const sent = this.#deps.makeAnnouncement();
    const answer = await this.#deps.link.announce(sent);
    // A member that is not the leader has neither the mean load nor orders.
    if (this.#stopped || !answer?.accepted) return;
    this.#deps.onAnswer(answer, sent);
  }
}
