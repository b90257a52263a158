/**
 * A pool with admission control at a gateway on loopback, whose servers answer
 * when the test says so.
 */
import {
  type ConfigurationContent,
  configurationSchema,
  type Logger,
} from '@lovagepond/core';
import {expect, vi} from 'vitest';
import {
  answer,
  type CallerResponse,
  clock,
  GatewayHarness,
  KEY,
  NAMES,
  type Script,
  silentLog,
} from './gateway_harness.js';

/**
 * Estimated duration of a call, ms. A server that runs one is closed for further
 * ones, as these would not be in target after it.
 */
export const WORK_MS = 1_000;

/** So many observations that a few short calls hardly change the estimate. */
const OBSERVATIONS = 10;

export const ADMISSION = {serverQueuePart: 0.05, lowerPriorityPart: 0};

const FORWARDING = {
  timeoutMs: 10_000,
  targetLatencyMs: 1_500,
  maxAttempts: 2,
  priority: 5,
  streaming: false,
  resumable: false,
  sticky: false,
};

const PRIORITIES = {low: 1, read: 5, high: 9};

const WORKSPACES = 9;

/**
 * @param admission the pool's field; undefined for none
 * @returns a configuration with kinds `low`, `read` and `high`, each under its
 *     own path, and workspaces with the keys `key-0` to `key-8`
 */
export function contentWith(
  admission: object | undefined,
): ConfigurationContent {
  return configurationSchema.parse({
    pools: [{name: 'servers', kind: 'service', admission}],
    workspaces: [
      {name: 'nord', apiKeys: [KEY]},
      ...Array.from({length: WORKSPACES}, (_, nth) => ({
        name: `workspace-${nth}`,
        apiKeys: [`key-${nth}`],
      })),
    ],
    requestKinds: Object.entries(PRIORITIES).map(([name, priority]) => ({
      name,
      forwarding: {...FORWARDING, priority},
    })),
    selectors: Object.keys(PRIORITIES).map(name => ({
      name,
      workspaces: ['*'],
      requestKinds: [name],
      pools: '',
      match: {host: 'shop.example', pathPrefix: `/${name}/`},
      poolWeights: [{pool: 'servers', weight: 1}],
    })),
  });
}

interface LoggedLine {
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A call that a server has not answered yet. */
interface HeldCall {
  readonly url: string;
  readonly finish: () => void;
}

export class OverloadedPool {
  /** Calls that wait for their answer, over all servers. */
  readonly held: HeldCall[] = [];
  /** Paths of the calls that reached a server. */
  readonly reached: string[] = [];
  readonly #lines: LoggedLine[] = [];
  #gateway: GatewayHarness | undefined;

  readonly #log: Logger = {
    ...silentLog,
    info: (message, fields = {}) => {
      this.#lines.push({message, fields});
    },
    warn: (message, fields = {}) => {
      this.#lines.push({message, fields});
    },
  };

  /** Holds calls until the test ends them. */
  readonly holding: Script = (req, res) => {
    const url = req.url ?? '';
    this.reached.push(url);
    const finish = (): void => {
      answer(req, res, 200, url);
    };
    this.held.push({url, finish});
  };

  get gateway(): GatewayHarness {
    return this.#gateway!;
  }

  async start(
    scripts: readonly Script[],
    admission: object | null = ADMISSION,
  ): Promise<void> {
    this.#gateway = await GatewayHarness.start(scripts, {
      content: contentWith(admission ?? undefined),
      listed: () => ({directSlots: 1}),
      revocationBoundMs: 60_000,
      log: this.#log,
    });
  }

  stop(): void {
    this.#gateway?.stop();
  }

  /** @returns the fields of the lines with a message */
  linesOf(message: string): readonly LoggedLine['fields'][] {
    return this.#lines
      .filter(line => line.message === message)
      .map(({fields}) => fields);
  }

  call(
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallerResponse> {
    return this.gateway.call({path, headers});
  }

  /** Makes all servers busy, each with one call. */
  async occupy(servers = 1): Promise<Promise<CallerResponse>[]> {
    this.#teach();
    const calls: Promise<CallerResponse>[] = [];
    for (let nth = 0; nth < servers; nth += 1) {
      calls.push(this.call(`/read/busy-${nth}`));
      await this.untilReached(nth + 1);
    }
    return calls;
  }

  /** Lets the gateway know how long calls take. */
  #teach(): void {
    for (const {capacity, slots} of this.gateway.gatewayFleet.all()) {
      for (const kind of Object.keys(PRIORITIES)) {
        for (let nth = 0; nth < OBSERVATIONS; nth += 1) {
          capacity.noteService(kind, WORK_MS, 0, slots, clock.now());
        }
      }
    }
  }

  /** Sends calls one after the other, each of another workspace. */
  async queue(count: number): Promise<Promise<CallerResponse>[]> {
    const calls: Promise<CallerResponse>[] = [];
    for (let nth = 0; nth < count; nth += 1) {
      const headers = {[NAMES.apiKey]: `key-${nth}`};
      calls.push(this.call(`/read/queued-${nth}`, headers));
      await this.untilWaiting(nth + 1);
    }
    return calls;
  }

  /** Ends held calls until all of the calls are answered. */
  async answerAll(
    calls: readonly Promise<CallerResponse>[],
  ): Promise<readonly CallerResponse[]> {
    const timer = setInterval(() => {
      this.held.shift()?.finish();
    }, 5);
    try {
      return await Promise.all(calls);
    } finally {
      clearInterval(timer);
    }
  }

  /** @returns number of queued requests */
  waiting(): number {
    const {waitingByPool} = this.gateway.overload.describe(clock.now());
    return (waitingByPool as Record<string, number>)['servers'] ?? 0;
  }

  async untilWaiting(count: number): Promise<void> {
    await vi.waitFor(() => {
      expect(this.waiting()).toBe(count);
    });
  }

  async untilReached(count: number): Promise<void> {
    await vi.waitFor(() => {
      expect(this.reached).toHaveLength(count);
    });
  }
}

export function statusesOf(
  responses: readonly CallerResponse[],
): readonly number[] {
  return responses.map(({status}) => status);
}
