/**
 * Fakes of the sidecar's neighbours: an engine whose runs the test controls, a
 * control process with one fixed answer per call, and a router's client.
 */
import {
  Client,
  credentials,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServerWritableStream,
  type UntypedHandleCall,
} from '@grpc/grpc-js';
import {
  type EngineEvent,
  type ModelEngine,
  type ServerNotice,
  type ServerNoticeListener,
} from '@lovagepond/backend';
import {
  type Clock,
  encodeConfiguration,
  type Logger,
  makeFailure,
} from '@lovagepond/core';
import {
  CONTROL_SERVICE,
  lovagepond,
  SIDECAR_SERVICE,
} from '@lovagepond/protocol';
import {type Offer} from '../../sidecar_types.js';

const {v1} = lovagepond;

type Frame = lovagepond.v1.AttemptFrame.$Properties;

export const CLOCK: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
};

export const LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

export function makeOffer(attemptId: string, more: Partial<Offer> = {}): Offer {
  return {
    requestId: `request-${attemptId}`,
    attemptId,
    incarnation: 'inc-1',
    workspace: 'bakery',
    chat: 'chat-1',
    tokens: 600,
    priority: 5,
    deadlineAt: Infinity,
    nonRepeatable: false,
    revision: 0,
    firstChoice: '',
    handOvers: 0,
    poolMeanTokens: 0,
    ...more,
  };
}

/** An engine that echoes each request's body in two pieces. */
export class EchoEngine implements ModelEngine {
  readonly runs: string[] = [];
  readonly cancelled: string[] = [];
  readonly notices = new Set<ServerNoticeListener>();
  incarnation = 'engine-a';
  probes = 0;
  /** Blocks each run after its first piece; unset for no delay. */
  gate: Promise<void> | undefined;

  async *run(
    request: Parameters<ModelEngine['run']>[0],
  ): AsyncGenerator<EngineEvent> {
    this.runs.push(request.requestId);
    const half = Math.floor(request.body.length / 2);
    yield {kind: 'dispatched'};
    yield {
      kind: 'started',
      status: 200,
      contentType: 'text/plain',
      cachedTokens: 3,
    };
    yield {kind: 'data', offset: 0, bytes: request.body.subarray(0, half)};
    await this.gate;
    if (this.cancelled.includes(request.requestId)) {
      yield {kind: 'failed', failure: makeFailure('callerGone')};
      return;
    }
    yield {kind: 'data', offset: half, bytes: request.body.subarray(half)};
    const usage = {promptTokens: 1, cachedTokens: 3, answerTokens: 1};
    yield {kind: 'end', totalBytes: request.body.length, usage};
  }

  /** Gives notice as in a response. */
  notify(notice: ServerNotice): void {
    for (const listener of this.notices) listener(notice);
  }

  onNotice(listener: ServerNoticeListener): () => void {
    this.notices.add(listener);
    return () => {
      this.notices.delete(listener);
    };
  }

  cancel(requestId: string): void {
    this.cancelled.push(requestId);
  }

  exportCache(): ReturnType<ModelEngine['exportCache']> {
    const cache = {tokens: 100, bytes: Buffer.from('cache')};
    return Promise.resolve({ok: true, value: cache});
  }

  importCache(): ReturnType<ModelEngine['importCache']> {
    return Promise.resolve({ok: true, value: true});
  }

  subscribeCache(): () => void {
    return () => {};
  }

  loadReport(): ReturnType<ModelEngine['loadReport']> {
    this.probes += 1;
    return Promise.resolve({
      ok: true,
      value: {
        incarnation: this.incarnation,
        runningTokens: 0,
        waitingTokens: 0,
        runningRequests: 0,
        capacityTokens: 100_000,
        cachedTokens: 0,
        measuredAt: CLOCK.now(),
        models: ['small'],
      },
    });
  }

