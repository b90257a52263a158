/**
 * gRPC server of the sidecar: converts calls of routers and other sidecars into
 * calls of the handlers, and frames into messages.
 */
import {
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  type ServerWritableStream,
  type UntypedHandleCall,
  type sendUnaryData,
} from '@grpc/grpc-js';
import {lovagepond, SIDECAR_SERVICE} from '@lovagepond/protocol';
import {MAX_MESSAGE_BYTES} from './sidecar_client_pool.js';
import {type FrameBody} from './sidecar_frames.js';
import {type FrameStream, type SidecarSession} from './sidecar_session.js';

const {v1} = lovagepond;

type AttemptFrame = lovagepond.v1.AttemptFrame.$Properties;
type AttemptProperties = lovagepond.v1.AttemptRequest.$Properties;

/** Fields that every frame carries. */
export interface FrameHead {
  readonly incarnation: string;
  readonly revision: number;
  readonly runningTokens: number;
  readonly queuedTokens: number;
}

/** Handlers of the server's calls. */
export interface SidecarHandlers {
  frameHead(): FrameHead;
  offer(
    request: lovagepond.v1.AttemptRequest,
    stream: FrameStream,
  ): SidecarSession | undefined;
  streamClosed(session: SidecarSession, stream: FrameStream): void;
  revoke(
    request: lovagepond.v1.RevokeRequest.$Properties,
  ): lovagepond.v1.RevokeResponse.$Properties;
  probe(
    request: lovagepond.v1.ProbeRequest.$Properties,
  ): lovagepond.v1.ProbeResponse.$Properties;
  install(
    request: lovagepond.v1.InstallRequest.$Properties,
  ): lovagepond.v1.InstallResponse.$Properties;
  moveCache(
    request: lovagepond.v1.MoveCacheRequest.$Properties,
  ): Promise<lovagepond.v1.MoveCacheResponse.$Properties>;
  point(
    request: lovagepond.v1.PointerRequest.$Properties,
  ): lovagepond.v1.PointerResponse.$Properties;
  take(
    request: lovagepond.v1.TakeRequest.$Properties,
  ): lovagepond.v1.TakeResponse.$Properties;
}

/** One call of `attempt` as a stream of frames. */
class GrpcFrameStream implements FrameStream {
  readonly #call: ServerWritableStream<AttemptProperties, AttemptFrame>;
  readonly #attemptId: string;
  readonly #head: () => FrameHead;

  constructor(
    call: ServerWritableStream<AttemptProperties, AttemptFrame>,
    attemptId: string,
    head: () => FrameHead,
  ) {
    this.#call = call;
    this.#attemptId = attemptId;
    this.#head = head;
  }

  write(body: FrameBody): boolean {
    const attemptId = this.#attemptId;
    const frame = new v1.AttemptFrame({attemptId, ...this.#head(), ...body});
    return this.#call.write(frame);
  }

  end(): void {
    this.#call.end();
  }
}

function handleAttempt(
  handlers: SidecarHandlers,
): (call: ServerWritableStream<AttemptProperties, AttemptFrame>) => void {
  return call => {
    const request = new v1.AttemptRequest(call.request);
    const {attemptId} = request;
    const stream = new GrpcFrameStream(call, attemptId, () =>
      handlers.frameHead(),
    );
    // A stream that breaks during a write reports an error; the `cancelled`
    // event handles its end.
    call.on('error', () => {});
    const session = handlers.offer(request, stream);
    if (!session) return;
    call.on('drain', () => session.onDrain(stream));
    call.on('cancelled', () => handlers.streamClosed(session, stream));
  };
}

function handleUnary<Req, Res>(
  answer: (request: Req) => Res | Promise<Res>,
): (call: ServerUnaryCall<Req, Res>, callback: sendUnaryData<Res>) => void {
  return (call, callback) => {
    Promise.resolve(answer(call.request)).then(
      res => callback(null, res),
      (err: unknown) => callback(err instanceof Error ? err : new Error()),
    );
  };
}

/** gRPC server on one address. */
export class SidecarServer {
  readonly #server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  });

  /** @param handlers handlers of the calls */
  constructor(handlers: SidecarHandlers) {
    const implementation: Record<
      keyof typeof SIDECAR_SERVICE,
      UntypedHandleCall
    > = {
      attempt: handleAttempt(handlers) as UntypedHandleCall,
      revoke: handleUnary(req => handlers.revoke(req as object)),
      probe: handleUnary(req => handlers.probe(req as object)),
      install: handleUnary(req => handlers.install(req as object)),
      moveCache: handleUnary(req => handlers.moveCache(req as object)),
      point: handleUnary(req => handlers.point(req as object)),
      take: handleUnary(req => handlers.take(req as object)),
    };
    this.#server.addService(SIDECAR_SERVICE, implementation);
  }

  /**
   * @param host IP address to listen on
   * @param port port to listen on; 0 selects a free one
   * @returns the port listened on
   */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(
        `${host}:${port}`,
        ServerCredentials.createInsecure(),
        (err, bound) => {
          if (err) reject(err);
          else resolve(bound);
        },
      );
    });
  }

  /**
   * Accepts no new calls and waits for the open ones to end.
   *
   * @param limitMs longest time to wait for them, milliseconds
   * @returns false when some were still open at the limit
   */
  finish(limitMs: number): Promise<boolean> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, limitMs, false);
      this.#server.tryShutdown(() => {
        clearTimeout(timer);
        resolve(true);
      });
    });
  }

  /** Cancels all calls and closes the server. */
  stop(): void {
    this.#server.forceShutdown();
  }
}
