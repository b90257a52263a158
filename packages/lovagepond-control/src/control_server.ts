/**
 * The gRPC server of one control member.
 */
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {
  type ConnectionInjector,
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServerWritableStream,
  status,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {type DrainResult, type Logger} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {SERVER_OPTIONS} from './control_channel_constants.js';
import {type Subscriber, type FeedUpdate} from './subscription_feed.js';
import {type UpdateSink} from './subscription_hub.js';
import {UpdateEncoder} from './update_encoder.js';

type V1 = typeof lovagepond.v1;
type Message<Name extends keyof V1> = InstanceType<V1[Name]>;

/** Handlers of the service's methods. */
export interface ControlHandlers {
  announce(
    req: Message<'AnnounceRequest'>,
  ): Promise<Message<'AnnounceResponse'>>;
  reportConvergence(
    req: Message<'ConvergenceReport'>,
  ): Promise<Message<'ConvergenceResponse'>>;
  reportReadings(report: Message<'ReadingReport'>): void;
  reportCrashes(
    report: Message<'CrashReport'>,
  ): Promise<Message<'CrashReportResponse'>>;
  requestRetries(
    req: Message<'RetryRequest'>,
  ): Promise<Message<'RetryResponse'>>;
  readStreamHistory(
    req: Message<'StreamHistoryRequest'>,
  ): Promise<Message<'StreamHistoryResponse'>>;
  claim(req: Message<'ClaimRequest'>): Promise<Message<'ClaimResponse'>>;
  record(req: Message<'RecordRequest'>): Promise<Message<'RecordResponse'>>;
  reportOrder(
    req: Message<'OrderOutcome'>,
  ): Promise<Message<'OrderOutcomeResponse'>>;
  /**
   * @param subscriber the subscriber
   * @param sink receives its updates
   * @returns a function to call when the stream is closed, or undefined while
   *     this member serves no subscriptions
   */
  subscribe(subscriber: Subscriber, sink: UpdateSink): (() => void) | undefined;
}

/** The service, with Subscribe's responses already encoded by UpdateEncoder. */
const SERVICE = {
  ...CONTROL_SERVICE,
  subscribe: {
    ...CONTROL_SERVICE.subscribe,
    responseSerialize: (bytes: Buffer) => bytes,
  },
};

/**
 * Time after the stop in which connections may still deliver what was written,
 * milliseconds. A peer that reads nothing is cut off after it.
 */
const FLUSH_LIMIT_MS = 200;

export class ControlServer {
  readonly server: Server;
  readonly #log: Logger;
  readonly #encoder = new UpdateEncoder();
  readonly #listener = createServer({noDelay: true});
  /** Open connections. The gRPC server leaves them open when it stops. */
  readonly #sockets = new Set<Socket>();
  #injector: ConnectionInjector | undefined;
  #activeCalls = 0;
  #idleListener: (() => void) | undefined;

  constructor(handlers: ControlHandlers, log: Logger) {
    this.#log = log;
    this.server = new Server(SERVER_OPTIONS);
    const implementation: UntypedServiceImplementation = {
      announce: this.#unary(req => handlers.announce(req as never)),
      reportConvergence: this.#unary(req =>
        handlers.reportConvergence(req as never),
      ),
      reportReadings: this.#unary(req => {
        handlers.reportReadings(req as never);
        return Promise.resolve(new lovagepond.v1.ReadingResponse());
      }),
      reportCrashes: this.#unary(report =>
        handlers.reportCrashes(report as never),
      ),
      requestRetries: this.#unary(req => handlers.requestRetries(req as never)),
      readStreamHistory: this.#unary(req =>
        handlers.readStreamHistory(req as never),
      ),
      claim: this.#unary(req => handlers.claim(req as never)),
      record: this.#unary(req => handlers.record(req as never)),
      reportOrder: this.#unary(req => handlers.reportOrder(req as never)),
      subscribe: this.#streaming(handlers),
    };
    this.server.addService(SERVICE, implementation);
  }

  /**
   * @param host address to listen on
   * @param port port to listen on; 0 lets the system choose
   * @returns the port in use
   */
  async listen(host: string, port: number): Promise<number> {
    const credentials = ServerCredentials.createInsecure();
    const injector = this.server.createConnectionInjector(credentials);
    this.#injector = injector;
    this.#listener.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      // Once its session has ended, nothing else handles a socket's errors.
      socket.on('error', err => {
        this.#log.debug('connection failed', {message: err.message});
      });
      injector.injectConnection(socket);
    });
    await new Promise<void>((resolve, reject) => {
      this.#listener.once('error', reject);
      this.#listener.listen(port, host, resolve);
    });
    return (this.#listener.address() as AddressInfo).port;
  }

  /**
   * Waits until no unary call is in progress, so that none is cut off by the
   * stop. Calls may still arrive until then.
   *
   * @param limitMs the maximum wait, milliseconds
   * @returns the number of calls that are still in progress
   */
  async waitUntilIdle(limitMs: number): Promise<DrainResult> {
    if (this.#activeCalls === 0) return {unfinished: 0};
    await new Promise<void>(resolve => {
      this.#idleListener = resolve;
      setTimeout(resolve, limitMs).unref();
    });
    return {unfinished: this.#activeCalls};
  }

  /**
   * Accepts no new calls. Each connection closes once its answers are sent, and
   * calls still in flight are cancelled after a short time.
   */
  stop(): void {
    this.#listener.close();
    this.#injector?.drain(FLUSH_LIMIT_MS);
    setTimeout(() => {
      this.server.forceShutdown();
      for (const socket of this.#sockets) socket.destroy();
    }, FLUSH_LIMIT_MS).unref();
  }

  #unary(
    handle: (req: unknown) => Promise<unknown>,
  ): (
    call: ServerUnaryCall<unknown, unknown>,
    callback: sendUnaryData<unknown>,
  ) => void {
    return (call, callback) => {
      this.#activeCalls += 1;
      handle(call.request)
        .then(
          answer => {
            callback(null, answer);
          },
          (err: unknown) => {
            this.#log.error('request failed', {message: String(err)});
            callback({code: status.INTERNAL, details: 'the request failed'});
          },
        )
        .finally(() => {
          this.#activeCalls -= 1;
          if (this.#activeCalls === 0) this.#idleListener?.();
        });
    };
  }

  #streaming(
    handlers: ControlHandlers,
  ): (call: ServerWritableStream<Message<'SubscribeRequest'>, Buffer>) => void {
    return call => {
      const {node, role, pool, revision, takesDeltas, logVersion} =
        call.request;
      const subscriber = {node, role, pool, revision, takesDeltas, logVersion};
      const sink = new StreamSink(call, this.#encoder);
      const remove = handlers.subscribe(subscriber, sink);
      if (!remove) {
        sink.end();
        return;
      }
      call.on('cancelled', remove);
      call.on('close', remove);
      call.on('error', remove);
    };
  }
}

/** Writes updates to one stream. */
class StreamSink implements UpdateSink {
  readonly #call: ServerWritableStream<unknown, Buffer>;
  readonly #encoder: UpdateEncoder;

  constructor(
    call: ServerWritableStream<unknown, Buffer>,
    encoder: UpdateEncoder,
  ) {
    this.#call = call;
    this.#encoder = encoder;
  }

  isWritable(): boolean {
    return !this.#call.writableNeedDrain && !this.#call.cancelled;
  }

  send(update: FeedUpdate): void {
    this.#call.write(this.#encoder.encode(update));
  }

  end(): void {
    const details = 'out of touch with the leader';
    this.#call.emit('error', {code: status.UNAVAILABLE, details});
  }
}
