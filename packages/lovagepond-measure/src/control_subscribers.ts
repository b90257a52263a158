/**
 * Stub subscribers of a control member over real sockets, for measurements.
 */
import {
  Client,
  type ClientReadableStream,
  credentials,
  Metadata,
} from '@grpc/grpc-js';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {createServer, connect, type Server, type Socket} from 'node:net';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';

const {v1} = lovagepond;

/** A stub router's subscription. */
export class StubSubscriber {
  revision = -1;
  confirmed = false;
  onRevision: (revision: number) => void = () => undefined;
  readonly #client: Client;
  readonly #stream: ClientReadableStream<lovagepond.v1.ControlUpdate>;

  /**
   * @param target `host:port` of the member
   * @param node the subscriber's name
   */
  constructor(target: string, node: string) {
    this.#client = new Client(target, credentials.createInsecure(), {
      'grpc.use_local_subchannel_pool': 1,
    });
    const method = CONTROL_SERVICE.subscribe;
    this.#stream = this.#client.makeServerStreamRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      new v1.SubscribeRequest({node, role: 'router'}),
      new Metadata(),
      {},
    );
    this.#stream.on('error', () => undefined);
    this.#stream.on('data', (update: lovagepond.v1.ControlUpdate) => {
      const {configuration} = update;
      if (!configuration) return;
      this.revision = configuration.revision ?? 0;
      this.confirmed ||= configuration.majorityConfirmed ?? false;
      this.onRevision(this.revision);
    });
  }

  close(): void {
    this.#stream.cancel();
    this.#client.close();
  }
}

/** A TCP proxy that counts the bytes in each direction. */
export class CountingForwarder {
  bytesToClients = 0;
  bytesToServer = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  /** @param port port of the member on the loopback address */
  constructor(port: number) {
    this.#server = createServer(client => {
      const upstream = connect(port, '127.0.0.1');
      client.on('data', chunk => {
        this.bytesToServer += chunk.length;
        upstream.write(chunk);
      });
      upstream.on('data', chunk => {
        this.bytesToClients += chunk.length;
        client.write(chunk);
      });
      for (const socket of [client, upstream]) {
        this.#sockets.add(socket);
        socket.on('error', () => undefined);
      }
    });
  }

  /** @returns `host:port` to connect to */
  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const {port} = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}
