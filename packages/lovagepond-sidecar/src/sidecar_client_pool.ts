/**
 * Unary gRPC calls to other processes, each with a timeout.
 */
import {
  type ChannelOptions,
  Client,
  credentials,
  Metadata,
  type MethodDefinition,
} from '@grpc/grpc-js';
import {parseSocketAddress} from '@lovagepond/core';

/** Maximum message size between processes, bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

const CHANNEL_OPTIONS: ChannelOptions = {
  // With shared subchannels, a new client would reuse a connection that no
  // longer responds.
  'grpc.use_local_subchannel_pool': 1,
  // The library must not retry calls that may have arrived.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_http_proxy': 0,
};

/**
 * @param address `host:port`
 * @returns a client with its own connection
 */
export function connect(address: string): Client {
  return new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS);
}

/**
 * @param client a client
 * @param method the method to call
 * @param request its request
 * @param timeoutMs time limit, milliseconds
 * @returns the answer; undefined after an error or timeout
 */
export function callOnce<Req, Res>(
  client: Client,
  method: MethodDefinition<Req, Res>,
  request: Req,
  timeoutMs: number,
): Promise<Res | undefined> {
  return new Promise(resolve => {
    client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      request,
      new Metadata(),
      {deadline: Date.now() + timeoutMs},
      (err, answer) => {
        resolve(err ? undefined : answer);
      },
    );
  });
}

/** One client per address; a client whose call fails is replaced. */
export class ClientPool {
  readonly #timeoutMs: number;
  readonly #clients = new Map<string, Client>();

  /** @param timeoutMs time limit of each call, milliseconds */
  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  /**
   * The library throws on an empty address.
   *
   * @param address `host:port`
   * @param method the method to call
   * @param request its request
   * @returns the answer; undefined after an error or timeout
   */
  async call<Req, Res>(
    address: string,
    method: MethodDefinition<Req, Res>,
    request: Req,
  ): Promise<Res | undefined> {
    if (!parseSocketAddress(address)) return undefined;
    const client = this.#clients.get(address) ?? connect(address);
    this.#clients.set(address, client);
    const answer = await callOnce(client, method, request, this.#timeoutMs);
    // A connection can stay unresponsive while new ones work.
    if (answer === undefined) this.#closeClient(address, client);
    return answer;
  }

  /** @param addresses addresses in use; connections to others are closed */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.#clients) {
      if (!addresses.has(address)) this.#closeClient(address, client);
    }
  }

  close(): void {
    for (const [address, client] of this.#clients) {
      this.#closeClient(address, client);
    }
  }

  #closeClient(address: string, client: Client): void {
    if (this.#clients.get(address) === client) this.#clients.delete(address);
    client.close();
  }
}
