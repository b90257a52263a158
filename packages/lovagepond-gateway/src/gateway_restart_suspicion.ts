/**
 * Limits the load permits for servers that may have started again, cold, under
 * their names. They get no more than a cold server does until control lists them
 * anew; the issuers of warm-up permits begin a window later.
 */
import {type Pool} from '@lovagepond/core';
import {type ServerState} from './gateway_server_state.js';
import {grantable, GRANT_WINDOW_MS} from './gateway_warm_up_issuer.js';

type SuspectedServer = Pick<ServerState, 'server' | 'warmUpNews'>;

export class RestartSuspicions {
  /** Times of the permits within the window, by server. */
  readonly #grantedAt = new Map<string, readonly number[]>();

  /**
   * @param state a server
   * @param pool its pool, if it is configured
   * @param now current time, monotonic milliseconds
   * @returns false if the server may get no permit now
   */
  admits(
    {server, warmUpNews}: SuspectedServer,
    pool: Pool | undefined,
    now: number,
  ): boolean {
    if (!pool?.warmUp || !warmUpNews.mayHaveRestarted(now)) return true;
    const limit = grantable(pool.warmUp.maxRequestsPerSecond);
    return this.#recent(server.name, now).length < limit;
  }

  /**
   * @param state a server for which a permit was granted
   * @param now current time, monotonic milliseconds
   */
  noteGranted({server, warmUpNews}: SuspectedServer, now: number): void {
    if (!warmUpNews.mayHaveRestarted(now)) {
      this.#grantedAt.delete(server.name);
      return;
    }
    const recent = this.#recent(server.name, now);
    this.#grantedAt.set(server.name, [...recent, now]);
  }

  /** @param listed names of the servers that control lists */
  keepOnly(listed: ReadonlySet<string>): void {
    for (const name of this.#grantedAt.keys()) {
      if (!listed.has(name)) this.#grantedAt.delete(name);
    }
  }

  #recent(name: string, now: number): readonly number[] {
    const granted = this.#grantedAt.get(name) ?? [];
    return granted.filter(at => now - at < GRANT_WINDOW_MS);
  }
}
