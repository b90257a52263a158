/**
 * Datagrams between simulated gateways: late, out of order, and partly lost.
 */
import {type Random} from '@lovagepond/core';
import {decodeDatagram} from '@lovagepond/gateway/deciders';
import {type SimulatedGateway} from './simulated_gateway.js';
import {type VirtualTime} from './virtual_time.js';

/** Shortest delay of a datagram, milliseconds; the longest is twice that. */
const DELAY_MS = 0.5;

export class SimulatedDatagrams {
  readonly #time: VirtualTime;
  readonly #random: Random;
  readonly #loss: number;
  #gateways: ReadonlyMap<string, SimulatedGateway> = new Map();
  /** Datagrams sent so far, and their bytes without headers. */
  sent = 0;
  bytes = 0;

  /**
   * @param time virtual clock
   * @param random draws delays and losses
   * @param loss share of the datagrams that are lost
   */
  constructor(time: VirtualTime, random: Random, loss: number) {
    this.#time = time;
    this.#random = random;
    this.#loss = loss;
  }

  /**
   * Tells each gateway the addresses of all, which are their names.
   *
   * @param gateways all gateways, named by their position
   */
  connect(gateways: readonly SimulatedGateway[]): void {
    const named = gateways.map((one, at) => [`gateway-${at}`, one] as const);
    this.#gateways = new Map(named);
    const peers = named.map(([node]) => ({node, address: node}));
    for (const {addresses} of gateways) {
      addresses.apply({whole: true, peers}, this.#time.now);
    }
  }

  /** Sends a datagram, which a gateway that is down doesn't receive. */
  send(from: string, to: string, bytes: Uint8Array): void {
    this.sent += 1;
    this.bytes += bytes.length;
    if (this.#loss > 0 && this.#random.next() < this.#loss) return;
    const datagram = decodeDatagram(bytes);
    const gateway = this.#gateways.get(to);
    this.#time.after(DELAY_MS * (1 + this.#random.next()), () => {
      if (!datagram || !gateway || this.#time.now < gateway.readyAt) return;
      gateway.permits.receive(datagram, from, this.#time.now);
      gateway.warmUp.receive(datagram, from, this.#time.now);
    });
  }
}
