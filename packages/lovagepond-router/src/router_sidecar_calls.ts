/**
 * The calls that a router makes to a sidecar over an established connection.
 */
import {
  type ClientReadableStream,
  type ClientUnaryCall,
  Metadata,
  type MethodDefinition,
  type ServiceError,
} from '@grpc/grpc-js';
import {lovagepond, SIDECAR_SERVICE} from '@lovagepond/protocol';
import {type SidecarConnection} from './router_connections.js';
import {type Frame, readFrame} from './router_frames.js';
import {type RevokeOutcome} from './router_request_types.js';

const {v1} = lovagepond;

type WireFrame = lovagepond.v1.AttemptFrame.$Properties;
type AttemptProperties = lovagepond.v1.AttemptRequest.$Properties;

/**
 * A stream that neither end has closed is ended this long after its attempt's
 * deadline. Otherwise it would keep its connection open forever.
 */
const STREAM_GRACE_MS = 5_000;

/** Receives the frames of an attempt's stream. */
export interface AttemptListener {
  onFrame(frame: Frame): void;
  /** Called when the stream has ended for any reason. */
  onEnd(): void;
}

/** An open stream of an attempt's frames. */
export class AttemptStream {
  readonly connection: SidecarConnection;
  readonly #call: ClientReadableStream<WireFrame>;
  #listener: AttemptListener | undefined;
  #held = true;

  constructor(
    connection: SidecarConnection,
    call: ClientReadableStream<WireFrame>,
    listener: AttemptListener,
  ) {
    this.connection = connection;
    this.#call = call;
    this.#listener = listener;
    call.on('data', (frame: WireFrame) => {
      this.#listener?.onFrame(readFrame(frame));
    });
    call.on('error', () => {
      this.#end();
    });
    call.on('end', () => {
      this.#end();
    });
  }

  /** Stops reading frames until {@link AttemptStream.resume}. */
  pause(): void {
    this.#call.pause();
  }

  resume(): void {
    this.#call.resume();
  }

  /** Ends the stream; its listener is not called any more. */
  cancel(): void {
    this.#listener = undefined;
    this.#release();
    this.#call.cancel();
  }

  #end(): void {
    const listener = this.#listener;
    this.#listener = undefined;
    this.#release();
    listener?.onEnd();
  }

  #release(): void {
    if (!this.#held) return;
    this.#held = false;
    this.connection.release();
  }
}

/**
 * @param connection a connection that is up
 * @param attempt the attempt to send
 * @param listener receives the frames
 * @returns the open stream, or undefined when the connection has been closed
 *     and nothing was sent
 */
export function openAttempt(
  connection: SidecarConnection,
  attempt: AttemptProperties,
  listener: AttemptListener,
): AttemptStream | undefined {
  if (!connection.hold()) return undefined;
  const method = SIDECAR_SERVICE.attempt;
  const call = connection.client.makeServerStreamRequest(
    method.path,
    method.requestSerialize,
    method.responseDeserialize,
    new v1.AttemptRequest(attempt),
    new Metadata(),
    {deadline: Date.now() + (attempt.deadlineLeftMs ?? 0) + STREAM_GRACE_MS},
  );
  return new AttemptStream(connection, call, listener);
}

function callOnce<Req, Res>(
  connection: SidecarConnection,
  method: MethodDefinition<Req, Res>,
  request: Req,
  timeoutMs: number,
): Promise<Res | undefined> {
  if (!connection.hold()) return Promise.resolve(undefined);
  return new Promise(resolve => {
    const onAnswer = (err: ServiceError | null, answer?: Res): void => {
      connection.release();
      resolve(err ? undefined : answer);
    };
    const call: ClientUnaryCall = connection.client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      request,
      new Metadata(),
      {deadline: Date.now() + timeoutMs},
      onAnswer,
    );
    call.on('error', () => {});
  });
}

const REVOKE_OUTCOMES: Readonly<Record<string, RevokeOutcome>> = {
  revoked: 'revoked',
  dispatched: 'dispatched',
  unknown: 'unknown',
};

/**
 * @param connection a connection that is up
 * @param attemptId the attempt
 * @param incarnation the sidecar incarnation that the attempt was sent to
 * @param timeoutMs timeout of the call, in milliseconds
 * @returns the sidecar's response, or `lost` when there was none
 */
export async function revokeAttempt(
  connection: SidecarConnection,
  attemptId: string,
  incarnation: string,
  timeoutMs: number,
): Promise<RevokeOutcome> {
  const request = new v1.RevokeRequest({attemptId, incarnation});
  const method = SIDECAR_SERVICE.revoke;
  const answer = await callOnce(connection, method, request, timeoutMs);
  return REVOKE_OUTCOMES[answer?.outcome ?? ''] ?? 'lost';
}

/**
 * @param connection a connection that is up
 * @param configuration the encoded configuration
 * @param timeoutMs timeout of the call, in milliseconds
 * @returns the sidecar's revision afterwards, or undefined when it didn't
 *     respond
 */
export async function installConfiguration(
  connection: SidecarConnection,
  configuration: Uint8Array,
  timeoutMs: number,
): Promise<number | undefined> {
  const request = new v1.InstallRequest({configuration});
  const method = SIDECAR_SERVICE.install;
  const answer = await callOnce(connection, method, request, timeoutMs);
  return answer?.revision ?? undefined;
}

/**
 * @param connection a connection that is up
 * @param revision the router's configuration revision
 * @param timeoutMs timeout of the call, in milliseconds
 * @returns the sidecar's state, or undefined when it didn't respond
 */
export function probeSidecar(
  connection: SidecarConnection,
  revision: number,
  timeoutMs: number,
): Promise<lovagepond.v1.ProbeResponse.$Properties | undefined> {
  const request = new v1.ProbeRequest({revision});
  return callOnce(connection, SIDECAR_SERVICE.probe, request, timeoutMs);
}
