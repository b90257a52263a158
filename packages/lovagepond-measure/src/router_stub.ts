/**
 * Stubs of a control member and a sidecar that only send prepared answers, so
 * that a benchmark measures little beside the router.
 */
import {
  Server,
  ServerCredentials,
  type ServerWritableStream,
} from '@grpc/grpc-js';
import {CallerServer, DEFAULT_CALLER_SETTINGS} from '@lovagepond/caller';
import {
  checkConfiguration,
  encodeConfiguration,
  Random,
} from '@lovagepond/core';
import {
  CONTROL_SERVICE,
  type lovagepond,
  SIDECAR_SERVICE,
} from '@lovagepond/protocol';
import {DEFAULT_ROUTER_SETTINGS, RouterRole} from '@lovagepond/router';
import {MEASURE_CLOCK, NO_LOG, waitUntil} from './measure_environment.js';
import {BENCH_CONFIGURATION} from './router_bench.js';

type Attempt = lovagepond.v1.AttemptRequest.$Properties;
type Frame = lovagepond.v1.AttemptFrame.$Properties;
type Update = lovagepond.v1.ControlUpdate.$Properties;

/** An attempt's stream at the stub. */
export type StubCall = ServerWritableStream<Attempt, Frame>;

const INCARNATION = 'stub';
const SEED = 5;

function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) => {
      if (err) reject(err);
      else resolve(`127.0.0.1:${port}`);
    });
  });
}

/**
 * @param call the attempt
 * @param body content of the frame
 * @returns the frame with the ids of the attempt
 */
export function makeStubFrame(call: StubCall, body: Frame): Frame {
  const {attemptId = ''} = call.request;
  return {attemptId, incarnation: INCARNATION, revision: 1, ...body};
}

/** One router connected to the stubs. */
export class RouterStub {
  readonly #sidecar = new Server();
  readonly #control = new Server();
  #router: RouterRole | undefined;
  #front: CallerServer | undefined;
  sidecarAddress = '';

  /**
   * @param onAttempt answers each attempt
   * @returns the router's URL, once it is ready
   */
  async start(onAttempt: (call: StubCall) => void): Promise<string> {
    const {attempt} = SIDECAR_SERVICE;
    this.#sidecar.addService({attempt} as never, {attempt: onAttempt});
    this.sidecarAddress = await listen(this.#sidecar);
    const {subscribe} = CONTROL_SERVICE;
    this.#control.addService({subscribe} as never, {
      subscribe: (call: ServerWritableStream<object, Update>) => {
        for (const update of this.#listUpdates()) call.write(update);
      },
    });
    const control = await listen(this.#control);
    await this.#startRouter(control);
    return `http://127.0.0.1:${this.#front?.port ?? 0}`;
  }

  /** Stops the router and the stubs. */
  async stop(): Promise<void> {
    await this.#router?.stop();
    this.#sidecar.forceShutdown();
    this.#control.forceShutdown();
  }

  async #startRouter(control: string): Promise<void> {
    const router = new RouterRole(
      {
        ...DEFAULT_ROUTER_SETTINGS,
        name: 'router',
        controlAddresses: [control],
        // The stubs send no heartbeats.
        controlSilentAfterMs: Number.POSITIVE_INFINITY,
        attemptSilentAfterMs: Number.POSITIVE_INFINITY,
      },
      {
        clock: MEASURE_CLOCK,
        log: NO_LOG,
        random: new Random(SEED),
        createFront: handler => {
          const dependencies = {clock: MEASURE_CLOCK, handler};
          this.#front = new CallerServer(DEFAULT_CALLER_SETTINGS, dependencies);
          return this.#front;
        },
      },
    );
    this.#router = router;
    await router.start();
    await waitUntil(() => router.isReady());
  }

  #listUpdates(): Update[] {
    const checked = checkConfiguration(BENCH_CONFIGURATION);
    if (!checked.ok) throw new Error('the benchmark configuration is invalid');
    const configuration = {revision: 1, content: checked.content};
    const member = {
      backendServer: 'engine-1',
      incarnation: INCARNATION,
      pool: 'engines',
      address: this.sidecarAddress,
      state: 'ready',
    };
    return [
      {
        configuration: {
          revision: 1,
          configuration: encodeConfiguration(configuration),
          majorityConfirmed: true,
        },
      },
      {membership: {version: 1, whole: true, members: [member]}},
    ];
  }
}
