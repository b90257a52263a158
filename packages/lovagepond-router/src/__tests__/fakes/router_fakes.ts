/**
 * Fakes of the router's peers: the control plane and sidecars over gRPC on
 * loopback, and the callers' front end without HTTP.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server as TcpServer,
  type Socket,
} from 'node:net';
import {
  Server,
  ServerCredentials,
  type ServerWritableStream,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
  type ResponseSink,
  type CallerHandler,
  type CallerRequest,
} from '@lovagepond/caller';
import {
  checkConfiguration,
  type Clock,
  type Configuration,
  type ConfigurationContent,
  decodeConfiguration,
  type DrainResult,
  encodeConfiguration,
  type Failure,
  type Logger,
} from '@lovagepond/core';
import {
  CONTROL_SERVICE,
  type lovagepond,
  SIDECAR_SERVICE,
} from '@lovagepond/protocol';
import {type CallerFront} from '../../router_role.js';

export type WireAttempt = lovagepond.v1.AttemptRequest.$Properties;
export type WireFrame = lovagepond.v1.AttemptFrame.$Properties;
export type WireMember = lovagepond.v1.Member.$Properties;
type WireUpdate = lovagepond.v1.ControlUpdate.$Properties;

export const QUIET_LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

export const SYSTEM_CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

export function makeConfiguration(
  revision: number,
  input: unknown = {
    pools: [{name: 'chat', kind: 'engine'}],
    workspaces: [{name: 'bakery'}],
    requestKinds: [{name: 'chat'}, {name: 'redeem', nonRepeatable: true}],
    selectors: [
      {name: 'all', workspaces: ['*'], requestKinds: ['*'], pools: ''},
    ],
  },
): Configuration {
  const checked = checkConfiguration(input);
  if (!checked.ok) throw new Error(JSON.stringify(checked.faults));
  const content: ConfigurationContent = checked.content;
  return {revision, content};
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) => {
      if (err) reject(err);
      else resolve(port);
    });
  });
}

/** An attempt that a fake sidecar received, with methods to answer it. */
export interface ReceivedAttempt {
  readonly request: WireAttempt;
  send(frame: WireFrame): void;
  end(): void;
}

/** A sidecar that passes attempts to a handler. */
export class FakeSidecar {
  readonly incarnation: string;
  readonly revoked: string[] = [];
  readonly installed: Uint8Array[] = [];
  revokeOutcome = 'unknown';
  revision = 1;
  onAttempt: (attempt: ReceivedAttempt) => void;
  address = '';
  readonly #server = new Server();

  constructor(
    incarnation: string,
    onAttempt: (attempt: ReceivedAttempt) => void = answerWhole,
  ) {
    this.incarnation = incarnation;
    this.onAttempt = onAttempt;
  }

  async start(): Promise<void> {
    const {attempt, revoke, install} = SIDECAR_SERVICE;
    this.#server.addService({attempt, revoke, install} as never, {
      attempt: (call: ServerWritableStream<WireAttempt, WireFrame>) => {
        this.#take(call);
      },
      revoke: (
        call: ServerUnaryCall<lovagepond.v1.RevokeRequest.$Properties, object>,
        done: sendUnaryData<object>,
      ) => {
        this.revoked.push(call.request.attemptId ?? '');
        done(null, {outcome: this.revokeOutcome});
      },
      install: (
        call: ServerUnaryCall<lovagepond.v1.InstallRequest.$Properties, object>,
        done: sendUnaryData<object>,
      ) => {
        const bytes = call.request.configuration as Uint8Array;
        this.installed.push(bytes);
        this.revision = decodeConfiguration(bytes)?.revision ?? 0;
        done(null, {revision: this.revision});
      },
    });
    this.address = `127.0.0.1:${await listen(this.#server)}`;
  }

  member(name: string, address = this.address): WireMember {
    return {
      backendServer: name,
      incarnation: this.incarnation,
      pool: 'chat',
      address,
      state: 'ready',
    };
  }

  stop(): void {
    this.#server.forceShutdown();
  }

  #take(call: ServerWritableStream<WireAttempt, WireFrame>): void {
    call.on('error', () => {});
    const {request} = call;
    const {incarnation, revision} = this;
    const base = {attemptId: request.attemptId ?? '', incarnation, revision};
    this.onAttempt({
      request,
      send: frame => call.write({...base, ...frame}),
      end: () => call.end(),
    });
  }
}

