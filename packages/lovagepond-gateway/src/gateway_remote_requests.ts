/**
 * Requests of other gateways at one server, as these have reported them.
 */

/**
 * TTL of a report, milliseconds: nearly all requests end within it, and a
 * gateway that has exited can't withdraw its report.
 */
const REMOTE_TTL_MS = 3_000;

/** Requests at a server, and their prompt tokens that are not yet computed. */
export interface ReportedRequests {
  readonly requests: number;
  /** 0 from gateways and members of control of the previous release. */
  readonly prefillTokens: number;
}

interface DatedReport extends ReportedRequests {
  readonly reportedAt: number;
}

/** The latest report of each other gateway, or of all of them together. */
export class RemoteRequests {
  /** By gateway name; empty for all others together. */
  readonly #byGateway = new Map<string, DatedReport>();
  #requests = 0;
  #prefillTokens = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;

  /** When the latest report arrived, monotonic milliseconds. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  get requests(): number {
    return this.#requests;
  }

  get prefillTokens(): number {
    return this.#prefillTokens;
  }

  /**
   * @param gateway name of another gateway; empty for all others together
   * @param reported its requests at the server
   * @param now current time, monotonic milliseconds
   */
  note(
    gateway: string,
    {requests, prefillTokens}: ReportedRequests,
    now: number,
  ): void {
    this.#reportedAt = now;
    // Members of control that run the previous release report each gateway
    // separately. After switching between members of both releases, a gateway
    // would count the same requests twice.
    if (gateway === '') this.#byGateway.clear();
    else this.#byGateway.delete('');
    if (requests === 0 && prefillTokens === 0) this.#byGateway.delete(gateway);
    else {
      this.#byGateway.set(gateway, {requests, prefillTokens, reportedAt: now});
    }
    this.#sum();
  }

  /** @param now current time, monotonic milliseconds */
  expire(now: number): void {
    for (const [gateway, {reportedAt}] of this.#byGateway) {
      if (now - reportedAt > REMOTE_TTL_MS) this.#byGateway.delete(gateway);
    }
    this.#sum();
  }

  #sum(): void {
    this.#requests = 0;
    this.#prefillTokens = 0;
    for (const {requests, prefillTokens} of this.#byGateway.values()) {
      this.#requests += requests;
      this.#prefillTokens += prefillTokens;
    }
  }
}
