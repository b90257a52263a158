/**
 * Carries consensus messages between members over gRPC.
 */
import {
  Client,
  credentials,
  Metadata,
  type sendUnaryData,
  type Server,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
  type ConsensusTransport,
  type MessageListener,
  type TransportMessage,
} from '@lovagepond/consensus';
import {type Clock, type Unregister} from '@lovagepond/core';
import {CONSENSUS_SERVICE, lovagepond} from '@lovagepond/protocol';
import {CLIENT_OPTIONS} from './control_channel_constants.js';
import {
  decodeMemberMessage,
  encodeMemberMessage,
} from './member_message_codec.js';

const {v1} = lovagepond;

type WireMessage = lovagepond.v1.ConsensusMessage;

/** A message not acknowledged by then is lost. */
const DELIVERY_TIMEOUT_MS = 1_000;

/** Messages under way to one member; more are dropped, as consensus resends. */
const MAX_UNDER_WAY = 256;

/** Lost messages in a row after which a fresh connection is made. */
const MAX_LOST = 3;

interface Peer {
  client: Client;
  underWay: number;
  lost: number;
}

/** The transport of one member. */
export class MemberTransport implements ConsensusTransport {
  readonly #clock: Clock;
  readonly #peers = new Map<string, Peer>();
  readonly #listeners = new Set<MessageListener>();

  /**
   * @param server the member's gRPC server, not yet listening
   * @param clock present time
   */
  constructor(server: Server, clock: Clock) {
    this.#clock = clock;
    server.addService(CONSENSUS_SERVICE, {
      deliver: (
        call: ServerUnaryCall<WireMessage, lovagepond.v1.ConsensusAck>,
        end: sendUnaryData<lovagepond.v1.ConsensusAck>,
      ) => {
        end(null, new v1.ConsensusAck());
        this.#receive(call.request);
      },
    });
  }

  send(address: string, message: TransportMessage): void {
    const peer = this.#peerAt(address);
    if (peer.underWay >= MAX_UNDER_WAY) return;
    peer.underWay += 1;
    const {client} = peer;
    const method = CONSENSUS_SERVICE.deliver;
    client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      encodeMemberMessage(message),
      new Metadata(),
      {deadline: this.#clock.wallTime() + DELIVERY_TIMEOUT_MS},
      err => {
        peer.underWay -= 1;
        peer.lost = err ? peer.lost + 1 : 0;
        if (peer.lost >= MAX_LOST) this.#drop(address, client);
      },
    );
  }

  onMessage(listener: MessageListener): Unregister {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Closes all connections. */
  close(): void {
    for (const {client} of this.#peers.values()) client.close();
    this.#peers.clear();
  }

  #receive(wire: WireMessage): void {
    const message = decodeMemberMessage(wire);
    if (!message) return;
    for (const listener of [...this.#listeners]) listener(message);
  }

  #peerAt(address: string): Peer {
    const known = this.#peers.get(address);
    if (known) return known;
    const channel = credentials.createInsecure();
    const client = new Client(address, channel, CLIENT_OPTIONS);
    const peer = {client, underWay: 0, lost: 0};
    this.#peers.set(address, peer);
    return peer;
  }

  /**
   * A connection can go silent for good while new ones work: every message on
   * it is lost until the keep-alive finds out, far beyond an election timeout.
   */
  #drop(address: string, client: Client): void {
    const peer = this.#peers.get(address);
    if (peer?.client !== client) return;
    this.#peers.delete(address);
    client.close();
  }
}