/** Sends the complete answer `hello` in two pieces. */
export function answerWhole(attempt: ReceivedAttempt): void {
  attempt.send({accepted: {expectedWaitMs: 0}});
  attempt.send({started: {warm: true}});
  const head = {status: 200, contentType: 'text/event-stream'};
  attempt.send({chunk: {offset: 0, data: Buffer.from('hel'), ...head}});
  attempt.send({chunk: {offset: 3, data: Buffer.from('lo'), ...head}});
  attempt.send({end: {totalBytes: 5, ...head}});
  attempt.end();
}

/** A control-plane member that sends fixed updates to each subscriber. */
export class FakeControl {
  address = '';
  /** The revisions that routers have reported. */
  readonly reports: number[] = [];
  readonly #server = new Server();
  readonly #updates: WireUpdate[];

  constructor(configuration: Configuration, members: WireMember[]) {
    this.#updates = [
      {
        configuration: {
          revision: configuration.revision,
          configuration: encodeConfiguration(configuration),
          majorityConfirmed: true,
        },
      },
      {membership: {version: 1, whole: true, members}},
    ];
  }

  async start(): Promise<void> {
    const {subscribe, reportConvergence} = CONTROL_SERVICE;
    this.#server.addService({subscribe, reportConvergence} as never, {
      reportConvergence: (
        call: ServerUnaryCall<{revision?: number}, object>,
        done: sendUnaryData<object>,
      ) => {
        this.reports.push(call.request.revision ?? 0);
        done(null, {});
      },
      subscribe: (call: ServerWritableStream<object, WireUpdate>) => {
        call.on('error', () => {});
        for (const update of this.#updates) call.write(update);
      },
    });
    this.address = `127.0.0.1:${await listen(this.#server)}`;
  }

  stop(): void {
    this.#server.forceShutdown();
  }
}

/**
 * A proxy between router and sidecar that simulates a network device which
 * drops connections: after `blackhole()`, open connections carry no more data,
 * while new ones work.
 */
export class BlackholeProxy {
  address = '';
  #sockets: Socket[] = [];
  readonly #server: TcpServer;

  constructor(target: string) {
    const port = Number(target.split(':')[1]);
    this.#server = createServer(socket => {
      const onward = connect(port, '127.0.0.1');
      for (const end of [socket, onward]) end.on('error', () => {});
      socket.on('close', () => onward.destroy());
      socket.pipe(onward);
      onward.pipe(socket);
      this.#sockets.push(socket, onward);
    });
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  blackhole(): void {
    for (const socket of this.#sockets) {
      socket.unpipe();
      socket.resume();
    }
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

/** Records what a caller receives. */
export class FakeSink implements ResponseSink {
  text = '';
  status = 0;
  failure: Failure | undefined;
  ended = false;
  readonly done: Promise<void>;
  #resolve: () => void = () => {};
  #cancel: (failure: Failure) => void = () => {};

  constructor() {
    this.done = new Promise(resolve => {
      this.#resolve = resolve;
    });
  }

  get closed(): boolean {
    return this.ended || this.failure !== undefined;
  }

  get begun(): boolean {
    return this.status > 0;
  }

  begin(status: number): void {
    this.status = status;
  }

  write(chunk: Uint8Array): Promise<void> {
    this.text += Buffer.from(chunk).toString();
    return Promise.resolve();
  }

  end(): void {
    this.ended = true;
    this.#resolve();
  }

  fail(failure: Failure): void {
    this.failure = failure;
    this.#resolve();
  }

  onCancel(listener: (failure: Failure) => void): () => void {
    this.#cancel = listener;
    return () => {};
  }

  cancel(failure: Failure): void {
    this.failure = failure;
    this.#cancel(failure);
  }
}

/** Passes requests to the router without HTTP. */
export class FakeFront implements CallerFront {
  readonly port = 0;
  readonly counters = {
    connections: 0,
    inFlight: 0,
    requests: 0,
    heldBodyBytes: 0,
    refusedConnections: 0,
    malformed: 0,
    refusedByKind: {},
    closedByLimit: {},
    slowReadersEnded: 0,
    callersGone: 0,
  };
  readonly handler: CallerHandler;

  constructor(handler: CallerHandler) {
    this.handler = handler;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  drain(): Promise<DrainResult> {
    return Promise.resolve({unfinished: 0});
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

export function makeRequest(
  change: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    requestId: 'r1',
    workspace: 'bakery',
    chat: 'c1',
    requestKind: 'chat',
    bodyDigest: new Uint8Array(32),
    deadline: performance.now() + 10_000,
    path: '/v1/chat/completions',
    body: Buffer.from('{}'),
    contentType: 'application/json',
    stream: true,
    estimatedTokens: 100,
    ...change,
  };
}