  order(): ReturnType<ModelEngine['order']> {
    return Promise.resolve({ok: true, value: {outcome: 'done', message: ''}});
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** A single control member: confirms revision 1, accepts announcements. */
export class FakeControl {
  readonly #server = new Server();
  readonly announced: lovagepond.v1.AnnounceRequest.$Properties[] = [];
  announceAnswer: lovagepond.v1.AnnounceResponse.$Properties = {
    accepted: true,
    poolReadyServers: 1,
    wantedState: 'ready',
  };

  async start(): Promise<string> {
    const configuration = encodeConfiguration({
      revision: 1,
      content: {pools: [], selectors: [], workspaces: [], requestKinds: []},
    });
    const announce = (
      call: ServerUnaryCall<
        lovagepond.v1.AnnounceRequest.$Properties,
        lovagepond.v1.AnnounceResponse
      >,
      callback: sendUnaryData<lovagepond.v1.AnnounceResponse>,
    ): void => {
      this.announced.push(call.request);
      callback(null, new v1.AnnounceResponse(this.announceAnswer));
    };
    const subscribe = (
      call: ServerWritableStream<unknown, lovagepond.v1.ControlUpdate>,
    ): void => {
      const update = {revision: 1, configuration, majorityConfirmed: true};
      call.write(
        new v1.ControlUpdate({
          configuration: new v1.ConfigurationUpdate(update),
        }),
      );
    };
    const handlers = {announce, subscribe} as Record<string, unknown>;
    const names = Object.keys(CONTROL_SERVICE);
    const refuse = (_call: unknown, callback: sendUnaryData<unknown>): void =>
      callback(new Error('not here'));
    this.#server.addService(
      CONTROL_SERVICE,
      Object.fromEntries(
        names.map(name => [name, handlers[name] ?? refuse]),
      ) as Record<string, UntypedHandleCall>,
    );
    const insecure = ServerCredentials.createInsecure();
    const port = await new Promise<number>((resolve, reject) => {
      this.#server.bindAsync('127.0.0.1:0', insecure, (err, bound) => {
        if (err) reject(err);
        else resolve(bound);
      });
    });
    return `127.0.0.1:${port}`;
  }

  stop(): void {
    this.#server.forceShutdown();
  }
}

/** Frames of one attempt as received by a router. */
export interface OpenAttempt {
  readonly frames: Frame[];
  /** Resolves when a frame of this kind has arrived. */
  until(kind: NonNullable<Frame['kind']>): Promise<Frame>;
  /** Resolves when the stream has ended. */
  readonly over: Promise<void>;
  cancel(): void;
}

/** Joins the answer's bytes of a list of frames. */
export function joinChunks(frames: readonly Frame[]): string {
  const chunks = frames.flatMap(frame => (frame.chunk ? [frame.chunk] : []));
  return Buffer.concat(chunks.map(({data}) => data ?? Buffer.of())).toString();
}

/** A router's connection to one sidecar. */
export class FakeRouter {
  readonly client: Client;
  readonly #incarnation: string;

  constructor(address: string, incarnation: string) {
    this.client = new Client(address, credentials.createInsecure());
    this.#incarnation = incarnation;
  }

  attempt(request: lovagepond.v1.AttemptRequest.$Properties): OpenAttempt {
    const method = SIDECAR_SERVICE.attempt;
    const call = this.client.makeServerStreamRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      new v1.AttemptRequest({
        incarnation: this.#incarnation,
        workspace: 'bakery',
        deadlineLeftMs: 10_000,
        estimatedTokens: 10,
        revision: 1,
        ...request,
      }),
    );
    const frames: Frame[] = [];
    const waiting = new Map<string, (frame: Frame) => void>();
    call.on('data', (frame: Frame) => {
      frames.push(frame);
      waiting.get(frame.kind ?? '')?.(frame);
    });
    const over = new Promise<void>(resolve => {
      call.on('error', () => resolve());
      call.on('end', () => resolve());
    });
    return {
      frames,
      over,
      until: kind => {
        const known = frames.find(frame => frame.kind === kind);
        if (known) return Promise.resolve(known);
        return new Promise(resolve => waiting.set(kind, resolve));
      },
      cancel: () => call.cancel(),
    };
  }

  close(): void {
    this.client.close();
  }
}
