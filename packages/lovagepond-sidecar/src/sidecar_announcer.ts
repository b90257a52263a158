/**
 * Announces the backend server to control, again and again, and hears the
 * pool's mean, the wanted state and orders in return.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {type SidecarControlLink} from './sidecar_control_link.js';

type AnnounceRequest = lovagepond.v1.AnnounceRequest.$Properties;
type AnnounceResponse = lovagepond.v1.AnnounceResponse;

/** What the announcer needs. */
export interface AnnouncerDependencies {
  readonly link: SidecarControlLink;
  readonly announceIntervalMs: number;
  makeAnnouncement(): AnnounceRequest;
  /** @param sent the announcement that was answered */
  onAnswer(answer: AnnounceResponse, sent: AnnounceRequest): void;
}

/** Keeps one announcement on its way at a time. */
export class SidecarAnnouncer {
  readonly #deps: AnnouncerDependencies;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #sending = false;
  #sendAgain = false;

  constructor(deps: AnnouncerDependencies) {
    this.#deps = deps;
  }

  /** Announces now and from then on at each interval. */
  start(): void {
    const {announceIntervalMs} = this.#deps;
    this.#timer = setInterval(() => void this.announce(), announceIntervalMs);
    void this.announce();
  }

  /**
   * Announces at once, as when the state changed. One that is on its way may
   * carry the former state: another follows it.
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

  /** Ends it. */
  stop(): void {
    this.#stopped = true;
    this.#sendAgain = false;
    clearInterval(this.#timer);
  }

  async #sendOnce(): Promise<void> {
    const sent = this.#deps.makeAnnouncement();
    const answer = await this.#deps.link.announce(sent);
    // A member that is not the leader knows neither mean nor orders.
    if (this.#stopped || !answer?.accepted) return;
    this.#deps.onAnswer(answer, sent);
  }
}
