/**
 * Transport of consensus messages between members over gRPC.
 */
import {
  type ChannelOptions,
  Client,
  connectivityState,
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

/** Time after which a message without acknowledgement counts as lost. */
const DELIVERY_TIMEOUT_MS = 1_000;

/** Limit of messages in flight to a member; consensus resends dropped ones. */
const MAX_IN_FLIGHT = 256;

/**
 * Timeout for a connection attempt to a member that sends messages itself,
 * milliseconds. The first packet to a host that was without power is
 * retransmitted only after a second, far beyond an election timeout.
 */
const CONNECT_TIMEOUT_MS = 100;

/** Consecutive lost messages after which a new connection is made. */
const MAX_LOST = 3;

/** A message being handled, whose acknowledgement can carry a reply. */
interface HandledMessage {
  readonly address: string;
  reply?: WireMessage;
}

interface Peer {
  client: Client;
  /** Start of the connection attempt, monotonic milliseconds. */
  readonly openedAt: number;
  inFlight: number;
  /** Consecutive lost messages. */
  lost: number;
}

export class MemberTransport implements ConsensusTransport {
  readonly #clock: Clock;
  readonly #options: ChannelOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #listeners = new Set<MessageListener>();
  #handledMessage: HandledMessage | undefined;

  /**
   * @param server the member's gRPC server, not yet listening
   * @param clock the clock for deadlines and timeouts
   * @param options options of the connections to other members
   */
  constructor(server: Server, clock: Clock, options = CLIENT_OPTIONS) {
    this.#clock = clock;
    this.#options = options;
    server.addService(CONSENSUS_SERVICE, {
      deliver: (
        call: ServerUnaryCall<WireMessage, lovagepond.v1.ConsensusAck>,
        callback: sendUnaryData<lovagepond.v1.ConsensusAck>,
      ) => {
        callback(null, this.#deliver(call.request));
      },
    });
  }

  send(address: string, message: TransportMessage): void {
    const wire = encodeMemberMessage(message);
    const handled = this.#handledMessage;
    if (handled?.address === address && !handled.reply) {
      handled.reply = wire;
      return;
    }
    this.#call(address, wire);
  }

  #call(address: string, wire: WireMessage): void {
    const peer = this.#peerAt(address);
    if (peer.inFlight >= MAX_IN_FLIGHT) return;
    peer.inFlight += 1;
    const {client} = peer;
    const method = CONSENSUS_SERVICE.deliver;
    client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      wire,
      new Metadata(),
      {deadline: this.#clock.wallTime() + DELIVERY_TIMEOUT_MS},
      (err, ack) => {
        peer.inFlight -= 1;
        peer.lost = err ? peer.lost + 1 : 0;
        if (peer.lost >= MAX_LOST) this.#drop(address, client);
        if (ack?.reply) this.#receive(ack.reply);
      },
    );
  }

  onMessage(listener: MessageListener): Unregister {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Number of messages that are neither acknowledged nor lost yet. */
  get inFlight(): number {
    const peers = [...this.#peers.values()];
    return peers.reduce((sum, {inFlight}) => sum + inFlight, 0);
  }

  /** Closes all connections. */
  close(): void {
    for (const {client} of this.#peers.values()) client.close();
    this.#peers.clear();
  }

  /**
   * Returns a reply to the sender in the acknowledgement rather than in a call
   * of its own, as half of all messages are replies to heartbeats. Eight idle
   * members with 27 gateways need 0.75 of a core this way, 0.92 with separate
   * calls.
   */
  #deliver(wire: WireMessage): lovagepond.v1.ConsensusAck {
    const message = decodeMemberMessage(wire);
    if (!message) return new v1.ConsensusAck();
    const handled: HandledMessage = {address: message.fromAddress};
    this.#handledMessage = wire.takesReply ? handled : undefined;
    try {
      this.#handle(message);
    } finally {
      this.#handledMessage = undefined;
    }
    const {reply} = handled;
    return new v1.ConsensusAck(reply && {reply});
  }

  #receive(wire: lovagepond.v1.ConsensusMessage.$Properties): void {
    const message = decodeMemberMessage(wire);
    if (message) this.#handle(message);
  }

  #handle(message: TransportMessage): void {
    this.#dropIfStuck(message.fromAddress);
    for (const listener of [...this.#listeners]) listener(message);
  }

  #peerAt(address: string): Peer {
    const known = this.#peers.get(address);
    if (known) return known;
    const channel = credentials.createInsecure();
    const client = new Client(address, channel, this.#options);
    const openedAt = this.#clock.now();
    const peer = {client, openedAt, inFlight: 0, lost: 0};
    this.#peers.set(address, peer);
    return peer;
  }

  /**
   * Drops the connection to a member that just sent a message, and so is up, if
   * that connection is failing. Replies would otherwise be lost until the end
   * of its backoff, which delays the election after a stop of all members.
   */
  #dropIfStuck(address: string): void {
    const peer = this.#peers.get(address);
    if (peer && this.#isStuck(peer)) this.#drop(address, peer.client);
  }

  #isStuck({client, lost, openedAt}: Peer): boolean {
    if (lost > 0) return true;
    if (this.#clock.now() - openedAt < CONNECT_TIMEOUT_MS) return false;
    const state = client.getChannel().getConnectivityState(false);
    return state === connectivityState.CONNECTING;
  }

  /**
   * Closes a connection, so that the next message opens a new one. A connection
   * can stop delivering data while new ones work: its messages would be lost
   * until the keepalive detects this, far beyond an election timeout.
   */
  #drop(address: string, client: Client): void {
    const peer = this.#peers.get(address);
    if (peer?.client !== client) return;
    this.#peers.delete(address);
    client.close();
  }
}
